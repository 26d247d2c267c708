#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <mimosatally/Http>

namespace mimosatally::internal
{

/// \brief Bytes that the system has received on \a socket and that are unread.
[[nodiscard]] inline std::size_t bytesWaiting(const boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code error;
    const std::size_t bytes = socket.available(error);
    return error ? 0 : bytes;
}

/// \brief Connection of a caller to an HttpServer.
struct ServerConnection {
    ServerConnection(boost::asio::io_context &io, boost::asio::ip::tcp::socket socket, ByteBudget &heldBytes, std::size_t maxBufferBytes)
        : stream(std::move(socket))
        , idleTimer(io)
        , buffer(maxBufferBytes)
        , reservation(heldBytes, [this] {
            stream.cancel();
        })
    {
        // While the connection waits for a request, a close could cross the request.
        reservation.setRevocable(false);
        buffer.onGrown([this] {
            hold(bodyBytes);
        });
    }

    /// \brief Counts the buffer and \a bytes of a request's body.
    void hold(std::size_t bytes)
    {
        bodyBytes = bytes;
        reservation.hold(buffer.capacity() + bytes);
    }

    boost::beast::tcp_stream stream;
    boost::asio::steady_timer idleTimer;
    ReceiveBuffer buffer;
    ByteReservation reservation;
    std::size_t bodyBytes = 0;
    bool busy = false;
    /// \brief Request that is being answered, or null.
    HttpExchange *exchange = nullptr;
    /// \brief What is known of the end of the connection so far.
    ConnectionEnd end;
    bool endReported = false;
    /// \brief Time at which the connection began to wait for its next request.
    Time idleSince = MilliClock::now();
    /// \brief End of the wait by the limits that were in force when it began; later limits only extend it.
    Time idleEnd;
    bool awaitsRequest = false;
    bool idleExpired = false;
    /// \brief Expires with the connection, which the handler of a timer may outlive.
    std::shared_ptr<bool> lifetime = std::make_shared<bool>(true);
};

/// \brief Counts an exchange while its handler runs, also if its answer fails.
class ActiveExchange
{
public:
    ActiveExchange(std::size_t &count, ServerConnection &connection, HttpExchange &exchange)
        : count_(count)
        , connection_(connection)
    {
        ++count_;
        connection_.exchange = &exchange;
    }

    ~ActiveExchange()
    {
        --count_;
        connection_.exchange = nullptr;
    }

    ActiveExchange(const ActiveExchange &) = delete;
    ActiveExchange &operator=(const ActiveExchange &) = delete;

private:
    std::size_t &count_;
    ServerConnection &connection_;
};

} // namespace mimosatally::internal
