#pragma once

#include "httplimits.h"
#include "httpmessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mimosatally
{

/// \brief One request on a server connection together with its response.
///
/// A handler either calls respond() once, or beginStream(), writeChunk() any number of times and endStream().
class HttpExchange
{
public:
    /// \param waited time for which the whole request had been received before it was read.
    HttpExchange(boost::beast::tcp_stream &stream, HttpRequest request, const HttpLimits &limits, Duration waited = Duration(0));
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    [[nodiscard]] const HttpRequest &request() const;
    [[nodiscard]] HttpRequest &request();

    /// \brief Returns the least time for which the whole request waited on the connection until it was read; zero unless the process stood still.
    [[nodiscard]] Duration waited() const;

    /// \brief Sends a complete response. \throws boost::system::system_error if the peer has disconnected or is too slow.
    boost::asio::awaitable<void> respond(HttpResponse response);

    /// \brief Sends the header of a chunked response; \a header has status and fields, its body is ignored. A caller of HTTP/1.0 knows no chunks: its
    /// response ends with the connection.
    boost::asio::awaitable<void> beginStream(HttpResponse header);

    /// \brief Sends one chunk; empty data is skipped, since an empty chunk would end the body.
    boost::asio::awaitable<void> writeChunk(std::string_view data);

    /// \brief Ends a chunked response.
    boost::asio::awaitable<void> endStream();

    /// \brief Closes the connection without ending the response, so that the peer sees a truncated body. A response that would end with the
    /// connection is ended by a reset.
    void abort();

    /// \brief Calls \a callback once if the peer closes the connection before the exchange ends.
    void onPeerClosed(std::function<void()> callback);

    /// \brief Returns true if the peer has closed the connection, even if the event loop has not yet processed that.
    ///
    /// A close after a pipelined request is not detected, since that request is the next unread data.
    [[nodiscard]] bool isPeerClosed();

    /// \brief Closes the connection after the response.
    void closeAfterResponse();

    [[nodiscard]] bool hasResponded() const;
    [[nodiscard]] bool isAborted() const;
    [[nodiscard]] bool shouldKeepAlive() const;

private:
    struct Watch;
    void watchForClose(const std::shared_ptr<Watch> &watch);
    /// \brief Sets whether the close of the connection, also by the end of this process, is a reset: without chunks nothing else shows that a stream broke off.
    void resetOnClose(bool enabled);

    boost::beast::tcp_stream &stream_;
    HttpRequest request_;
    const HttpLimits &limits_;
    Duration waited_;
    std::shared_ptr<Watch> watch_;
    bool responded_ = false;
    bool aborted_ = false;
    bool endsWithConnection_ = false;
    bool keepAlive_;
};

} // namespace mimosatally
