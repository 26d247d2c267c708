#include <mimosatally/Http>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <list>
#include <nlohmann/json.hpp>
#include <optional>

namespace mimosatally
{

namespace http = boost::beast::http;
using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;

namespace
{
constexpr std::size_t DISCARD_BUFFER_BYTES = std::size_t(4) * 1024;
/// \brief Room of a connection's buffer beyond the largest head. Without a bound, the length of a chunk, its extension or a trailer could grow without end.
constexpr std::size_t FRAMING_MARGIN_BYTES = std::size_t(16) * 1024;
/// \brief Time after which a request that was refused for its bytes may be sent again.
constexpr const char *OVERLOADED_RETRY_AFTER_SECONDS = "1";
/// \brief Limits on the input that is read and discarded after a request was rejected.
constexpr std::size_t MAX_DISCARDED_BYTES = std::size_t(64) * 1024 * 1024;
constexpr Duration MAX_DISCARD_TIME = Duration(2000);
constexpr unsigned STATUS_BAD_REQUEST = 400;
constexpr unsigned STATUS_REQUEST_TIMEOUT = 408;
constexpr unsigned STATUS_PAYLOAD_TOO_LARGE = 413;
constexpr unsigned STATUS_HEADER_TOO_LARGE = 431;
constexpr unsigned STATUS_INTERNAL_ERROR = 500;
constexpr unsigned STATUS_UNAVAILABLE = 503;

struct ParseFailure {
    unsigned status;
    const char *code;
    const char *message;
};

/// \brief Response for an error while reading, or empty if none can be sent, as when the peer has disconnected.
std::optional<ParseFailure> describeReadError(const boost::system::error_code &error)
{
    if (error == http::error::end_of_stream || error == http::error::partial_message) {
        return std::nullopt;
    }
    if (error == boost::beast::error::timeout) {
        return ParseFailure {STATUS_REQUEST_TIMEOUT, "request-timeout", "the request was not received in time"};
    }
    if (error == http::error::body_limit) {
        return ParseFailure {STATUS_PAYLOAD_TOO_LARGE, "body-too-large", "the request body is too large"};
    }
    if (error == http::error::header_limit) {
        return ParseFailure {STATUS_HEADER_TOO_LARGE, "header-too-large", "the request header is too large"};
    }
    if (error == http::error::buffer_overflow) {
        return ParseFailure {STATUS_HEADER_TOO_LARGE, "framing-too-large", "a chunk's length or extension, or the trailer, is too large"};
    }
    if (error == boost::asio::error::no_buffer_space) {
        return ParseFailure {STATUS_UNAVAILABLE, "overloaded", "the requests that are being received hold too many bytes"};
    }
    if (error.category() == make_error_code(http::error::bad_method).category()) {
        return ParseFailure {STATUS_BAD_REQUEST, "malformed", "the request is not well-formed HTTP"};
    }
    return std::nullopt;
}

/// \brief Error body in the format of docs/api.md; a request that could not be read has no id, customer or decision record.
std::string errorBody(const char *message, const char *code, const char *type, const char *outcome)
{
    const nlohmann::ordered_json body = {{"error", {{"message", message}, {"type", type}, {"code", code}, {"param", nullptr}}},
                                         {"mimosatally",
                                          {{"outcome", outcome},
                                           {"reason", code},
                                           {"request", nullptr},
                                           {"contract", nullptr},
                                           {"configuration_version", nullptr},
                                           {"retry_after_ms", nullptr}}}};
    return body.dump();
}
} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl>
{
public:
    Impl(boost::asio::io_context &io, const tcp::endpoint &address, HttpLimits limits, Handler handler)
        : io_(io)
        , acceptor_(io, address)
        , limits_(limits)
        , heldBytes_(limits.maxHeldBytes)
        , handler_(std::move(handler))
    {
    }

    void acceptNext()
    {
        acceptor_.async_accept([self = shared_from_this()](const boost::system::error_code &error, tcp::socket socket) {
            // A connection that was accepted before the listener was closed may be reported after it.
            if (!error && !self->stopping_) {
                self->serveOrClose(std::move(socket), self->connections_.size());
            }
            if (self->acceptor_.is_open()) {
                self->acceptNext();
            }
        });
    }

    void setEndHandler(EndHandler handler)
    {
        endHandler_ = std::move(handler);
    }

    void stopAccepting()
    {
        closingAnnounced_ = true;
        if (acceptor_.is_open()) {
            acceptEstablished();
        }
        boost::system::error_code ignored;
        acceptor_.close(ignored);
    }

    void shutDownGracefully()
    {
        stopping_ = true;
        closingAnnounced_ = true;
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        for (Connection *connection : connections_) {
            // The process may exit before the coroutine of the connection resumes.
            connection->end.reason = ConnectionEndReason::Shutdown;
            connection->end.answering = connection->busy;
            reportEnd(*connection);
            if (!connection->busy) {
                connection->stream.close();
            }
        }
    }

    void setLimits(const HttpLimits &limits)
    {
        limits_ = limits;
    }

    void announceClosing()
    {
        closingAnnounced_ = true;
    }

    [[nodiscard]] tcp::endpoint address() const
    {
        return acceptor_.local_endpoint();
    }

    [[nodiscard]] std::size_t activeExchanges() const
    {
        return active_;
    }

    [[nodiscard]] std::size_t pendingRequests() const
    {
        const auto pending = std::ranges::count_if(connections_, [](Connection *connection) {
            return connection->busy || connection->buffer.size() > 0 || bytesWaiting(connection->stream.socket()) > 0;
        });
        return static_cast<std::size_t>(pending);
    }

    [[nodiscard]] std::size_t connections() const
    {
        return connections_.size();
    }

    [[nodiscard]] const ByteBudget &heldBytes() const
    {
        return heldBytes_;
    }

private:
    struct Connection {
        Connection(boost::asio::io_context &io, tcp::socket socket, ByteBudget &heldBytes, std::size_t maxBufferBytes)
            : stream(std::move(socket))
            , idleTimer(io)
            , buffer(maxBufferBytes)
            , reservation(heldBytes, [this] {
                stream.cancel();
            })
        {
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
        /// \brief What is known of the end of the connection so far.
        ConnectionEnd end;
        bool endReported = false;
        /// \brief Time at which the connection began to wait for its next request.
        Time idleSince = MilliClock::now();
        /// \brief End of the wait by the limits that were in force when it began; later limits only extend it.
        Time idleEnd;
        bool idleExpired = false;
        /// \brief Expires with the connection, which the handler of a timer may outlive.
        std::shared_ptr<bool> lifetime = std::make_shared<bool>(true);
    };

    using Parser = http::request_parser<http::string_body>;

    /// \brief Serves \a socket unless \a open connections are as many as there may be.
    void serveOrClose(tcp::socket socket, std::size_t open)
    {
        if (open < limits_.maxConnections) {
            serve(std::move(socket));
        } else if (endHandler_) {
            ConnectionEnd end;
            end.reason = ConnectionEndReason::TooManyConnections;
            endHandler_(end);
        }
    }

    /// \brief Accepts the connections that the system has established for the listener; closing it would reset them together with their requests.
    void acceptEstablished()
    {
        boost::system::error_code error;
        acceptor_.non_blocking(true, error);
        // Otherwise accept() blocks after a connection that its peer has aborted.
        acceptor_.set_option(boost::asio::socket_base::enable_connection_aborted(true), error);
        std::size_t open = connections_.size();
        while (!error) {
            tcp::socket socket(io_);
            acceptor_.accept(socket, error);
            if (!error) {
                serveOrClose(std::move(socket), open);
                ++open;
            }
        }
    }

    void serve(tcp::socket socket)
    {
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        boost::asio::co_spawn(
            io_,
            [self = shared_from_this(), socket = std::move(socket)]() mutable {
                return self->runConnection(std::move(socket));
            },
            boost::asio::detached);
    }

    awaitable<void> runConnection(tcp::socket socket)
    {
        const auto self = shared_from_this();
        Connection connection(io_, std::move(socket), heldBytes_, limits_.maxHeaderBytes + FRAMING_MARGIN_BYTES);
        const auto position = connections_.insert(connections_.end(), &connection);
        bool keepOpen = true;
        while (keepOpen) {
            try {
                keepOpen = co_await serveRequest(connection);
            } catch (const boost::system::system_error &error) {
                // The peer has disconnected or is too slow; nothing more can be sent.
                connection.end.reason = ConnectionEndReason::WriteFailed;
                connection.end.error = error.code().message();
                keepOpen = false;
            }
        }
        connections_.erase(position);
        reportEnd(connection);
        boost::system::error_code ignored;
        connection.stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    }

    static std::size_t bytesWaiting(const tcp::socket &socket)
    {
        boost::system::error_code error;
        const std::size_t bytes = socket.available(error);
        return error ? 0 : bytes;
    }

    void reportEnd(Connection &connection) const
    {
        if (endHandler_ && !connection.endReported) {
            connection.endReported = true;
            connection.end.unreadBytes = connection.buffer.size() + bytesWaiting(connection.stream.socket());
            endHandler_(connection.end);
        }
    }

    /// \return true if the connection stays open for another request.
    awaitable<bool> serveRequest(Connection &connection)
    {
        if (!co_await awaitFirstByte(connection)) {
            co_return false;
        }
        // The limits may have changed while the connection was waiting.
        Parser parser;
        parser.header_limit(static_cast<std::uint32_t>(limits_.maxHeaderBytes));
        parser.body_limit(limits_.maxBodyBytes);
        if (!connection.stream.socket().is_open()) {
            // The connection was closed before this coroutine resumed, so the caller could not receive a response.
            connection.end.reason = ConnectionEndReason::Shutdown;
            co_return false;
        }
        connection.busy = true;
        boost::system::error_code error;
        {
            // A timeout of tcp_stream would close the socket before a 408 could be sent; this timer only cancels the read.
            connection.stream.expires_never();
            boost::asio::steady_timer timer(io_, limits_.transferTimeout);
            const auto expired = std::make_shared<bool>(false);
            timer.async_wait([weak = std::weak_ptr<bool>(expired), &connection](const boost::system::error_code &timerError) {
                const auto timedOut = weak.lock();
                if (!timerError && timedOut) {
                    *timedOut = true;
                    connection.stream.cancel();
                }
            });
            error = co_await readRequest(connection, parser);
            if (*expired && error) {
                error = boost::beast::error::timeout;
            }
        }
        if (error) {
            connection.end.reason = describeReadError(error) ? ConnectionEndReason::Rejected : ConnectionEndReason::ReadFailed;
            connection.end.error = error.message();
            co_await rejectUnreadable(connection, error);
            co_return false;
        }
        connection.stream.expires_never();
        HttpExchange exchange(connection.stream, parser.release(), limits_);
        if (stopping_ || closingAnnounced_) {
            exchange.closeAfterResponse();
        }
        ++active_;
        ++connection.end.requests;
        connection.reservation.setRevocable(false);
        co_await runHandler(connection, exchange);
        connection.reservation.setRevocable(true);
        --active_;
        connection.busy = false;
        connection.idleSince = MilliClock::now();
        connection.buffer.trim();
        connection.hold(0);
        co_return exchange.shouldKeepAlive() && !stopping_;
    }

    /// \return `no_buffer_space` if the connection has to free its bytes.
    awaitable<boost::system::error_code> readRequest(Connection &connection, Parser &parser)
    {
        boost::system::error_code error;
        co_await http::async_read_header(connection.stream, connection.buffer, parser, redirect_error(use_awaitable, error));
        parser.eager(true);
        while (!error && !parser.is_done() && !connection.reservation.isRevoked()) {
            co_await http::async_read_some(connection.stream, connection.buffer, parser, redirect_error(use_awaitable, error));
            connection.hold(parser.get().body().size());
        }
        if (connection.reservation.isRevoked()) {
            error = boost::asio::error::no_buffer_space;
        }
        co_return error;
    }

    awaitable<bool> awaitFirstByte(Connection &connection)
    {
        if (connection.buffer.size() > 0) {
            co_return true;
        }
        constexpr std::size_t firstReadBytes = 4096;
        boost::system::error_code error;
        connection.stream.expires_never();
        connection.idleExpired = false;
        connection.idleEnd = connection.idleSince + limits_.idleTimeout;
        awaitIdleEnd(connection, connection.idleEnd);
        const std::size_t count = co_await connection.stream.async_read_some(connection.buffer.prepare(firstReadBytes), redirect_error(use_awaitable, error));
        connection.idleTimer.cancel();
        connection.buffer.commit(count);
        if (error) {
            connection.end.reason = endReasonOf(connection);
            connection.end.idle = MilliClock::now() - connection.idleSince;
            connection.end.error = error.message();
        }
        co_return !error;
    }

    /// \brief Closes \a connection at \a end unless a request has come or the limits have been raised. A timer of the stream would keep the idle timeout of
    /// the beginning, and could close the connection although a request is there.
    void awaitIdleEnd(Connection &connection, Time end)
    {
        connection.idleTimer.expires_after(end - MilliClock::now());
        connection.idleTimer.async_wait(
            [self = shared_from_this(), lifetime = std::weak_ptr<bool>(connection.lifetime), &connection](const boost::system::error_code &error) {
                if (!error && !lifetime.expired()) {
                    self->checkIdleEnd(connection);
                }
            });
    }

    void checkIdleEnd(Connection &connection)
    {
        const Time end = std::max(connection.idleEnd, connection.idleSince + limits_.idleTimeout);
        if (MilliClock::now() < end) {
            awaitIdleEnd(connection, end);
        } else if (bytesWaiting(connection.stream.socket()) == 0) {
            connection.idleExpired = true;
            connection.stream.cancel();
        }
    }

    /// \brief Reason why a connection ended that was waiting for a request.
    [[nodiscard]] ConnectionEndReason endReasonOf(const Connection &connection) const
    {
        if (connection.idleExpired) {
            return ConnectionEndReason::IdleTimeout;
        }
        return stopping_ ? ConnectionEndReason::Shutdown : ConnectionEndReason::CallerClosed;
    }

    awaitable<void> rejectUnreadable(Connection &connection, const boost::system::error_code &error)
    {
        const auto failure = describeReadError(error);
        if (!failure) {
            co_return;
        }
        HttpRequest request;
        request.version(11);
        request.keep_alive(false);
        HttpExchange exchange(connection.stream, std::move(request), limits_);
        HttpResponse response =
            makeHttpResponse(failure->status, "application/json", errorBody(failure->message, failure->code, "invalid_request_error", "not_run"));
        if (failure->status == STATUS_UNAVAILABLE) {
            response.set(http::field::retry_after, OVERLOADED_RETRY_AFTER_SECONDS);
        }
        co_await exchange.respond(std::move(response));
        co_await discardInput(connection);
    }

    /// \brief Reads and discards remaining input. Closing at once would reset the connection, and a peer that is still
    /// writing would not read the response.
    awaitable<void> discardInput(Connection &connection)
    {
        boost::system::error_code error;
        connection.stream.socket().shutdown(tcp::socket::shutdown_send, error);
        connection.buffer.clear();
        connection.buffer.trim();
        connection.hold(0);
        connection.stream.expires_after(MAX_DISCARD_TIME);
        std::array<char, DISCARD_BUFFER_BYTES> data;
        std::size_t discarded = 0;
        while (!error && discarded < MAX_DISCARDED_BYTES) {
            discarded += co_await connection.stream.async_read_some(boost::asio::buffer(data), redirect_error(use_awaitable, error));
        }
    }

    awaitable<void> runHandler(Connection &connection, HttpExchange &exchange)
    {
        std::string failure;
        connection.end.reason = ConnectionEndReason::Completed;
        try {
            co_await handler_(exchange);
            if (exchange.isAborted()) {
                connection.end.reason = ConnectionEndReason::Aborted;
            }
        } catch (const boost::system::system_error &error) {
            connection.end.reason = ConnectionEndReason::WriteFailed;
            connection.end.error = error.code().message();
            exchange.abort();
        } catch (const std::exception &error) {
            failure = error.what();
            connection.end.reason = ConnectionEndReason::HandlerFailed;
            connection.end.error = failure;
        }
        if (!failure.empty() && exchange.hasResponded()) {
            exchange.abort();
        } else if (!exchange.hasResponded()) {
            co_await exchange.respond(
                makeHttpResponse(STATUS_INTERNAL_ERROR, "application/json", errorBody("internal error", "internal-error", "server_error", "outcome_unknown")));
        }
    }

    boost::asio::io_context &io_;
    tcp::acceptor acceptor_;
    HttpLimits limits_;
    ByteBudget heldBytes_;
    Handler handler_;
    EndHandler endHandler_;
    std::list<Connection *> connections_;
    std::size_t active_ = 0;
    bool stopping_ = false;
    bool closingAnnounced_ = false;
};

HttpServer::HttpServer(boost::asio::io_context &io, const tcp::endpoint &address, HttpLimits limits, Handler handler)
    : impl_(std::make_shared<Impl>(io, address, limits, std::move(handler)))
{
    impl_->acceptNext();
}

HttpServer::~HttpServer()
{
    impl_->shutDownGracefully();
}

tcp::endpoint HttpServer::address() const
{
    return impl_->address();
}

void HttpServer::stopAccepting()
{
    impl_->stopAccepting();
}

void HttpServer::shutDownGracefully()
{
    impl_->shutDownGracefully();
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    impl_->setLimits(limits);
}

void HttpServer::onConnectionEnd(EndHandler handler)
{
    impl_->setEndHandler(std::move(handler));
}

void HttpServer::announceClosing()
{
    impl_->announceClosing();
}

std::size_t HttpServer::activeExchanges() const
{
    return impl_->activeExchanges();
}

std::size_t HttpServer::pendingRequests() const
{
    return impl_->pendingRequests();
}

std::size_t HttpServer::connections() const
{
    return impl_->connections();
}

const ByteBudget &HttpServer::heldBytes() const
{
    return impl_->heldBytes();
}

} // namespace mimosatally
