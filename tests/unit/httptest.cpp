#include "coroutinerunner.h"

#include <catch2/catch.hpp>

#include <mimosatally/Core>
#include <mimosatally/Http>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

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

// Guards against an answer of an endpoint or a platform service whose head ends in its middle and that the agent, or any other user of the client, takes for a
// whole one with an empty body.
TEST_CASE("The HTTP client fails if an answer ends within its head", "[http][completeness]")
{
    const std::string partial = GENERATE(as<std::string>(),
                                         "HTTP/1.1 2",
                                         "HTTP/1.1 200 OK\r\n",
                                         "HTTP/1.1 200 OK\r\nContent-Le",
                                         "HTTP/1.1 200 OK\r\nContent-Length: 1",
                                         "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n",
                                         "HTTP/1.1 100 Continue\r\n\r\n");
    const auto streamed = GENERATE(false, true);
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, LOOPBACK);
    const auto answer = [&]() -> awaitable<void> {
        tcp::socket socket = co_await acceptor.async_accept(boost::asio::use_awaitable);
        std::array<char, 1024> request {};
        co_await socket.async_read_some(boost::asio::buffer(request), boost::asio::use_awaitable);
        co_await boost::asio::async_write(socket, boost::asio::buffer(partial), boost::asio::use_awaitable);
    };
    boost::asio::co_spawn(io, answer(), boost::asio::detached);
    HttpClient client(io, acceptor.local_endpoint());
    bool failed = false;
    bool headSeen = false;
    runCoroutine(io, [&]() -> awaitable<void> {
        HttpRequest request = makeHttpRequest(boost::beast::http::verb::get, "/");
        try {
            if (streamed) {
                const HttpClient::HeadHandler onHead = [&headSeen](const auto &) -> awaitable<void> {
                    headSeen = true;
                    co_return;
                };
                const HttpClient::DataHandler onData = [](std::string_view) -> awaitable<void> {
                    co_return;
                };
                co_await client.stream(std::move(request), Duration(1000), onHead, onData);
            } else {
                co_await client.send(std::move(request), Duration(1000));
            }
        } catch (const UnreachableError &) {
            failed = true;
        }
    });
    CHECK(failed);
    CHECK_FALSE(headSeen);
}

// Guards against an interim answer that is taken for the final one, so that the final one is left on the connection for the next request.
TEST_CASE("The HTTP client skips interim answers and gives up after many", "[http][completeness]")
{
    const auto interimAnswers = GENERATE(1, 16, 17);
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, LOOPBACK);
    const auto answer = [&]() -> awaitable<void> {
        tcp::socket socket = co_await acceptor.async_accept(boost::asio::use_awaitable);
        std::array<char, 1024> request {};
        co_await socket.async_read_some(boost::asio::buffer(request), boost::asio::use_awaitable);
        std::string text;
        for (int i = 0; i < interimAnswers; ++i) {
            text += "HTTP/1.1 103 Early Hints\r\n\r\n";
        }
        text += "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
        co_await boost::asio::async_write(socket, boost::asio::buffer(text), boost::asio::use_awaitable);
        co_await socket.async_read_some(boost::asio::buffer(request), boost::asio::use_awaitable);
    };
    boost::asio::co_spawn(io, answer(), boost::asio::detached);
    HttpClient client(io, acceptor.local_endpoint());
    std::string body;
    runCoroutine(io, [&]() -> awaitable<void> {
        try {
            HttpRequest request = makeHttpRequest(boost::beast::http::verb::get, "/");
            const HttpResponse response = co_await client.send(std::move(request), Duration(1000));
            body = response.body();
        } catch (const UnreachableError &) {
            body = "failed";
        }
    });
    constexpr int maxInterimAnswers = 16;
    CHECK(body == (interimAnswers > maxInterimAnswers ? "failed" : "good"));
}
