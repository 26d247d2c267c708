#include "coroutinerunner.h"

#include <catch2/catch.hpp>

#include <mimosatally/Http>

#include <boost/asio/connect.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <thread>

using namespace mimosatally;
using boost::asio::awaitable;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;
using mimosatally::test::runCoroutine;

namespace
{
const tcp::endpoint LOOPBACK(boost::asio::ip::make_address("127.0.0.1"), 0);
const std::string REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

HttpLimits limitsWith(Duration idleTimeout)
{
    HttpLimits limits;
    limits.idleTimeout = idleTimeout;
    return limits;
}

awaitable<void> answer(HttpExchange &exchange)
{
    co_await exchange.respond(makeHttpResponse(200, "text/plain", "good"));
}

/// \brief Answers as the gateway does, which watches the connection for its end.
awaitable<void> watchAndAnswer(HttpExchange &exchange)
{
    exchange.onPeerClosed([] {});
    co_await exchange.respond(makeHttpResponse(200, "text/plain", "good"));
}

std::string postWith(std::size_t bodyBytes)
{
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x');
}

awaitable<void> pause(boost::asio::io_context &io, Duration duration)
{
    boost::asio::steady_timer timer(io, duration);
    co_await timer.async_wait(use_awaitable);
}

/// \brief Sends a request and returns whether a whole answer came; false if the connection was closed.
awaitable<bool> call(tcp::socket &socket, std::string request = REQUEST)
{
    boost::system::error_code error;
    co_await boost::asio::async_write(socket, boost::asio::buffer(request), boost::asio::redirect_error(use_awaitable, error));
    std::string text;
    std::array<char, 4096> data {};
    while (!error && text.find("good") == std::string::npos) {
        const std::size_t count = co_await socket.async_read_some(boost::asio::buffer(data), boost::asio::redirect_error(use_awaitable, error));
        text.append(data.data(), count);
    }
    co_return text.starts_with("HTTP/1.1 200");
}
} // namespace

// Guards against connections that keep the idle timeout with which their wait began, and so are closed when callers use them by the limits in force.
TEST_CASE("A longer idle timeout holds at once for connections that wait, and a shorter one closes none early", "[http]")
{
    boost::asio::io_context io;
    HttpServer server(io, LOOPBACK, limitsWith(Duration(200)), answer);
    std::vector<ConnectionEnd> ends;
    server.onConnectionEnd([&ends](const ConnectionEnd &end) {
        ends.push_back(end);
    });
    runCoroutine(io, [&]() -> awaitable<void> {
        std::vector<tcp::socket> callers;
        for (int i = 0; i < 20; ++i) {
            callers.emplace_back(io);
            co_await callers.back().async_connect(server.address(), use_awaitable);
            const bool answered = co_await call(callers.back());
            CHECK(answered);
        }
        server.setLimits(limitsWith(Duration(1000)));
        co_await pause(io, Duration(700));
        for (tcp::socket &caller : callers) {
            const bool answered = co_await call(caller);
            CHECK(answered);
        }
        CHECK(ends.empty());
        server.setLimits(limitsWith(Duration(100)));
        co_await pause(io, Duration(600));
        for (tcp::socket &caller : callers) {
            const bool answered = co_await call(caller);
            CHECK(answered);
        }
        CHECK(ends.empty());
        co_await pause(io, Duration(400));
        CHECK(ends.size() == callers.size());
        for (const ConnectionEnd &end : ends) {
            CHECK(end.reason == ConnectionEndReason::IdleTimeout);
            CHECK(end.requests == 3);
            CHECK(end.unreadBytes == 0);
            CHECK(end.idle >= Duration(100));
        }
    });
}

// Guards against a connection that is closed with a request in it because the idle timeout fell due, and the request came, while the event loop stood still.
TEST_CASE("A request that came during a stall is answered although the idle timeout has passed", "[http]")
{
    boost::asio::io_context io;
    HttpServer server(io, LOOPBACK, limitsWith(Duration(150)), answer);
    runCoroutine(io, [&]() -> awaitable<void> {
        // More connections than one turn of the event loop gets events for.
        constexpr int connections = 400;
        std::vector<tcp::socket> callers;
        for (int i = 0; i < connections; ++i) {
            callers.emplace_back(io);
            co_await callers.back().async_connect(server.address(), use_awaitable);
            const bool answered = co_await call(callers.back());
            CHECK(answered);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        for (tcp::socket &caller : callers) {
            boost::asio::write(caller, boost::asio::buffer(REQUEST));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        int answered = 0;
        for (tcp::socket &caller : callers) {
            std::string text;
            std::array<char, 4096> data {};
            boost::system::error_code error;
            const std::size_t count = co_await caller.async_read_some(boost::asio::buffer(data), boost::asio::redirect_error(use_awaitable, error));
            answered += !error && std::string_view(data.data(), count).starts_with("HTTP/1.1 200") ? 1 : 0;
        }
        CHECK(answered == connections);
    });
}

// Guards against a request that is broken off while its head is read, because the idle timer fell due in the turn of the event loop that read its first part.
TEST_CASE("A request whose first part came during a stall is read to its end although the idle timeout has passed", "[http]")
{
    boost::asio::io_context io;
    HttpServer server(io, LOOPBACK, limitsWith(Duration(150)), answer);
    runCoroutine(io, [&]() -> awaitable<void> {
        constexpr int connections = 40;
        std::vector<tcp::socket> callers;
        for (int i = 0; i < connections; ++i) {
            callers.emplace_back(io);
            co_await callers.back().async_connect(server.address(), use_awaitable);
            const bool answered = co_await call(callers.back());
            CHECK(answered);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        const std::string first = "POST / HTTP/1.1\r\nHost: h\r\n";
        const std::string rest = "Content-Length: 2\r\n\r\nab";
        for (tcp::socket &caller : callers) {
            boost::asio::write(caller, boost::asio::buffer(first));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        co_await pause(io, Duration(50));
        int answered = 0;
        for (tcp::socket &caller : callers) {
            boost::system::error_code error;
            boost::asio::write(caller, boost::asio::buffer(rest), error);
            std::array<char, 4096> data {};
            const std::size_t count = co_await caller.async_read_some(boost::asio::buffer(data), boost::asio::redirect_error(use_awaitable, error));
            answered += !error && std::string_view(data.data(), count).starts_with("HTTP/1.1 200") ? 1 : 0;
        }
        CHECK(answered == connections);
    });
}

// Guards against a request that is read and then dropped: the reactor completed the watch of the last exchange first, so the idle timer that was due was
// handled between the read of the request and its completion.
TEST_CASE("A request that came during a stall on a connection that was watched for its end is answered", "[http]")
{
    const std::size_t bodyBytes = GENERATE(std::size_t(10), std::size_t(6000));
    boost::asio::io_context io;
    HttpServer server(io, LOOPBACK, limitsWith(Duration(150)), watchAndAnswer);
    runCoroutine(io, [&]() -> awaitable<void> {
        constexpr int connections = 40;
        const std::string request = postWith(bodyBytes);
        std::vector<tcp::socket> callers;
        for (int i = 0; i < connections; ++i) {
            callers.emplace_back(io);
            co_await callers.back().async_connect(server.address(), use_awaitable);
            const bool answered = co_await call(callers.back(), request);
            CHECK(answered);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        for (tcp::socket &caller : callers) {
            boost::asio::write(caller, boost::asio::buffer(request));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        int answered = 0;
        for (tcp::socket &caller : callers) {
            std::array<char, 4096> data {};
            boost::system::error_code error;
            const std::size_t count = co_await caller.async_read_some(boost::asio::buffer(data), boost::asio::redirect_error(use_awaitable, error));
            answered += !error && std::string_view(data.data(), count).starts_with("HTTP/1.1 200") ? 1 : 0;
        }
        CHECK(answered == connections);
    });
}
