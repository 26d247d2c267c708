#pragma once

#include "bodyend.h"
#include "httpmessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>
#include <mimosatally/core/error.h>
#include <mimosatally/core/milliclock.h>
#include <string_view>
#include <vector>

namespace mimosatally
{

/// \brief No connection could be made, so the request was not sent.
class ConnectError : public UnreachableError
{
public:
    using UnreachableError::UnreachableError;
};

/// \brief Framing and end of a streamed body; completenessOf() judges them.
struct StreamedBody {
    BodyFraming framing = BodyFraming::NoBody;
    BodyEnd end = BodyEnd::NotReached;
};

/// \brief Time limits of one call, from when its connection stands.
struct CallTimeouts {
    /// \brief Time to the end of the response's head.
    Duration head;
    /// \brief Longest time without data of the body.
    Duration progress;
    /// \brief Time to the end of the response.
    Duration total;
};

/// \brief HTTP/1.1 client of one server; keeps idle connections for reuse.
///
/// A request is never resent: a failure after the first byte was written is reported to the caller.
class HttpClient
{
public:
    struct Options {
        Duration connectTimeout = Duration(1000);
        std::size_t maxResponseBytes = std::size_t(16) * 1024 * 1024;
        std::size_t maxIdleConnections = 8;
    };

    /// \brief Receives status and header fields of a streamed response.
    using HeadHandler = std::function<boost::asio::awaitable<void>(const HttpResponse &)>;
    /// \brief Receives each piece of the body in order; the view is valid during the call only.
    using DataHandler = std::function<boost::asio::awaitable<void>(std::string_view)>;

    HttpClient(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint server, Options options);
    HttpClient(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint server);

    /// \brief Sends a request and reads the whole response.
    /// \throws UnreachableError if no complete response came within \a timeout; the request may have taken effect, unless
    /// the error is a ConnectError.
    boost::asio::awaitable<HttpResponse> send(HttpRequest request, Duration timeout);

    /// \brief Sends a request whose response may be large, and reads the whole response. \throws UnreachableError as send(), for each of \a timeouts.
    boost::asio::awaitable<HttpResponse> send(HttpRequest request, CallTimeouts timeouts);

    /// \brief Sends a request if \a allowed still returns true when the connection stands, immediately before the first byte is written.
    /// \throws ConnectError if it does not, as nothing was sent. \throws UnreachableError as send().
    boost::asio::awaitable<HttpResponse> sendIf(HttpRequest request, Duration timeout, std::function<bool()> allowed);

    /// \brief Sends a request and passes the response to the handlers as it arrives.
    /// \param idleTimeout maximum time without data. \throws UnreachableError as send().
    /// An exception of a handler closes the connection and propagates to the caller.
    /// \return how the body ended; one that ends with its connection may have been cut off.
    boost::asio::awaitable<StreamedBody> stream(HttpRequest request, Duration idleTimeout, HeadHandler onHead, DataHandler onData);

private:
    using Stream = std::unique_ptr<boost::beast::tcp_stream>;

    boost::asio::awaitable<HttpResponse> exchange(HttpRequest request, CallTimeouts timeouts, std::function<bool()> allowed);
    boost::asio::awaitable<Stream> acquire();
    boost::asio::awaitable<Stream> connect();
    void release(Stream stream);
    void prepare(HttpRequest &request) const;

    boost::asio::io_context &io_;
    boost::asio::ip::tcp::endpoint server_;
    Options options_;
    std::vector<Stream> idleConnections_;
};

} // namespace mimosatally
