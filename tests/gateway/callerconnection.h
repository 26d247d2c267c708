#pragma once

#include <mimosatally/Http>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <string>

namespace mimosatally::test
{

/// \brief Keep-alive connection of a caller that sends requests one after another.
class CallerConnection
{
public:
    explicit CallerConnection(const std::string &address)
        : socket_(io_)
    {
        socket_.connect(parseAddress(address));
    }

    void send(HttpRequest request)
    {
        request.set(boost::beast::http::field::host, "h");
        request.prepare_payload();
        boost::beast::http::write(socket_, request);
    }

    /// \brief Sends \a text as it is, such as a part of a request.
    void sendText(const std::string &text)
    {
        boost::asio::write(socket_, boost::asio::buffer(text));
    }

    /// \throws boost::system::system_error if the answer is cut off.
    HttpResponse response()
    {
        boost::beast::http::response_parser<boost::beast::http::string_body> parser;
        boost::beast::http::read(socket_, buffer_, parser);
        return parser.release();
    }

    /// \brief Returns all bytes until the gateway closes the connection.
    std::string readUntilClosed()
    {
        std::string text;
        std::array<char, 4096> data {};
        boost::system::error_code error;
        while (!error) {
            const std::size_t count = socket_.read_some(boost::asio::buffer(data), error);
            text.append(data.data(), count);
        }
        wasReset_ = error == boost::asio::error::connection_reset;
        return text;
    }

    /// \brief Returns the bytes up to and including \a end, and any that were read with them.
    /// \throws boost::system::system_error if the connection ends before.
    std::string readUntil(const std::string &end)
    {
        std::string text;
        std::array<char, 4096> data {};
        while (text.find(end) == std::string::npos) {
            text.append(data.data(), socket_.read_some(boost::asio::buffer(data)));
        }
        return text;
    }

    /// \brief Returns whether readUntilClosed() ended with a reset of the connection.
    [[nodiscard]] bool wasReset() const
    {
        return wasReset_;
    }

    /// \brief Tells the gateway that no more bytes follow; its bytes are still read.
    void shutDownSending()
    {
        socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    }

    void close()
    {
        socket_.close();
    }

private:
    boost::asio::io_context io_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    bool wasReset_ = false;
};

} // namespace mimosatally::test
