#include "gateway/callguard.h"
#include "coroutinerunner.h"

#include <catch2/catch.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <thread>

using namespace mimosatally;
using namespace mimosatally::internal;
using boost::asio::awaitable;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;
using mimosatally::test::runCoroutine;

namespace
{
constexpr std::size_t BODY_BYTES = 200'000;

/// \brief Reads in steps, as an attempt reads an answer. \return number of bytes until the end or an error.
awaitable<std::size_t> readBody(tcp::socket &socket)
{
    std::array<char, 4096> data {};
    std::size_t count = 0;
    boost::system::error_code error;
    while (!error && count < BODY_BYTES) {
        count += co_await socket.async_read_some(boost::asio::buffer(data), boost::asio::redirect_error(use_awaitable, error));
    }
    co_return count;
}

awaitable<void> pause(boost::asio::io_context &io, Duration duration)
{
    boost::asio::steady_timer timer(io, duration);
    co_await timer.async_wait(use_awaitable);
}

/// \brief Two connected sockets whose buffers hold a whole body.
struct Connection {
    explicit Connection(boost::asio::io_context &io)
        : acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , client(io)
        , server(io)
    {
        client.open(tcp::v4());
        client.set_option(boost::asio::socket_base::receive_buffer_size(1 << 20));
        client.connect(acceptor.local_endpoint());
        acceptor.accept(server);
        server.set_option(boost::asio::socket_base::send_buffer_size(1 << 20));
    }

    tcp::acceptor acceptor;
    tcp::socket client;
    tcp::socket server;
};
} // namespace

// Guards against an answer that is cut because an earlier timeout of the attempt has already waited for data.
TEST_CASE("Each timeout of an attempt waits for the data that is ready", "[gateway]")
{
    boost::asio::io_context io;
    Connection connection(io);
    const auto guard = std::make_shared<CallGuard>(io, MilliClock::now() + Duration(2000));
    std::size_t count = 0;
    runCoroutine(io, [&]() -> awaitable<void> {
        std::array<char, 16> head {};
        guard->beginAttempt(connection.client, MilliClock::now() + Duration(50));
        boost::asio::write(connection.server, boost::asio::buffer(head));
        co_await pause(io, Duration(40));
        std::this_thread::sleep_for(std::chrono::milliseconds(60));
        co_await pause(io, Duration(1));
        const std::size_t headBytes = co_await connection.client.async_read_some(boost::asio::buffer(head), use_awaitable);
        CHECK(headBytes == head.size());
        guard->extendAttempt(MilliClock::now() + Duration(300));
        co_await pause(io, Duration(150));
        const std::string body(BODY_BYTES, 'x');
        boost::asio::write(connection.server, boost::asio::buffer(body));
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        co_await pause(io, Duration(0));
        count = co_await readBody(connection.client);
    });
    CHECK(count == BODY_BYTES);
    CHECK(guard->stopReason() == StopReason::None);
}

// Guards against a call that an endpoint holds beyond its deadline by sending without end.
TEST_CASE("An endpoint that goes on sending holds a call for no more than a tenth of a second beyond its deadline", "[gateway]")
{
    boost::asio::io_context io;
    Connection connection(io);
    const Time deadline = MilliClock::now() + Duration(100);
    const auto guard = std::make_shared<CallGuard>(io, deadline);
    Time stoppedAt;
    guard->onStopped([&stoppedAt](StopReason) {
        stoppedAt = MilliClock::now();
    });
    runCoroutine(io, [&]() -> awaitable<void> {
        guard->beginAttempt(connection.client, deadline);
        const std::string data(1000, 'x');
        for (int i = 0; i < 60 && guard->stopReason() == StopReason::None; ++i) {
            boost::system::error_code ignored;
            boost::asio::write(connection.server, boost::asio::buffer(data), ignored);
            co_await pause(io, Duration(10));
        }
    });
    CHECK(guard->stopReason() == StopReason::DeadlinePassed);
    // 100 ms for the data, and one step of its timer.
    CHECK(stoppedAt - deadline < Duration(150));
}
