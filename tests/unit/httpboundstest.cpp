#include "coroutinerunner.h"

#include <catch2/catch.hpp>

#include <mimosatally/Core>
#include <mimosatally/Http>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <map>
#include <memory>
#include <optional>

using namespace mimosatally;
using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;
using mimosatally::test::runCoroutine;

namespace
{
const tcp::endpoint LOOPBACK(boost::asio::ip::make_address("127.0.0.1"), 0);
constexpr std::size_t KILOBYTE = 1024;
constexpr std::size_t MEGABYTE = KILOBYTE * KILOBYTE;
/// \brief What a peer without end sends at the most, so that a test that fails does not exhaust the machine.
constexpr std::size_t FLOOD_BYTES = 24 * MEGABYTE;

/// \brief Writes \a unit again and again until the peer closes the connection or FLOOD_BYTES are sent. \return the number of bytes sent.
awaitable<std::size_t> flood(tcp::socket &socket, std::string unit)
{
    std::string block;
    while (block.size() < 32 * KILOBYTE) {
        block += unit;
    }
    boost::system::error_code error;
    std::size_t sent = 0;
    while (!error && sent < FLOOD_BYTES) {
        sent += co_await boost::asio::async_write(socket, boost::asio::buffer(block), redirect_error(use_awaitable, error));
    }
    co_return sent;
}

/// \brief Reads what the server sends until it closes the connection.
awaitable<std::string> readAll(tcp::socket &socket)
{
    std::string answer;
    boost::system::error_code ignored;
    co_await boost::asio::async_read(socket, boost::asio::dynamic_buffer(answer), redirect_error(use_awaitable, ignored));
    co_return answer;
}
} // namespace

// Guards against a caller that grows a server without end in place of a chunk's length, in its extension or in a trailer: only heads and bodies had a limit.
TEST_CASE("Framing of a request without end is rejected and holds little memory", "[http][bounds]")
{
    const std::string place = GENERATE(as<std::string>(), "field", "length", "extension", "trailer", "trailer fields");
    const std::string chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::map<std::string, std::string> prefixes = {{"field", "POST / HTTP/1.1\r\nX: "},
                                                         {"length", chunked},
                                                         {"extension", chunked + "5;name="},
                                                         {"trailer", chunked + "0\r\nX-Field: "},
                                                         {"trailer fields", chunked + "0\r\n"}};
    const std::string &prefix = prefixes.at(place);
    const bool fields = place == "trailer fields";
    CAPTURE(place);
    constexpr int callers = 16;
    boost::asio::io_context io;
    HttpLimits limits;
    limits.transferTimeout = Duration(5000);
    HttpServer server(io, LOOPBACK, limits, [](HttpExchange &exchange) -> awaitable<void> {
        co_await exchange.respond(makeHttpResponse(200, "text/plain", "run"));
    });
    int ended = 0;
    int rejected = 0;
    for (int i = 0; i < callers; ++i) {
        boost::asio::co_spawn(
            io,
            [&]() -> awaitable<void> {
                const auto socket = std::make_shared<tcp::socket>(io);
                co_await socket->async_connect(server.address(), use_awaitable);
                co_await boost::asio::async_write(*socket, boost::asio::buffer(prefix), use_awaitable);
                boost::asio::co_spawn(
                    io,
                    [socket, fields]() -> awaitable<void> {
                        co_await flood(*socket, fields ? "X-F: x\r\n" : "x");
                    },
                    boost::asio::detached);
                const std::string answer = co_await readAll(*socket);
                rejected += answer.starts_with("HTTP/1.1 4") ? 1 : 0;
                ++ended;
            },
            boost::asio::detached);
    }
    runCoroutine(io, [&]() -> awaitable<void> {
        while (ended < callers) {
            boost::asio::steady_timer timer(io, std::chrono::milliseconds(10));
            co_await timer.async_wait(use_awaitable);
        }
    });
    CHECK(rejected == callers);
    // docs/input-bounds.md: the largest head and 16 KB.
    CHECK(server.heldBytes().peakBytes() <= callers * (limits.maxHeaderBytes + 16 * KILOBYTE));
}

// Guards against many bodies that are each within the limit of a body and exceed the memory of the process together, and against small requests that are
// refused in their place.
TEST_CASE("Bodies of all requests together are bounded, and the largest is refused", "[http][bounds]")
{
    constexpr std::size_t maxHeld = 4 * MEGABYTE;
    constexpr int callers = 12;
    boost::asio::io_context io;
    HttpLimits limits;
    limits.maxBodyBytes = MEGABYTE;
    limits.maxHeldBytes = maxHeld;
    limits.transferTimeout = Duration(1500);
    HttpServer server(io, LOOPBACK, limits, [](HttpExchange &exchange) -> awaitable<void> {
        co_await exchange.respond(makeHttpResponse(200, "text/plain", "run"));
    });
    int refused = 0;
    int ended = 0;
    for (int i = 0; i < callers; ++i) {
        boost::asio::co_spawn(
            io,
            [&]() -> awaitable<void> {
                tcp::socket socket(io);
                co_await socket.async_connect(server.address(), use_awaitable);
                // The last byte of the body is never sent.
                const std::string request =
                    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(MEGABYTE) + "\r\n\r\n" + std::string(MEGABYTE - 1, 'x');
                boost::system::error_code ignored;
                co_await boost::asio::async_write(socket, boost::asio::buffer(request), redirect_error(use_awaitable, ignored));
                const std::string answer = co_await readAll(socket);
                const bool promised = answer.starts_with("HTTP/1.1 503") && answer.find("Retry-After: ") != std::string::npos
                                      && answer.find(R"("outcome":"not_run")") != std::string::npos;
                refused += promised ? 1 : 0;
                ++ended;
            },
            boost::asio::detached);
    }
    HttpClient client(io, server.address());
    runCoroutine(io, [&]() -> awaitable<void> {
        while (ended < callers) {
            const HttpResponse response = co_await client.send(makeHttpRequest(boost::beast::http::verb::post, "/", "text/plain", "small"), Duration(1000));
            CHECK(response.result_int() == 200);
            boost::asio::steady_timer timer(io, std::chrono::milliseconds(20));
            co_await timer.async_wait(use_awaitable);
        }
    });
    CHECK(refused >= callers - static_cast<int>(maxHeld / MEGABYTE));
    constexpr std::size_t oneRead = 64 * KILOBYTE;
    CHECK(server.heldBytes().peakBytes() <= maxHeld + oneRead);
    CHECK(server.heldBytes().heldBytes() <= 64 * KILOBYTE);
}

// Guards against limits that refuse sound requests: chunks of one byte, extensions and trailers of ordinary length, and large bodies.
TEST_CASE("Requests with unusual but sound framing are read whole", "[http][bounds]")
{
    boost::asio::io_context io;
    HttpServer server(io, LOOPBACK, HttpLimits(), [](HttpExchange &exchange) -> awaitable<void> {
        co_await exchange.respond(makeHttpResponse(200, "text/plain", std::to_string(exchange.request().body().size())));
    });
    constexpr std::size_t size = 4 * MEGABYTE;
    std::string sliced;
    for (std::size_t i = 0; i < 64 * KILOBYTE; ++i) {
        sliced += "1;name=\"value\"\r\nz\r\n";
    }
    runCoroutine(io, [&]() -> awaitable<void> {
        tcp::socket socket(io);
        co_await socket.async_connect(server.address(), use_awaitable);
        const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + sliced + "0;last\r\nX-Sum: " + std::string(1000, '7')
                                    + "\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n"
                                    + std::string(size, 'x');
        co_await boost::asio::async_write(socket, boost::asio::buffer(request), use_awaitable);
        const std::string answers = co_await readAll(socket);
        CHECK(answers.find("\r\n\r\n65536HTTP/1.1 200") != std::string::npos);
        CHECK(answers.ends_with("\r\n\r\n" + std::to_string(size)));
    });
}

namespace
{
/// \brief Accepts one connection, sends \a prefix and then \a unit without end. \return the number of bytes sent after the prefix.
awaitable<std::size_t> answerWithoutEnd(tcp::acceptor &acceptor, std::string prefix, std::string unit)
{
    tcp::socket socket = co_await acceptor.async_accept(use_awaitable);
    std::string request;
    co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", use_awaitable);
    boost::system::error_code error;
    co_await boost::asio::async_write(socket, boost::asio::buffer(prefix), redirect_error(use_awaitable, error));
    const std::size_t sent = co_await flood(socket, unit);
    co_return sent;
}
} // namespace

// Guards against a process that keeps bytes without end of an engine, of the store or of the log service until it runs out of memory: heads and bodies had a
// limit, the framing between them had none.
TEST_CASE("The HTTP client ends an answer whose framing has no end", "[http][bounds]")
{
    const std::string framing = GENERATE(as<std::string>(),
                                         "X: ",
                                         "Transfer-Encoding: chunked\r\n\r\n",
                                         "Transfer-Encoding: chunked\r\n\r\n5;name=",
                                         "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Field: ");
    const std::string prefix = "HTTP/1.1 200 OK\r\n" + framing;
    const auto streamed = GENERATE(false, true);
    CAPTURE(prefix, streamed);
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, LOOPBACK);
    std::optional<std::size_t> sent;
    boost::asio::co_spawn(
        io,
        [&]() -> awaitable<void> {
            sent = co_await answerWithoutEnd(acceptor, prefix, "x");
        },
        boost::asio::detached);
    HttpClient client(io, acceptor.local_endpoint());
    bool failed = false;
    runCoroutine(io, [&]() -> awaitable<void> {
        try {
            if (streamed) {
                co_await client.stream(
                    makeHttpRequest(boost::beast::http::verb::get, "/"),
                    Duration(5000),
                    [](const HttpResponse &) -> awaitable<void> {
                        co_return;
                    },
                    [](std::string_view) -> awaitable<void> {
                        co_return;
                    });
            } else {
                co_await client.send(makeHttpRequest(boost::beast::http::verb::get, "/"), Duration(5000));
            }
        } catch (const UnreachableError &) {
            failed = true;
        }
        while (!sent) {
            boost::asio::steady_timer timer(io, std::chrono::milliseconds(5));
            co_await timer.async_wait(use_awaitable);
        }
    });
    CHECK(failed);
    // What the kernel's buffers of both sides take, and the limit of the client.
    constexpr std::size_t takenAtMost = 12 * MEGABYTE;
    CHECK(*sent < takenAtMost);
}
