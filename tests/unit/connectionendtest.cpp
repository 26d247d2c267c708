#include "coroutinerunner.h"

#include <catch2/catch.hpp>

#include <mimosatally/Core>
#include <mimosatally/Http>

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

using namespace mimosatally;
using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;
using mimosatally::test::runCoroutine;

namespace
{
const tcp::endpoint LOOPBACK(boost::asio::ip::make_address("127.0.0.1"), 0);
const std::string REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string LAST_REQUEST = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
constexpr Duration MAX_READ_TIME = Duration(2000);

awaitable<void> answer(HttpExchange &exchange)
{
    co_await exchange.respond(makeHttpResponse(200, "text/plain", "good"));
}

awaitable<void> pause(boost::asio::io_context &io, Duration duration)
{
    boost::asio::steady_timer timer(io, duration);
    co_await timer.async_wait(use_awaitable);
}

/// \brief A server and the ends of its connections.
struct Fixture {
    explicit Fixture(HttpServer::Handler handler, const HttpLimits &limits = {})
        : server(io, LOOPBACK, limits, std::move(handler))
    {
        server.onConnectionEnd([this](const ConnectionEnd &end) {
            ends.push_back(end);
        });
    }

    /// \brief Connects and sends \a bytes without a turn of the event loop.
    tcp::socket caller(const std::string &bytes)
    {
        tcp::socket socket(io);
        socket.connect(server.address());
        boost::asio::write(socket, boost::asio::buffer(bytes));
        return socket;
    }

    /// \brief Number of connections that ended for \a reason.
    [[nodiscard]] std::size_t endsWith(ConnectionEndReason reason) const
    {
        return static_cast<std::size_t>(std::ranges::count(ends, reason, &ConnectionEnd::reason));
    }

    boost::asio::io_context io;
    std::vector<ConnectionEnd> ends;
    HttpServer server;
};

struct Received {
    std::string text;
    /// \brief End of the connection; `operation_aborted` if it is still open after MAX_READ_TIME.
    boost::system::error_code end;
};

/// \brief Reads until \a socket ends, or until \a length bytes have come if that is not 0.
awaitable<Received> receive(tcp::socket &socket, std::size_t length = 0)
{
    Received received;
    boost::asio::steady_timer timer(socket.get_executor(), MAX_READ_TIME);
    timer.async_wait([&socket](const boost::system::error_code &error) {
        if (!error) {
            socket.cancel();
        }
    });
    std::string data(4096, '\0');
    while (!received.end && (length == 0 || received.text.size() < length)) {
        const std::size_t count = co_await socket.async_read_some(boost::asio::buffer(data), redirect_error(use_awaitable, received.end));
        received.text.append(data, 0, count);
    }
    co_return received;
}

bool hasField(const std::string &text, const std::string &field)
{
    return text.find("\r\n" + field + "\r\n") != std::string::npos;
}
} // namespace

// Guards against connections that the system has accepted, and whose requests it has received, being reset when the listener is closed.
TEST_CASE("Connections that wait to be accepted when accepting stops are answered", "[http][ends]")
{
    Fixture fixture(answer);
    std::vector<tcp::socket> callers;
    for (int i = 0; i < 50; ++i) {
        callers.push_back(fixture.caller(REQUEST));
    }
    fixture.server.stopAccepting();
    runCoroutine(fixture.io, [&]() -> awaitable<void> {
        std::size_t answered = 0;
        for (tcp::socket &caller : callers) {
            const Received received = co_await receive(caller);
            answered += received.text.starts_with("HTTP/1.1 200") && received.end == boost::asio::error::eof ? 1 : 0;
        }
        CHECK(answered == callers.size());
    });
}

// Guards against kept connections that a shutdown closes although the next request has arrived on them.
TEST_CASE("Requests that have arrived when the server is shut down are answered", "[http][ends]")
{
    Fixture fixture(answer);
    std::vector<tcp::socket> callers;
    for (int i = 0; i < 50; ++i) {
        callers.push_back(fixture.caller(REQUEST));
    }
    runCoroutine(fixture.io, [&]() -> awaitable<void> {
        for (tcp::socket &caller : callers) {
            const Received received = co_await receive(caller, 1);
            CHECK(received.text.starts_with("HTTP/1.1 200"));
        }
        tcp::socket idle = fixture.caller("");
        co_await pause(fixture.io, Duration(20));
        for (tcp::socket &caller : callers) {
            boost::asio::write(caller, boost::asio::buffer(REQUEST));
        }
        fixture.server.shutDownGracefully();
        std::size_t answered = 0;
        for (tcp::socket &caller : callers) {
            const Received received = co_await receive(caller);
            answered += received.text.starts_with("HTTP/1.1 200") && received.end == boost::asio::error::eof ? 1 : 0;
            CHECK(hasField(received.text, "Connection: close"));
        }
        CHECK(answered == callers.size());
        const Received nothing = co_await receive(idle);
        CHECK(nothing.text.empty());
        CHECK(nothing.end == boost::asio::error::eof);
        CHECK(fixture.endsWith(ConnectionEndReason::Shutdown) == 1);
        CHECK(fixture.server.connections() == 0);
    });
}

// Guards against an answer that promises to keep a connection which the server will close: the caller's next request would be lost.
TEST_CASE("An answer that begins after the close was announced announces it", "[http][ends]")
{
    const bool streamed = GENERATE(false, true);
    const bool shutDown = GENERATE(false, true);
    CAPTURE(streamed, shutDown);
    boost::asio::io_context *context = nullptr;
    Fixture fixture([&](HttpExchange &exchange) -> awaitable<void> {
        co_await pause(*context, Duration(50));
        if (streamed) {
            co_await exchange.beginStream(makeHttpResponse(200, "text/plain", {}));
            co_await exchange.endStream();
            co_return;
        }
        co_await answer(exchange);
    });
    context = &fixture.io;
    tcp::socket caller = fixture.caller(REQUEST);
    runCoroutine(fixture.io, [&]() -> awaitable<void> {
        co_await pause(fixture.io, Duration(20));
        CHECK(fixture.server.activeExchanges() == 1);
        if (shutDown) {
            fixture.server.shutDownGracefully();
        } else {
            fixture.server.announceClosing();
        }
        const Received received = co_await receive(caller);
        CHECK(hasField(received.text, "Connection: close"));
        CHECK(received.end == boost::asio::error::eof);
    });
}

// Guards against a close after an answer that began before the close was announced and has promised to keep the connection.
TEST_CASE("A connection whose answer has promised to keep it serves one more request", "[http][ends]")
{
    boost::asio::io_context *context = nullptr;
    Fixture fixture([&](HttpExchange &exchange) -> awaitable<void> {
        co_await exchange.beginStream(makeHttpResponse(200, "text/plain", {}));
        co_await pause(*context, Duration(50));
        co_await exchange.endStream();
    });
    context = &fixture.io;
    tcp::socket caller = fixture.caller(REQUEST);
    runCoroutine(fixture.io, [&]() -> awaitable<void> {
        co_await pause(fixture.io, Duration(20));
        fixture.server.announceClosing();
        boost::asio::write(caller, boost::asio::buffer(REQUEST));
        const Received received = co_await receive(caller);
        const std::size_t second = received.text.find("HTTP/1.1 200", 1);
        REQUIRE(second != std::string::npos);
        CHECK_FALSE(hasField(received.text.substr(0, second), "Connection: close"));
        CHECK(hasField(received.text.substr(second), "Connection: close"));
    });
}

// Guards against a failure of the handler that closes the connection without a status line, and against one that leaves a dead entry among the connections:
// system_error was taken for an error of the connection, and what is no std::exception was not caught.
TEST_CASE("A failure of the handler before its answer is answered, whatever its type", "[http][ends]")
{
    const auto failure = GENERATE(as<std::string>(), "system", "standard", "other");
    CAPTURE(failure);
    Fixture fixture([&](HttpExchange &) -> awaitable<void> {
        if (failure == "system") {
            throw boost::system::system_error(boost::asio::error::no_descriptors);
        }
        if (failure == "standard") {
            throw Error("handler failed");
        }
        throw 1;
        co_return;
    });
    tcp::socket caller = fixture.caller(LAST_REQUEST);
    runCoroutine(fixture.io, [&]() -> awaitable<void> {
        const Received received = co_await receive(caller);
        CHECK(received.text.starts_with("HTTP/1.1 500"));
        CHECK(received.text.find(R"("outcome":"outcome_unknown")") != std::string::npos);
        CHECK(fixture.server.connections() == 0);
        CHECK(fixture.server.activeExchanges() == 0);
        REQUIRE(fixture.ends.size() == 1);
        CHECK(fixture.ends.front().reason == ConnectionEndReason::HandlerFailed);
        CHECK_FALSE(fixture.ends.front().error.empty());
    });
}

// Guards against a stream that looks complete although its handler failed.
TEST_CASE("A failure of the handler within its answer cuts the answer off", "[http][ends]")
{
    const bool isStandard = GENERATE(true, false);
    CAPTURE(isStandard);
    Fixture fixture([&](HttpExchange &exchange) -> awaitable<void> {
        co_await exchange.beginStream(makeHttpResponse(200, "text/plain", {}));
        co_await exchange.writeChunk("part");
        if (isStandard) {
            throw Error("handler failed");
        }
        throw 1;
    });
    tcp::socket caller = fixture.caller(REQUEST);
    runCoroutine(fixture.io, [&]() -> awaitable<void> {
        const Received received = co_await receive(caller);
        CHECK(received.text.starts_with("HTTP/1.1 200"));
        CHECK(received.text.find("\r\n0\r\n") == std::string::npos);
        CHECK(received.end != boost::asio::error::operation_aborted);
        CHECK(fixture.server.connections() == 0);
        CHECK(fixture.endsWith(ConnectionEndReason::HandlerFailed) == 1);
    });
}

// Guards against an exchange that counts as active without end, which would hold up a shutdown, because the caller had gone before the handler failed.
TEST_CASE("An answer to a failed handler that cannot be written ends the exchange", "[http][ends]")
{
    boost::asio::io_context *context = nullptr;
    Fixture fixture([&](HttpExchange &) -> awaitable<void> {
        co_await pause(*context, Duration(50));
        throw Error("handler failed");
    });
    context = &fixture.io;
    tcp::socket caller = fixture.caller(REQUEST);
    runCoroutine(fixture.io, [&]() -> awaitable<void> {
        co_await pause(fixture.io, Duration(20));
        CHECK(fixture.server.activeExchanges() == 1);
        caller.set_option(boost::asio::socket_base::linger(true, 0));
        caller.close();
        co_await pause(fixture.io, Duration(100));
        CHECK(fixture.server.activeExchanges() == 0);
        CHECK(fixture.server.connections() == 0);
        CHECK(fixture.endsWith(ConnectionEndReason::WriteFailed) == 1);
    });
}

// Guards against connections between two requests that are closed to make room for the bytes of others: a request on its way over them would be lost.
TEST_CASE("A connection that waits for its next request is not closed for bytes", "[http][ends]")
{
    bool held = true;
    boost::asio::io_context *context = nullptr;
    HttpLimits limits;
    limits.maxHeldBytes = std::size_t(64) * 1024;
    Fixture fixture(
        [&](HttpExchange &exchange) -> awaitable<void> {
            while (held && exchange.request().target() == "/hold") {
                co_await pause(*context, Duration(10));
            }
            co_await answer(exchange);
        },
        limits);
    context = &fixture.io;
    std::vector<tcp::socket> waiting;
    for (int i = 0; i < 12; ++i) {
        waiting.push_back(fixture.caller(REQUEST));
    }
    runCoroutine(fixture.io, [&]() -> awaitable<void> {
        for (tcp::socket &caller : waiting) {
            co_await receive(caller, 1);
        }
        std::vector<tcp::socket> holding;
        for (int i = 0; i < 12; ++i) {
            holding.push_back(fixture.caller("GET /hold HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
            co_await pause(fixture.io, Duration(5));
        }
        held = false;
        int refused = 0;
        for (tcp::socket &caller : holding) {
            const Received received = co_await receive(caller);
            const bool isRefused = received.text.starts_with("HTTP/1.1 503");
            const bool hasStatus = isRefused || received.text.starts_with("HTTP/1.1 200");
            CHECK(hasStatus);
            refused += isRefused ? 1 : 0;
        }
        CHECK(refused > 0);
        for (tcp::socket &caller : waiting) {
            boost::system::error_code ignored;
            boost::asio::write(caller, boost::asio::buffer(LAST_REQUEST), ignored);
            const Received received = co_await receive(caller);
            CHECK(received.text.starts_with("HTTP/1.1 200"));
        }
    });
}

// Guards against an incomplete request that ends without a status line: its caller may have shut down only its sending side.
TEST_CASE("A request that its caller does not complete is rejected", "[http][ends]")
{
    const auto bytes = GENERATE(as<std::string>(),
                                "G",
                                "GET / HTTP/1.1\r\nHo",
                                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabc",
                                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    CAPTURE(bytes);
    Fixture fixture(answer);
    tcp::socket caller = fixture.caller(bytes);
    caller.shutdown(tcp::socket::shutdown_send);
    runCoroutine(fixture.io, [&]() -> awaitable<void> {
        const Received received = co_await receive(caller);
        CHECK(received.text.starts_with("HTTP/1.1 400"));
        CHECK(received.text.find(R"("outcome":"not_run")") != std::string::npos);
        co_await pause(fixture.io, Duration(20));
        CHECK(fixture.endsWith(ConnectionEndReason::Rejected) == 1);
    });
}

// Guards against callers that wait for the interim answer before they send their body, and get 408 in its place.
TEST_CASE("A caller that expects an interim answer before its body gets one", "[http][ends]")
{
    Fixture fixture([](HttpExchange &exchange) -> awaitable<void> {
        co_await exchange.respond(makeHttpResponse(200, "text/plain", exchange.request().body()));
    });
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n";
    tcp::socket waiting = fixture.caller(head);
    tcp::socket impatient = fixture.caller(head + "body");
    runCoroutine(fixture.io, [&]() -> awaitable<void> {
        const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
        const Received first = co_await receive(waiting, interim.size());
        CHECK(first.text == interim);
        boost::asio::write(waiting, boost::asio::buffer(std::string("body")));
        for (tcp::socket *caller : {&waiting, &impatient}) {
            const Received received = co_await receive(*caller);
            CHECK(received.text.starts_with("HTTP/1.1 200"));
            CHECK(received.text.ends_with("body"));
        }
    });
}

// Guards against connections beyond the limit that are closed without a word: their callers could not tell whether the request had run.
TEST_CASE("Requests on connections beyond the limit are refused as not run", "[http][ends]")
{
    HttpLimits limits;
    limits.maxConnections = 2;
    int runs = 0;
    Fixture fixture(
        [&](HttpExchange &exchange) -> awaitable<void> {
            ++runs;
            co_await answer(exchange);
        },
        limits);
    std::vector<tcp::socket> kept;
    kept.push_back(fixture.caller(""));
    kept.push_back(fixture.caller(""));
    runCoroutine(fixture.io, [&]() -> awaitable<void> {
        co_await pause(fixture.io, Duration(20));
        const std::string body(std::size_t(200) * 1024, 'x');
        std::vector<tcp::socket> callers;
        for (int i = 0; i < 20; ++i) {
            callers.push_back(fixture.caller("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"));
        }
        tcp::socket silent = fixture.caller("");
        co_await pause(fixture.io, Duration(20));
        for (tcp::socket &caller : callers) {
            boost::system::error_code error;
            co_await boost::asio::async_write(caller, boost::asio::buffer(body), redirect_error(use_awaitable, error));
            CHECK_FALSE(error);
            const Received received = co_await receive(caller);
            CHECK(received.text.starts_with("HTTP/1.1 503"));
            CHECK(received.text.find("\r\nRetry-After: ") != std::string::npos);
            CHECK(hasField(received.text, "Connection: close"));
            CHECK(received.text.find(R"("outcome":"not_run")") != std::string::npos);
            CHECK(received.end == boost::asio::error::eof);
            caller.close();
        }
        CHECK(runs == 0);
        CHECK(fixture.server.connections() == 2);
        CHECK(fixture.endsWith(ConnectionEndReason::TooManyConnections) == 21);
        kept.pop_back();
        co_await pause(fixture.io, Duration(20));
        tcp::socket next = fixture.caller(LAST_REQUEST);
        const Received received = co_await receive(next);
        CHECK(received.text.starts_with("HTTP/1.1 200"));
        const Received nothing = co_await receive(silent);
        CHECK(nothing.end == boost::asio::error::eof);
    });
}

// Guards against connections beyond the limit that use up memory and descriptors without a limit of their own.
TEST_CASE("Few connections beyond the limit are open at a time, and the others wait", "[http][ends]")
{
    HttpLimits limits;
    limits.maxConnections = 1;
    Fixture fixture(answer, limits);
    tcp::socket kept = fixture.caller("");
    std::vector<tcp::socket> silent;
    for (int i = 0; i < 300; ++i) {
        silent.push_back(fixture.caller(""));
    }
    runCoroutine(fixture.io, [&]() -> awaitable<void> {
        co_await pause(fixture.io, Duration(100));
        CHECK(fixture.server.connections() == 1);
        CHECK(fixture.endsWith(ConnectionEndReason::TooManyConnections) <= 64);
        silent.clear();
        tcp::socket last = fixture.caller(LAST_REQUEST);
        const Received received = co_await receive(last);
        CHECK(received.text.starts_with("HTTP/1.1 503"));
    });
}

// Guards against an answer that a reset destroys on its way: closing a connection with unread bytes resets it. A response of HTTP/1.0 without a length
// would also look broken off.
TEST_CASE("Bytes behind the last request of a connection do not reset it", "[http][ends]")
{
    const auto head = GENERATE(as<std::string>(), "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "GET / HTTP/1.0\r\n\r\n");
    CAPTURE(head);
    int runs = 0;
    Fixture fixture([&](HttpExchange &exchange) -> awaitable<void> {
        ++runs;
        co_await exchange.beginStream(makeHttpResponse(200, "text/plain", {}));
        co_await exchange.writeChunk("good");
        co_await exchange.endStream();
    });
    std::string further;
    while (further.size() < std::size_t(200) * 1024) {
        further += REQUEST;
    }
    tcp::socket caller = fixture.caller(head + further);
    runCoroutine(fixture.io, [&]() -> awaitable<void> {
        const Received received = co_await receive(caller);
        CHECK(received.text.find("good") != std::string::npos);
        CHECK(received.end == boost::asio::error::eof);
        // A request behind the last one has not run.
        CHECK(runs == 1);
    });
}

// Guards against an answer without a status line for callers of HTTP/1.0, whose connection is kept only if they ask for it.
TEST_CASE("Requests of HTTP/1.0 and requests in a row are answered in order", "[http][ends]")
{
    Fixture fixture([](HttpExchange &exchange) -> awaitable<void> {
        co_await exchange.respond(makeHttpResponse(200, "text/plain", std::string(exchange.request().target())));
    });
    tcp::socket old = fixture.caller("GET /0 HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET /1 HTTP/1.0\r\n\r\n");
    tcp::socket pipelined = fixture.caller("GET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    runCoroutine(fixture.io, [&]() -> awaitable<void> {
        const Received ofOld = co_await receive(old);
        CHECK(ofOld.text.starts_with("HTTP/1.0 200"));
        CHECK(ofOld.text.find("/0HTTP/1.0 200") != std::string::npos);
        CHECK(ofOld.text.ends_with("/1"));
        const Received ofPipelined = co_await receive(pipelined);
        CHECK(ofPipelined.text.find("/2HTTP/1.1 200") != std::string::npos);
        CHECK(ofPipelined.text.ends_with("/3"));
        CHECK(fixture.endsWith(ConnectionEndReason::Completed) == 2);
    });
}

// Guards against an end that is reported as complete although the caller did not get the answer.
TEST_CASE("A caller that does not read its answer ends its connection at the time limit", "[http][ends]")
{
    HttpLimits limits;
    limits.transferTimeout = Duration(200);
    Fixture fixture(
        [](HttpExchange &exchange) -> awaitable<void> {
            co_await exchange.respond(makeHttpResponse(200, "text/plain", std::string(std::size_t(64) * 1024 * 1024, 'x')));
        },
        limits);
    tcp::socket caller = fixture.caller(REQUEST);
    runCoroutine(fixture.io, [&]() -> awaitable<void> {
        co_await pause(fixture.io, Duration(1000));
        CHECK(fixture.endsWith(ConnectionEndReason::WriteFailed) == 1);
        CHECK(fixture.server.connections() == 0);
        const Received received = co_await receive(caller);
        CHECK(received.text.starts_with("HTTP/1.1 200"));
    });
}

// Guards against a caller's reset within a request, or a handler that ends its answer, without a report of the end.
TEST_CASE("Ends by the caller and by the handler are reported", "[http][ends]")
{
    Fixture fixture([](HttpExchange &exchange) -> awaitable<void> {
        exchange.abort();
        co_return;
    });
    tcp::socket resetting = fixture.caller("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabc");
    tcp::socket closing = fixture.caller("");
    tcp::socket aborted = fixture.caller(REQUEST);
    runCoroutine(fixture.io, [&]() -> awaitable<void> {
        co_await pause(fixture.io, Duration(20));
        resetting.set_option(boost::asio::socket_base::linger(true, 0));
        resetting.close();
        closing.close();
        const Received received = co_await receive(aborted);
        CHECK(received.text.empty());
        co_await pause(fixture.io, Duration(20));
        CHECK(fixture.endsWith(ConnectionEndReason::ReadFailed) == 1);
        CHECK(fixture.endsWith(ConnectionEndReason::CallerClosed) == 1);
        CHECK(fixture.endsWith(ConnectionEndReason::Aborted) == 1);
    });
}
