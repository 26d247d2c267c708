#include "coroutinerunner.h"

#include <catch2/catch.hpp>

#include <mimosatally/Http>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <thread>

using namespace mimosatally;
using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;
using mimosatally::test::runCoroutine;

namespace
{
const tcp::endpoint LOOPBACK(boost::asio::ip::make_address("127.0.0.1"), 0);
const std::string FIRST_HALF = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345";
const std::string SECOND_HALF = "67890";

HttpLimits limits()
{
    HttpLimits result;
    result.transferTimeout = Duration(150);
    return result;
}

awaitable<void> answer(HttpExchange &exchange)
{
    co_await exchange.respond(makeHttpResponse(200, "text/plain", "good"));
}

awaitable<void> pause(boost::asio::io_context &io, Duration duration)
{
    boost::asio::steady_timer timer(io, duration);
    co_await timer.async_wait(use_awaitable);
}

/// \brief Connects \a count callers, each of which has sent the first half of a request that the server has begun to read.
awaitable<std::vector<tcp::socket>> begin(boost::asio::io_context &io, const HttpServer &server, int count)
{
    std::vector<tcp::socket> callers;
    for (int i = 0; i < count; ++i) {
        callers.emplace_back(io);
        co_await callers.back().async_connect(server.address(), use_awaitable);
        boost::asio::write(callers.back(), boost::asio::buffer(FIRST_HALF));
    }
    co_await pause(io, Duration(20));
    co_return callers;
}

/// \brief Number of callers that get an answer with \a status.
awaitable<int> countAnswers(std::vector<tcp::socket> &callers, std::string status)
{
    int count = 0;
    for (tcp::socket &caller : callers) {
        std::array<char, 4096> data {};
        boost::system::error_code error;
        const std::size_t bytes = co_await caller.async_read_some(boost::asio::buffer(data), redirect_error(use_awaitable, error));
        count += !error && std::string_view(data.data(), bytes).starts_with("HTTP/1.1 " + status) ? 1 : 0;
    }
    co_return count;
}
} // namespace

// Guards against whole requests that are refused with 408 because their time ended while the event loop stood still.
TEST_CASE("Requests whose rest came during a stall are answered although their time has ended", "[http]")
{
    boost::asio::io_context io;
    HttpServer server(io, LOOPBACK, limits(), answer);
    runCoroutine(io, [&]() -> awaitable<void> {
        std::vector<tcp::socket> callers = co_await begin(io, server, 400);
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        for (tcp::socket &caller : callers) {
            boost::asio::write(caller, boost::asio::buffer(SECOND_HALF));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        const int answered = co_await countAnswers(callers, "200");
        CHECK(answered == 400);
    });
}

// Guards against a connection and its bytes that are held without end because the time of a request ended between a read and its completion.
TEST_CASE("Requests of which only a part comes after a stall are refused with 408", "[http]")
{
    boost::asio::io_context io;
    HttpServer server(io, LOOPBACK, limits(), answer);
    runCoroutine(io, [&]() -> awaitable<void> {
        std::vector<tcp::socket> callers = co_await begin(io, server, 40);
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        for (tcp::socket &caller : callers) {
            boost::asio::write(caller, boost::asio::buffer(SECOND_HALF.data(), 2));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        const Time begun = MilliClock::now();
        const int refused = co_await countAnswers(callers, "408");
        CHECK(refused == 40);
        CHECK(MilliClock::now() - begun < Duration(1000));
    });
}
