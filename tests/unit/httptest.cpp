#include "coroutinerunner.h"

#include <catch2/catch.hpp>

#include <mimosatally/Core>
#include <mimosatally/Http>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

using namespace mimosatally;
using boost::asio::awaitable;
using boost::asio::ip::tcp;
using mimosatally::test::runCoroutine;

namespace
{
const tcp::endpoint LOOPBACK(boost::asio::ip::make_address("127.0.0.1"), 0);

HttpLimits smallLimits()
{
    HttpLimits limits;
    limits.maxBodyBytes = 64;
    limits.maxHeaderBytes = 512;
    limits.transferTimeout = Duration(200);
    return limits;
}

awaitable<void> echo(HttpExchange &exchange)
{
    if (exchange.request().target() == "/stream") {
        co_await exchange.beginStream(makeHttpResponse(200, "text/plain", {}));
        co_await exchange.writeChunk("first ");
        co_await exchange.writeChunk("second");
        co_await exchange.endStream();
        co_return;
    }
    if (exchange.request().target() == "/throw") {
        throw Error("handler failed");
    }
    co_await exchange.respond(makeHttpResponse(200, "text/plain", exchange.request().body()));
}

/// \brief Sends raw bytes and returns everything that the server sends until it closes the connection.
awaitable<std::string> sendRaw(boost::asio::io_context &io, tcp::endpoint server, std::string bytes)
{
    tcp::socket socket(io);
    co_await socket.async_connect(server, boost::asio::use_awaitable);
    co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), boost::asio::use_awaitable);
    std::string answer;
    boost::system::error_code ignored;
    co_await boost::asio::async_read(socket, boost::asio::dynamic_buffer(answer), boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    co_return answer;
}
} // namespace

TEST_CASE("The HTTP client gets plain and streamed responses over one connection", "[http]")
{
    boost::asio::io_context io;
    HttpServer server(io, LOOPBACK, smallLimits(), echo);
    HttpClient client(io, server.address());
    runCoroutine(io, [&]() -> awaitable<void> {
        const HttpResponse plain = co_await client.send(makeHttpRequest(boost::beast::http::verb::post, "/", "text/plain", "hello"), Duration(1000));
        CHECK(plain.body() == "hello");
        std::string text;
        unsigned status = 0;
        co_await client.stream(
            makeHttpRequest(boost::beast::http::verb::get, "/stream"),
            Duration(1000),
            [&](const HttpResponse &head) -> awaitable<void> {
                status = head.result_int();
                co_return;
            },
            [&](std::string_view data) -> awaitable<void> {
                text += data;
                co_return;
            });
        CHECK(status == 200);
        CHECK(text == "first second");
        CHECK(server.connections() == 1);
    });
}

// Guards against unbounded memory use and silently closed connections on bad input.
TEST_CASE("The HTTP server rejects malformed, oversized and slow requests with a status", "[http]")
{
    boost::asio::io_context io;
    HttpServer server(io, LOOPBACK, smallLimits(), echo);
    runCoroutine(io, [&]() -> awaitable<void> {
        CHECK((co_await sendRaw(io, server.address(), "NONSENSE\r\n\r\n")).starts_with("HTTP/1.1 400"));
        CHECK((co_await sendRaw(io, server.address(), "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n")).starts_with("HTTP/1.1 413"));
        CHECK((co_await sendRaw(io, server.address(), "GET / HTTP/1.1\r\nX: " + std::string(1000, 'a') + "\r\n\r\n")).starts_with("HTTP/1.1 431"));
        CHECK((co_await sendRaw(io, server.address(), "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabc")).starts_with("HTTP/1.1 408"));
        CHECK((co_await sendRaw(io, server.address(), "GET /throw HTTP/1.1\r\nConnection: close\r\n\r\n")).starts_with("HTTP/1.1 500"));
    });
}

// Guards against a streamed response with a Content-Length being rejected as too long.
TEST_CASE("The HTTP client streams responses with a Content-Length", "[http]")
{
    boost::asio::io_context io;
    HttpServer server(io, LOOPBACK, smallLimits(), echo);
    HttpClient client(io, server.address());
    runCoroutine(io, [&]() -> awaitable<void> {
        std::string text;
        co_await client.stream(
            makeHttpRequest(boost::beast::http::verb::post, "/", "text/plain", "hello"),
            Duration(1000),
            [](const HttpResponse &) -> awaitable<void> {
                co_return;
            },
            [&](std::string_view data) -> awaitable<void> {
                text += data;
                co_return;
            });
        CHECK(text == "hello");
    });
}
