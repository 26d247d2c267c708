#include <mimosatally/Http>

#include "answerstatus.h"
#include "receivedchunks.h"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdint>
#include <limits>
#include <memory>

namespace mimosatally
{

namespace http = boost::beast::http;
using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;

namespace
{
constexpr std::size_t STREAM_BUFFER_BYTES = std::size_t(16) * 1024;
/// \brief Largest head, length of a chunk with its extension, or trailer; also the largest single read.
constexpr std::size_t MAX_FRAMING_BYTES = std::size_t(64) * 1024;
/// \brief Interim answers before the final one that are skipped; a server can send them without end.
constexpr int MAX_INTERIM_ANSWERS = 16;

/// \brief Returns true if an idle connection is still usable: open and without unread data.
bool isUsable(boost::beast::tcp_stream &stream)
{
    char byte = 0;
    boost::system::error_code error;
    stream.socket().non_blocking(true, error);
    stream.socket().receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
    return error == boost::asio::error::would_block;
}

[[noreturn]] void throwUnreachable(const tcp::endpoint &server, const boost::system::error_code &error)
{
    throw UnreachableError(toString(server) + ": " + error.message());
}

/// \brief Reads heads up to the first one that is no interim answer (1xx). \param[out] parser parser of that head, with \a bodyLimit in bytes.
template<class Body>
awaitable<boost::system::error_code> readFinalHead(boost::beast::tcp_stream &stream,
                                                   boost::beast::flat_buffer &buffer,
                                                   std::unique_ptr<http::response_parser<Body>> &parser,
                                                   std::uint64_t bodyLimit)
{
    boost::system::error_code error;
    for (int heads = 0; heads <= MAX_INTERIM_ANSWERS; ++heads) {
        parser = std::make_unique<http::response_parser<Body>>();
        parser->body_limit(bodyLimit);
        co_await http::async_read_header(stream, buffer, *parser, redirect_error(use_awaitable, error));
        if (!error && !internal::isAnswerStatus(parser->get().result_int())) {
            co_return http::make_error_code(http::error::bad_status);
        }
        const bool interim = !error && http::to_status_class(parser->get().result_int()) == http::status_class::informational;
        if (!interim) {
            co_return error;
        }
    }
    co_return http::make_error_code(http::error::unexpected_body);
}

/// \brief Reads the rest of a response. \param progressTimeout longest time without data. \param end time at which the response must be complete.
awaitable<boost::system::error_code> readBody(
    boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, http::response_parser<http::string_body> &parser, Duration progressTimeout, Time end)
{
    boost::system::error_code error;
    while (!parser.is_done() && !error) {
        stream.expires_after(std::clamp(end - MilliClock::now(), Duration(0), progressTimeout));
        co_await http::async_read_some(stream, buffer, parser, redirect_error(use_awaitable, error));
        if (!error) {
            internal::parseReceivedChunks(parser, buffer);
        }
    }
    co_return error;
}
} // namespace

HttpClient::HttpClient(boost::asio::io_context &io, tcp::endpoint server, Options options)
    : io_(io)
    , server_(std::move(server))
    , options_(options)
{
}

HttpClient::HttpClient(boost::asio::io_context &io, tcp::endpoint server)
    : HttpClient(io, std::move(server), Options())
{
}

awaitable<HttpClient::Stream> HttpClient::acquire()
{
    while (!idleConnections_.empty()) {
        Stream stream = std::move(idleConnections_.back());
        idleConnections_.pop_back();
        if (isUsable(*stream)) {
            co_return stream;
        }
    }
    Stream stream = co_await connect();
    co_return stream;
}

awaitable<HttpClient::Stream> HttpClient::connect()
{
    auto stream = std::make_unique<boost::beast::tcp_stream>(io_);
    boost::system::error_code error;
    stream->expires_after(options_.connectTimeout);
    co_await stream->async_connect(server_, redirect_error(use_awaitable, error));
    if (error) {
        throw ConnectError(toString(server_) + ": " + error.message());
    }
    stream->socket().set_option(tcp::no_delay(true), error);
    co_return stream;
}

void HttpClient::release(Stream stream)
{
    if (idleConnections_.size() < options_.maxIdleConnections) {
        stream->expires_never();
        idleConnections_.push_back(std::move(stream));
    }
}

void HttpClient::prepare(HttpRequest &request) const
{
    request.set(http::field::host, toString(server_));
    // The server closes a connection that serves one call, so that no port of this client waits for late packets.
    request.keep_alive(options_.maxIdleConnections > 0);
    request.prepare_payload();
}

awaitable<HttpResponse> HttpClient::send(HttpRequest request, Duration timeout)
{
    return send(std::move(request), CallTimeouts {timeout, timeout, timeout});
}

awaitable<HttpResponse> HttpClient::send(HttpRequest request, CallTimeouts timeouts)
{
    return exchange(std::move(request), timeouts, [] {
        return true;
    });
}

awaitable<HttpResponse> HttpClient::sendIf(HttpRequest request, Duration timeout, std::function<bool()> allowed)
{
    return exchange(std::move(request), {timeout, timeout, timeout}, std::move(allowed));
}

awaitable<HttpResponse> HttpClient::exchange(HttpRequest request, CallTimeouts timeouts, std::function<bool()> allowed)
{
    prepare(request);
    Stream stream = co_await acquire();
    if (!allowed()) {
        throw ConnectError(toString(server_) + ": the request is not allowed any more");
    }
    boost::system::error_code error;
    const Time end = MilliClock::now() + timeouts.total;
    stream->expires_after(std::min(timeouts.head, timeouts.total));
    co_await http::async_write(*stream, request, redirect_error(use_awaitable, error));
    if (error) {
        throwUnreachable(server_, error);
    }
    boost::beast::flat_buffer buffer(MAX_FRAMING_BYTES);
    std::unique_ptr<http::response_parser<http::string_body>> parser;
    error = co_await readFinalHead(*stream, buffer, parser, options_.maxResponseBytes);
    if (!error) {
        error = co_await readBody(*stream, buffer, *parser, timeouts.progress, end);
    }
    if (error) {
        throwUnreachable(server_, error);
    }
    HttpResponse response = parser->release();
    // Bytes after a complete answer belong to no call, so such a connection is not used again.
    if (response.keep_alive() && buffer.size() == 0) {
        release(std::move(stream));
    }
    co_return response;
}

awaitable<StreamedBody> HttpClient::stream(HttpRequest request, Duration idleTimeout, HeadHandler onHead, DataHandler onData)
{
    prepare(request);
    Stream stream = co_await acquire();
    boost::system::error_code error;
    stream->expires_after(idleTimeout);
    co_await http::async_write(*stream, request, redirect_error(use_awaitable, error));
    if (error) {
        throwUnreachable(server_, error);
    }
    boost::beast::flat_buffer buffer(MAX_FRAMING_BYTES);
    std::unique_ptr<http::response_parser<http::buffer_body>> finalParser;
    // Without a body limit, Beast 1.74 rejects every response with a Content-Length as too long.
    error = co_await readFinalHead(*stream, buffer, finalParser, std::numeric_limits<std::uint64_t>::max());
    if (error) {
        throwUnreachable(server_, error);
    }
    http::response_parser<http::buffer_body> &parser = *finalParser;
    co_await onHead(HttpResponse(parser.get().base()));
    std::array<char, STREAM_BUFFER_BYTES> data;
    while (!parser.is_done()) {
        parser.get().body().data = data.data();
        parser.get().body().size = data.size();
        stream->expires_after(idleTimeout);
        co_await http::async_read_some(*stream, buffer, parser, redirect_error(use_awaitable, error));
        if (error && error != http::error::need_buffer) {
            throwUnreachable(server_, error);
        }
        internal::parseReceivedChunks(parser, buffer);
        const std::size_t count = data.size() - parser.get().body().size;
        if (count > 0) {
            co_await onData(std::string_view(data.data(), count));
        }
    }
    const BodyFraming framing = bodyFraming(parser);
    if (parser.get().keep_alive() && framing != BodyFraming::ConnectionEnd && buffer.size() == 0) {
        release(std::move(stream));
    }
    co_return StreamedBody {framing, framing == BodyFraming::ConnectionEnd ? BodyEnd::ConnectionClosed : BodyEnd::Framing};
}

} // namespace mimosatally
