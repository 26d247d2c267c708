#include "coroutinerunner.h"

#include <catch2/catch.hpp>

#include <mimosatally/Http>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

using namespace mimosatally;
using boost::asio::awaitable;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;
using mimosatally::test::runCoroutine;

namespace
{
constexpr Duration STEP = Duration(100);
constexpr Duration LONG = Duration(60'000);
const std::string HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n";
const std::string CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

awaitable<void> sleep(boost::asio::io_context &io, Duration duration)
{
    boost::asio::steady_timer timer(io, duration);
    co_await timer.async_wait(use_awaitable);
}

/// \brief Serves one connection: writes each of \a parts after a pause of STEP, then nothing more.
awaitable<void> serve(boost::asio::io_context &io, tcp::acceptor &acceptor, std::vector<std::string> parts)
{
    tcp::socket socket = co_await acceptor.async_accept(use_awaitable);
    std::string request;
    co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", use_awaitable);
    for (const std::string &part : parts) {
        co_await sleep(io, STEP);
        co_await boost::asio::async_write(socket, boost::asio::buffer(part), use_awaitable);
    }
    co_await sleep(io, LONG);
}

/// \brief Body of the response that is sent in \a parts; "timeout" if the call did not end in time.
std::string bodyOf(const std::vector<std::string> &parts, CallTimeouts timeouts)
{
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    boost::asio::co_spawn(io, serve(io, acceptor, parts), boost::asio::detached);
    HttpClient client(io, acceptor.local_endpoint());
    std::string body;
    runCoroutine(io, [&]() -> awaitable<void> {
        HttpRequest request = makeHttpRequest(boost::beast::http::verb::get, "/");
        try {
            const HttpResponse response = co_await client.send(std::move(request), timeouts);
            body = response.body();
        } catch (const UnreachableError &) {
            body = "timeout";
        }
    });
    return body;
}
} // namespace

// Guards against a total timeout in place of one without progress, which ends large answers over slow links.
TEST_CASE("A response that goes on arriving is read although it takes longer than each of its parts may", "[http][timeouts]")
{
    const CallTimeouts timeouts {STEP * 5, STEP * 5, LONG};
    CHECK(bodyOf({HEAD, "1", "2", "3", "4", "5", "6", "7", "8"}, timeouts) == "12345678");
    CHECK(bodyOf({CHUNKED_HEAD, "1\r\n1\r", "\n1\r\n2\r\n1", "\r\n3\r\n", "3\r\n4", "5", "6\r", "\n0\r\n", "\r\n"}, timeouts) == "123456");
}

// Guards against a call that waits for good: for a head, for the rest of a body, or for one that arrives byte by byte.
TEST_CASE("Each timeout of a call ends it", "[http][timeouts]")
{
    CHECK(bodyOf({}, {STEP * 2, LONG, LONG}) == "timeout");
    CHECK(bodyOf({HEAD.substr(0, 20)}, {STEP * 2, LONG, LONG}) == "timeout");
    CHECK(bodyOf({HEAD, "1"}, {LONG, STEP * 2, LONG}) == "timeout");
    CHECK(bodyOf({CHUNKED_HEAD, "1\r\n1\r\n2"}, {LONG, STEP * 2, LONG}) == "timeout");
    CHECK(bodyOf({HEAD, "1", "2", "3", "4", "5", "6", "7", "8"}, {LONG, LONG, STEP * 5}) == "timeout");
    CHECK(bodyOf({}, {LONG, LONG, STEP * 2}) == "timeout");
}
