#include "requestreader.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>
#include <memory>
#include <string_view>
#include <utility>

namespace mimosatally::internal
{

namespace http = boost::beast::http;
using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

namespace
{
/// \brief Time for reading what had been received of a request when its time ended.
constexpr Duration RECEIVED_BYTES_TIME = Duration(100);
constexpr std::string_view CONTINUE_ANSWER = "HTTP/1.1 100 Continue\r\n\r\n";

/// \brief State of the time limit of a request that is being read.
struct TransferLimit {
    bool expired = false;
    /// \brief The limit has waited once for bytes that had been received when it fell due.
    bool waitedForBytes = false;
};

/// \brief Returns whether the caller sends its body only after an interim answer.
bool awaitsContinue(const RequestParser &parser)
{
    constexpr unsigned firstVersionWithContinue = 11;
    const HttpRequest &request = parser.get();
    return !parser.is_done() && request.version() >= firstVersionWithContinue && boost::beast::iequals(request[http::field::expect], "100-continue");
}

/// \brief Cancels the read of a request when \a timer expires. After a stall, bytes that have been received by then are read before.
void awaitTransferEnd(ServerConnection &connection, boost::asio::steady_timer &timer, const std::shared_ptr<TransferLimit> &limit)
{
    timer.async_wait([weak = std::weak_ptr<TransferLimit>(limit), &connection, &timer](const boost::system::error_code &timerError) {
        const auto waiting = weak.lock();
        if (timerError || !waiting) {
            return;
        }
        if (!std::exchange(waiting->waitedForBytes, true) && bytesWaiting(connection.stream.socket()) > 0) {
            timer.expires_after(RECEIVED_BYTES_TIME);
            awaitTransferEnd(connection, timer, waiting);
            return;
        }
        waiting->expired = true;
        connection.stream.cancel();
    });
}

/// \return `no_buffer_space` if the connection has to free its bytes.
awaitable<boost::system::error_code> readWithin(ServerConnection &connection, RequestParser &parser, const TransferLimit &limit)
{
    if (connection.reservation.isRevoked()) {
        co_return boost::asio::error::no_buffer_space;
    }
    boost::system::error_code error;
    co_await http::async_read_header(connection.stream, connection.buffer, parser, redirect_error(use_awaitable, error));
    parser.eager(true);
    if (!error && connection.buffer.size() == 0 && awaitsContinue(parser)) {
        co_await boost::asio::async_write(
            connection.stream, boost::asio::buffer(CONTINUE_ANSWER.data(), CONTINUE_ANSWER.size()), redirect_error(use_awaitable, error));
    }
    while (!error && !parser.is_done() && !connection.reservation.isRevoked() && !limit.expired) {
        co_await http::async_read_some(connection.stream, connection.buffer, parser, redirect_error(use_awaitable, error));
        connection.hold(parser.get().body().size());
    }
    if (!error && !parser.is_done() && limit.expired) {
        // The time ended after a read had completed, so no read was cancelled.
        error = boost::beast::error::timeout;
    }
    if (connection.reservation.isRevoked()) {
        error = boost::asio::error::no_buffer_space;
    }
    co_return error;
}
} // namespace

awaitable<boost::system::error_code> readRequest(ServerConnection &connection, RequestParser &parser, Duration time)
{
    // A timeout of tcp_stream would close the socket before a 408 could be sent; this timer only cancels the read.
    connection.stream.expires_never();
    boost::asio::steady_timer timer(connection.stream.get_executor(), time);
    const auto limit = std::make_shared<TransferLimit>();
    awaitTransferEnd(connection, timer, limit);
    boost::system::error_code error = co_await readWithin(connection, parser, *limit);
    if (limit->expired && error) {
        error = boost::beast::error::timeout;
    }
    co_return error;
}

} // namespace mimosatally::internal
