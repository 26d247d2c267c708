#pragma once

#include "connectionend.h"
#include "httpexchange.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <mimosatally/core/bytebudget.h>

namespace mimosatally
{

/// \brief Serves HTTP/1.1 requests of callers, one at a time on each connection.
///
/// Malformed, incomplete, oversized and slow requests are answered with 400, 413, 431 or 408, and their connection is closed. The largest request that is being
/// read when all of them hold too many bytes, and requests on connections beyond the limit, are answered with 503. A failure of the handler before its response
/// is answered with 500. docs/connection-ends.md lists all ends of a connection.
class HttpServer
{
public:
    using Handler = std::function<boost::asio::awaitable<void>(HttpExchange &)>;
    using EndHandler = std::function<void(const ConnectionEnd &)>;

    /// \throws boost::system::system_error if the address cannot be bound.
    HttpServer(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &address, HttpLimits limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// \brief Replaces the limits, with effect from the next request of each connection. A longer idle timeout holds at once for connections that wait, a
    /// shorter one from their next wait.
    void setLimits(const HttpLimits &limits);

    /// \brief Calls \a handler for each connection that ends, and for each that is not accepted, until the server is destroyed.
    void onConnectionEnd(EndHandler handler);

    /// \brief Answers the next request of each connection with `Connection: close` and then closes it; new connections are still accepted.
    void announceClosing();

    /// \brief Bound address, with the port that the system assigned if port 0 was requested.
    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const;

    /// \brief Stops accepting connections and closes the open ones as announceClosing() does. Connections that wait to be accepted are accepted first.
    void stopAccepting();

    /// \brief Stops accepting, closes idle connections and lets running exchanges finish. Requests that have arrived are answered, which takes further turns of
    /// the event loop.
    void shutDownGracefully();

    /// \brief Number of requests that have not been answered completely.
    [[nodiscard]] std::size_t activeExchanges() const;

    /// \brief Number of connections with a request that is unread, being received or not answered completely. Asks the system about each connection.
    [[nodiscard]] std::size_t pendingRequests() const;

    /// \brief Number of open connections.
    [[nodiscard]] std::size_t connections() const;

    /// \brief Bytes that requests hold, from their first byte to the end of their response.
    [[nodiscard]] const ByteBudget &heldBytes() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace mimosatally
