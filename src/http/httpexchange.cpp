#include <mimosatally/Http>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>

namespace mimosatally
{

namespace http = boost::beast::http;
using boost::asio::use_awaitable;

namespace
{
/// \brief Returns true if the next read from \a stream would fail or reach the end of the stream.
bool hasEnded(boost::beast::tcp_stream &stream)
{
    char byte = 0;
    boost::system::error_code error;
    auto &socket = stream.socket();
    socket.non_blocking(true, error);
    socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
    return error && error != boost::asio::error::would_block;
}
} // namespace

struct HttpExchange::Watch {
    std::function<void()> callback;
    boost::beast::tcp_stream *stream = nullptr;
};

HttpExchange::HttpExchange(boost::beast::tcp_stream &stream, HttpRequest request, const HttpLimits &limits, Duration waited)
    : stream_(stream)
    , request_(std::move(request))
    , limits_(limits)
    , waited_(waited)
    , keepAlive_(request_.keep_alive())
{
}

HttpExchange::~HttpExchange()
{
    if (watch_) {
        watch_->callback = nullptr;
        watch_->stream = nullptr;
    }
}

const HttpRequest &HttpExchange::request() const
{
    return request_;
}

Duration HttpExchange::waited() const
{
    return waited_;
}

HttpRequest &HttpExchange::request()
{
    return request_;
}

boost::asio::awaitable<void> HttpExchange::respond(HttpResponse response)
{
    responded_ = true;
    response.version(request_.version());
    response.keep_alive(keepAlive_);
    response.prepare_payload();
    stream_.expires_after(limits_.transferTimeout);
    co_await http::async_write(stream_, response, use_awaitable);
}

boost::asio::awaitable<void> HttpExchange::beginStream(HttpResponse header)
{
    responded_ = true;
    http::response<http::empty_body> head(header.base());
    constexpr unsigned firstVersionWithChunks = 11;
    endsWithConnection_ = request_.version() < firstVersionWithChunks;
    keepAlive_ = keepAlive_ && !endsWithConnection_;
    head.version(request_.version());
    head.keep_alive(keepAlive_);
    head.chunked(!endsWithConnection_);
    if (endsWithConnection_) {
        resetOnClose(true);
    }
    http::response_serializer<http::empty_body> serializer(head);
    stream_.expires_after(limits_.transferTimeout);
    co_await http::async_write_header(stream_, serializer, use_awaitable);
}

boost::asio::awaitable<void> HttpExchange::writeChunk(std::string_view data)
{
    if (data.empty()) {
        co_return;
    }
    stream_.expires_after(limits_.transferTimeout);
    const auto buffer = boost::asio::buffer(data.data(), data.size());
    if (endsWithConnection_) {
        co_await boost::asio::async_write(stream_, buffer, use_awaitable);
        co_return;
    }
    co_await boost::asio::async_write(stream_, http::make_chunk(buffer), use_awaitable);
}

boost::asio::awaitable<void> HttpExchange::endStream()
{
    if (endsWithConnection_) {
        resetOnClose(false);
        co_return;
    }
    stream_.expires_after(limits_.transferTimeout);
    co_await boost::asio::async_write(stream_, http::make_chunk_last(), use_awaitable);
}

void HttpExchange::abort()
{
    responded_ = true;
    aborted_ = true;
    keepAlive_ = false;
    if (endsWithConnection_) {
        resetOnClose(true);
    }
    stream_.close();
}

void HttpExchange::resetOnClose(bool enabled)
{
    boost::system::error_code ignored;
    stream_.socket().set_option(boost::asio::socket_base::linger(enabled, 0), ignored);
}

void HttpExchange::onPeerClosed(std::function<void()> callback)
{
    watch_ = std::make_shared<Watch>();
    watch_->callback = std::move(callback);
    watch_->stream = &stream_;
    watchForClose(watch_);
}

void HttpExchange::watchForClose(const std::shared_ptr<Watch> &watch)
{
    stream_.socket().async_wait(boost::asio::ip::tcp::socket::wait_read, [watch](const boost::system::error_code &error) {
        if (error || watch->stream == nullptr) {
            return;
        }
        if (!hasEnded(*watch->stream)) {
            // The peer has pipelined its next request; a close after it is detected by the next write only.
            return;
        }
        if (watch->callback) {
            watch->callback();
        }
    });
}

bool HttpExchange::isPeerClosed()
{
    return hasEnded(stream_);
}

void HttpExchange::closeAfterResponse()
{
    keepAlive_ = false;
}

bool HttpExchange::hasResponded() const
{
    return responded_;
}

bool HttpExchange::isAborted() const
{
    return aborted_;
}

bool HttpExchange::shouldKeepAlive() const
{
    return keepAlive_;
}

} // namespace mimosatally
