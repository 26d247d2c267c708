#include "receivedelay.h"
#include "requestreader.h"
#include "requestrejection.h"
#include "serverconnection.h"

#include <mimosatally/Http>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <list>
#include <optional>
#include <utility>

namespace mimosatally
{

namespace http = boost::beast::http;
using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;
using namespace internal;

namespace
{
constexpr std::size_t DISCARD_BUFFER_BYTES = std::size_t(4) * 1024;
/// \brief Room of a connection's buffer beyond the largest head. Without a bound, the length of a chunk, its extension or a trailer could grow without end.
constexpr std::size_t FRAMING_MARGIN_BYTES = std::size_t(16) * 1024;
/// \brief Limits on the input that is read and discarded after a request was rejected.
constexpr std::size_t MAX_DISCARDED_BYTES = std::size_t(64) * 1024 * 1024;
constexpr Duration MAX_DISCARD_TIME = Duration(2000);
/// \brief Connections beyond the limit that are open at a time to be refused; further ones wait until they are accepted.
constexpr std::size_t MAX_REFUSED_CONNECTIONS = 64;
/// \brief Maximum wait for the first bytes of a request that is refused.
constexpr Duration MAX_REFUSAL_WAIT = Duration(500);
constexpr unsigned STATUS_UNAVAILABLE = 503;

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
            // A connection that was accepted in the turn of the loop in which accepting stopped may have brought a request.
            if (!error && !self->destroyed_) {
                self->admit(std::move(socket));
            }
            if (self->isFull()) {
                self->acceptPaused_ = true;
            } else if (self->acceptor_.is_open()) {
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
        announceClosing();
        acceptWaiting();
        boost::system::error_code ignored;
        acceptor_.close(ignored);
    }

    /// rief Ends the server, whose handler must not be called for further connections.
    void destroy()
    {
        destroyed_ = true;
        shutDownGracefully();
    }

    void shutDownGracefully()
    {
        stopAccepting();
        stopping_ = true;
        for (ServerConnection *connection : connections_) {
            closeAfterArrived(*connection);
        }
    }

    void setLimits(const HttpLimits &limits)
    {
        limits_ = limits;
    }

    void announceClosing()
    {
        closingAnnounced_ = true;
        for (const ServerConnection *connection : connections_) {
            // An answer that has begun has promised to keep its connection; the next one announces the close.
            if (connection->exchange != nullptr && !connection->exchange->hasResponded()) {
                connection->exchange->closeAfterResponse();
            }
        }
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
        const auto pending = std::ranges::count_if(connections_, [](const ServerConnection *connection) {
            return connection->busy || connection->buffer.size() > 0 || bytesWaiting(connection->stream.socket()) > 0;
        });
        return starting_ + static_cast<std::size_t>(pending);
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
    /// \brief Accepts the connections that the system has established. Closing the listener would reset them, with the requests that it has received on them.
    void acceptWaiting()
    {
        boost::system::error_code error;
        acceptor_.non_blocking(true, error);
        // Otherwise accept() blocks after a connection that its peer has aborted.
        acceptor_.set_option(boost::asio::socket_base::enable_connection_aborted(true), error);
        while (!error && !destroyed_) {
            tcp::socket socket(io_);
            acceptor_.accept(socket, error);
            if (!error) {
                admit(std::move(socket));
            }
        }
    }

    void admit(tcp::socket socket)
    {
        if (connections_.size() + starting_ < limits_.maxConnections) {
            serve(std::move(socket));
            return;
        }
        ConnectionEnd end;
        end.reason = ConnectionEndReason::TooManyConnections;
        end.unreadBytes = bytesWaiting(socket);
        if (endHandler_) {
            endHandler_(end);
        }
        if (refused_ < MAX_REFUSED_CONNECTIONS) {
            ++refused_;
            boost::asio::co_spawn(io_, refuse(shared_from_this(), std::move(socket)), boost::asio::detached);
        }
    }

    [[nodiscard]] bool isFull() const
    {
        return refused_ >= MAX_REFUSED_CONNECTIONS && connections_.size() + starting_ >= limits_.maxConnections;
    }

    void resumeAccepting()
    {
        if (acceptPaused_ && acceptor_.is_open() && !isFull()) {
            acceptPaused_ = false;
            acceptNext();
        }
    }

    /// \brief Answers the request on a connection beyond the limit without reading it. \param self keeps the server.
    static awaitable<void> refuse(std::shared_ptr<Impl> self, tcp::socket socket)
    {
        boost::beast::tcp_stream stream(std::move(socket));
        try {
            // An answer before the first byte would be taken for an error of the connection.
            std::array<char, DISCARD_BUFFER_BYTES> data;
            stream.expires_after(MAX_REFUSAL_WAIT);
            co_await stream.async_read_some(boost::asio::buffer(data), use_awaitable);
            const RequestRejection failure = {STATUS_UNAVAILABLE, "too-many-connections", "too many connections are open"};
            co_await self->reject(stream, failure);
            co_await discard(stream);
        } catch (const boost::system::system_error &) {
            // The caller sends nothing or has gone.
            stream.close();
        }
        --self->refused_;
        self->resumeAccepting();
    }

    void serve(tcp::socket socket)
    {
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        ++starting_;
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
        --starting_;
        ServerConnection connection(io_, std::move(socket), heldBytes_, limits_.maxHeaderBytes + FRAMING_MARGIN_BYTES);
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
            } catch (const std::exception &error) {
                connection.end.reason = ConnectionEndReason::HandlerFailed;
                connection.end.error = error.what();
                keepOpen = false;
            }
        }
        connections_.erase(position);
        reportEnd(connection);
        resumeAccepting();
        boost::system::error_code ignored;
        connection.stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    }

    /// \brief Ends \a connection after the requests that have arrived on it.
    void closeAfterArrived(ServerConnection &connection)
    {
        if (!destroyed_ && !connection.busy && bytesWaiting(connection.stream.socket()) > 0) {
            return;
        }
        // The process may exit before the coroutine of the connection resumes.
        connection.end.reason = ConnectionEndReason::Shutdown;
        connection.end.answering = connection.busy;
        reportEnd(connection);
        if (!connection.busy) {
            // A read that has completed is not cancelled: its request is served.
            connection.stream.cancel();
        }
    }

    void reportEnd(ServerConnection &connection) const
    {
        if (endHandler_ && !connection.endReported) {
            connection.endReported = true;
            connection.end.unreadBytes = connection.buffer.size() + bytesWaiting(connection.stream.socket());
            endHandler_(connection.end);
        }
    }

    /// \return true if the connection stays open for another request.
    awaitable<bool> serveRequest(ServerConnection &connection)
    {
        if (!co_await awaitFirstByte(connection)) {
            co_return false;
        }
        // The limits may have changed while the connection was waiting.
        RequestParser parser;
        parser.header_limit(static_cast<std::uint32_t>(limits_.maxHeaderBytes));
        parser.body_limit(limits_.maxBodyBytes);
        connection.busy = true;
        connection.reservation.setRevocable(true);
        const boost::system::error_code error = co_await readRequest(connection, parser, limits_.transferTimeout);
        if (error) {
            connection.end.reason = rejectionFor(error) ? ConnectionEndReason::Rejected : ConnectionEndReason::ReadFailed;
            connection.end.error = error.message();
            co_await rejectUnreadable(connection, error);
            co_return false;
        }
        connection.stream.expires_never();
        const Duration waited = waitOfRequest(connection);
        HttpExchange exchange(connection.stream, parser.release(), limits_, waited);
        if (stopping_ || closingAnnounced_) {
            exchange.closeAfterResponse();
        }
        ++connection.end.requests;
        connection.reservation.setRevocable(false);
        {
            const ActiveExchange active(active_, connection, exchange);
            co_await runHandler(connection, exchange);
        }
        connection.busy = false;
        connection.idleSince = MilliClock::now();
        connection.buffer.trim();
        connection.hold(0);
        co_return exchange.shouldKeepAlive();
    }

    /// \brief Returns how long the request that has just been read was there. A request that followed another one without waiting for its answer waited for
    /// that answer, not for this process.
    static Duration waitOfRequest(ServerConnection &connection)
    {
        const Duration delay = receiveDelay(connection.stream.socket());
        return connection.end.requests == 0 ? delay : std::min(delay, MilliClock::now() - connection.idleSince);
    }

    awaitable<bool> awaitFirstByte(ServerConnection &connection)
    {
        if (connection.buffer.size() > 0 && !destroyed_) {
            co_return true;
        }
        if (destroyed_ || (stopping_ && bytesWaiting(connection.stream.socket()) == 0)) {
            connection.end.reason = ConnectionEndReason::Shutdown;
            co_return false;
        }
        constexpr std::size_t firstReadBytes = 4096;
        boost::system::error_code error;
        connection.stream.expires_never();
        connection.awaitsRequest = true;
        connection.idleExpired = false;
        connection.idleEnd = connection.idleSince + limits_.idleTimeout;
        awaitIdleEnd(connection, connection.idleEnd);
        std::size_t count = 0;
        do {
            count = co_await connection.stream.async_read_some(connection.buffer.prepare(firstReadBytes), redirect_error(use_awaitable, error));
            // A request may have come between the decision to end the connection and the cancellation of the read.
        } while (error == boost::asio::error::operation_aborted && !destroyed_ && bytesWaiting(connection.stream.socket()) > 0);
        connection.awaitsRequest = false;
        connection.idleTimer.cancel();
        connection.reservation.setRevocable(count > 0);
        connection.buffer.commit(count);
        if (!error && destroyed_) {
            error = boost::asio::error::operation_aborted;
        }
        if (error) {
            connection.end.reason = endReasonOf(connection);
            connection.end.idle = MilliClock::now() - connection.idleSince;
            connection.end.error = error.message();
        }
        co_return !error;
    }

    /// \brief Closes \a connection at \a end unless a request has come or the limits have been raised. A timer of the stream would keep the idle timeout of
    /// the beginning, and could close the connection although a request is there.
    void awaitIdleEnd(ServerConnection &connection, Time end)
    {
        connection.idleTimer.expires_after(end - MilliClock::now());
        connection.idleTimer.async_wait(
            [self = shared_from_this(), lifetime = std::weak_ptr<bool>(connection.lifetime), &connection](const boost::system::error_code &error) {
                if (!error && !lifetime.expired()) {
                    self->checkIdleEnd(connection);
                }
            });
    }

    void checkIdleEnd(ServerConnection &connection)
    {
        if (!connection.awaitsRequest) {
            // The request came in the same turn of the event loop, and the timer could not be cancelled any more.
            return;
        }
        const Time end = std::max(connection.idleEnd, connection.idleSince + limits_.idleTimeout);
        if (MilliClock::now() < end) {
            awaitIdleEnd(connection, end);
        } else if (bytesWaiting(connection.stream.socket()) == 0) {
            connection.idleExpired = true;
            connection.stream.cancel();
        }
    }

    /// \brief Reason why a connection ended that was waiting for a request.
    [[nodiscard]] ConnectionEndReason endReasonOf(const ServerConnection &connection) const
    {
        if (connection.idleExpired) {
            return ConnectionEndReason::IdleTimeout;
        }
        return stopping_ ? ConnectionEndReason::Shutdown : ConnectionEndReason::CallerClosed;
    }

    awaitable<void> rejectUnreadable(ServerConnection &connection, const boost::system::error_code &error)
    {
        const auto failure = rejectionFor(error);
        if (!failure) {
            co_return;
        }
        // The cancellation of a read would also cancel the write of the answer.
        connection.reservation.setRevocable(false);
        co_await reject(connection.stream, *failure);
        connection.buffer.clear();
        connection.buffer.trim();
        connection.hold(0);
        co_await discard(connection.stream);
    }

    awaitable<void> reject(boost::beast::tcp_stream &stream, RequestRejection failure)
    {
        HttpRequest request;
        request.version(11);
        request.keep_alive(false);
        HttpExchange exchange(stream, std::move(request), limits_);
        HttpResponse response = makeRejection(failure);
        co_await exchange.respond(std::move(response));
    }

    /// \brief Reads and discards remaining input. Closing at once would reset the connection, and a peer that is still
    /// writing would not read the response.
    static awaitable<void> discard(boost::beast::tcp_stream &stream)
    {
        boost::system::error_code error;
        stream.socket().shutdown(tcp::socket::shutdown_send, error);
        stream.expires_after(MAX_DISCARD_TIME);
        std::array<char, DISCARD_BUFFER_BYTES> data;
        std::size_t discarded = 0;
        while (!error && discarded < MAX_DISCARDED_BYTES) {
            discarded += co_await stream.async_read_some(boost::asio::buffer(data), redirect_error(use_awaitable, error));
        }
    }

    awaitable<void> runHandler(ServerConnection &connection, HttpExchange &exchange)
    {
        std::optional<std::string> failure;
        connection.end.reason = ConnectionEndReason::Completed;
        try {
            co_await handler_(exchange);
            if (exchange.isAborted()) {
                connection.end.reason = ConnectionEndReason::Aborted;
            }
        } catch (const boost::system::system_error &error) {
            if (exchange.hasResponded()) {
                connection.end.reason = ConnectionEndReason::WriteFailed;
                connection.end.error = error.code().message();
                exchange.abort();
            } else {
                // Nothing was written, so this is no error of the connection.
                failure = error.what();
            }
        } catch (const std::exception &error) {
            failure = error.what();
        } catch (...) {
            failure = "exception of unknown type";
        }
        if (failure) {
            connection.end.reason = ConnectionEndReason::HandlerFailed;
            connection.end.error = *failure;
        }
        if (failure && exchange.hasResponded()) {
            exchange.abort();
        } else if (!exchange.hasResponded()) {
            HttpResponse response = makeHandlerFailure();
            co_await exchange.respond(std::move(response));
        }
    }

    boost::asio::io_context &io_;
    tcp::acceptor acceptor_;
    HttpLimits limits_;
    ByteBudget heldBytes_;
    Handler handler_;
    EndHandler endHandler_;
    std::list<ServerConnection *> connections_;
    /// \brief Accepted connections whose coroutines have not begun.
    std::size_t starting_ = 0;
    std::size_t active_ = 0;
    /// \brief Connections beyond the limit that are being refused.
    std::size_t refused_ = 0;
    bool acceptPaused_ = false;
    bool stopping_ = false;
    bool closingAnnounced_ = false;
    bool destroyed_ = false;
};

HttpServer::HttpServer(boost::asio::io_context &io, const tcp::endpoint &address, HttpLimits limits, Handler handler)
    : impl_(std::make_shared<Impl>(io, address, limits, std::move(handler)))
{
    impl_->acceptNext();
}

HttpServer::~HttpServer()
{
    impl_->destroy();
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
