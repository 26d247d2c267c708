#pragma once

#include <mimosatally/Core>
#include <mimosatally/Http>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace mimosatally::test
{

/// \brief Link to a server that delivers the server's bytes to each connection at a limited rate. Its members run on the thread of its context.
class SlowRelay
{
public:
    SlowRelay(boost::asio::io_context &io, const std::string &server)
        : io_(io)
        , server_(parseAddress(server))
        , acceptor_(io, parseAddress("127.0.0.1:0"))
    {
        boost::asio::co_spawn(io, accept(), boost::asio::detached);
    }

    [[nodiscard]] std::string address() const
    {
        return toString(acceptor_.local_endpoint());
    }

    void setRate(std::size_t bytesPerSecond)
    {
        bytesPerSecond_ = bytesPerSecond;
    }

    /// \brief Delivers nothing any more on connections after the next \a connections ones, which stay open without an answer.
    void fallSilentAfter(std::size_t connections)
    {
        silentFrom_ = accepted_ + connections;
    }

    /// \brief Number of connections that were accepted.
    [[nodiscard]] std::size_t accepted() const
    {
        return accepted_;
    }

    /// \brief Bytes of the server that were delivered on all connections.
    [[nodiscard]] std::size_t delivered() const
    {
        return delivered_;
    }

private:
    using tcp = boost::asio::ip::tcp;
    static constexpr std::size_t TURNS_PER_SECOND = 50;
    static constexpr std::size_t UNLIMITED = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t MAX_READ_BYTES = std::size_t(256) * 1024;

    struct Link {
        tcp::socket caller;
        tcp::socket server;
    };

    boost::asio::awaitable<void> accept()
    {
        boost::system::error_code error;
        while (!error) {
            auto link = std::make_shared<Link>(Link {tcp::socket(io_), tcp::socket(io_)});
            co_await acceptor_.async_accept(link->caller, boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (!error && accepted_++ >= silentFrom_) {
                silent_.push_back(std::move(link));
            } else if (!error) {
                boost::asio::co_spawn(io_, connect(std::move(link)), boost::asio::detached);
            }
        }
    }

    boost::asio::awaitable<void> connect(std::shared_ptr<Link> link)
    {
        boost::system::error_code error;
        co_await link->server.async_connect(server_, boost::asio::redirect_error(boost::asio::use_awaitable, error));
        boost::asio::co_spawn(io_, forward(link, link->caller, link->server, false), boost::asio::detached);
        boost::asio::co_spawn(io_, forward(link, link->server, link->caller, true), boost::asio::detached);
    }

    /// \param link keeps both sockets until both directions have ended.
    boost::asio::awaitable<void> forward(std::shared_ptr<Link> link, tcp::socket &from, tcp::socket &to, bool limited)
    {
        std::vector<char> data(MAX_READ_BYTES);
        boost::asio::steady_timer timer(io_, std::chrono::steady_clock::now());
        boost::system::error_code error;
        while (!error) {
            const bool delayed = limited && bytesPerSecond_ != UNLIMITED;
            const std::size_t most = delayed ? std::min(MAX_READ_BYTES, std::max<std::size_t>(1, bytesPerSecond_ / TURNS_PER_SECOND)) : MAX_READ_BYTES;
            const auto room = boost::asio::buffer(data.data(), most);
            const std::size_t count = co_await from.async_read_some(room, boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (!error) {
                const auto bytes = boost::asio::buffer(data.data(), count);
                co_await boost::asio::async_write(to, bytes, boost::asio::redirect_error(boost::asio::use_awaitable, error));
            }
            delivered_ += limited ? count : 0;
            if (!error && delayed) {
                timer.expires_at(std::max(timer.expiry(), std::chrono::steady_clock::now() - std::chrono::milliseconds(100))
                                 + std::chrono::microseconds(1'000'000 * count / bytesPerSecond_));
                co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
            }
        }
        boost::system::error_code ignored;
        link->caller.close(ignored);
        link->server.close(ignored);
    }

    boost::asio::io_context &io_;
    tcp::endpoint server_;
    tcp::acceptor acceptor_;
    std::size_t bytesPerSecond_ = UNLIMITED;
    std::size_t delivered_ = 0;
    std::size_t accepted_ = 0;
    std::size_t silentFrom_ = UNLIMITED;
    /// \brief Connections that get no answer.
    std::vector<std::shared_ptr<Link>> silent_;
};

} // namespace mimosatally::test
