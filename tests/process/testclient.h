#pragma once

#include <mimosatally/Core>
#include <mimosatally/Http>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>
#include <string>

namespace mimosatally::test
{

namespace http = boost::beast::http;

/// \brief One blocking HTTP request on a connection of its own.
class TestCall
{
public:
    TestCall(const std::string &address, HttpRequest request)
        : socket_(io_)
    {
        boost::system::error_code error;
        socket_.connect(parseAddress(address), error);
        if (error) {
            throw Error("cannot connect to " + address + ": " + error.message());
        }
        request.set(http::field::host, address);
        request.keep_alive(false);
        request.prepare_payload();
        http::write(socket_, request);
    }

    /// \brief Reads the complete response. \throws boost::system::system_error if the body is truncated.
    HttpResponse response()
    {
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        http::read(socket_, buffer_, parser);
        return parser.release();
    }

    /// \brief Reads raw bytes until \a text has arrived. \return all bytes read so far. \throws Error if the connection closes first.
    std::string readUntil(const std::string &text)
    {
        std::array<char, 4096> data {};
        while (received_.find(text) == std::string::npos) {
            boost::system::error_code error;
            const std::size_t count = socket_.read_some(boost::asio::buffer(data), error);
            received_.append(data.data(), count);
            if (error) {
                throw Error("connection closed before this text arrived: " + text);
            }
        }
        return received_;
    }

    /// \brief Reads raw bytes until the connection closes. \return all bytes, including those that readUntil() returned.
    std::string readToEnd()
    {
        std::array<char, 4096> data {};
        boost::system::error_code error;
        while (!error) {
            const std::size_t count = socket_.read_some(boost::asio::buffer(data), error);
            received_.append(data.data(), count);
        }
        return received_;
    }

    void close()
    {
        socket_.close();
    }

private:
    boost::asio::io_context io_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::string received_;
};

inline HttpRequest authorized(HttpRequest request, const std::string &key)
{
    request.set(http::field::authorization, "Bearer " + key);
    return request;
}

inline HttpRequest jsonPost(const std::string &target, const nlohmann::json &body)
{
    return makeHttpRequest(http::verb::post, target, "application/json", body.dump());
}

inline HttpResponse call(const std::string &address, HttpRequest request)
{
    return TestCall(address, std::move(request)).response();
}

inline HttpResponse get(const std::string &address, const std::string &target, const std::string &key = {})
{
    return call(address, authorized(makeHttpRequest(http::verb::get, target), key));
}

inline nlohmann::json jsonOf(const HttpResponse &response)
{
    return nlohmann::json::parse(response.body());
}

} // namespace mimosatally::test
