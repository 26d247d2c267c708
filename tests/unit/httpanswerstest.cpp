#include "coroutinerunner.h"

#include <catch2/catch.hpp>

#include <mimosatally/Core>
#include <mimosatally/Http>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

using namespace mimosatally;
using boost::asio::awaitable;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;
using mimosatally::test::runCoroutine;

namespace
{
/// \brief Server of one connection; runs on a thread of its own and writes what the test says.
class ScriptedServer
{
public:
    using Script = std::function<void(tcp::socket &)>;

    explicit ScriptedServer(Script script)
        : acceptor_(io_, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , thread_([this, script = std::move(script)] {
            tcp::socket socket = acceptor_.accept();
            socket.set_option(tcp::no_delay(true));
            std::string request;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
            script(socket);
        })
    {
    }

    ~ScriptedServer()
    {
        thread_.join();
    }

    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    [[nodiscard]] tcp::endpoint address() const
    {
        return acceptor_.local_endpoint();
    }

private:
    boost::asio::io_context io_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

constexpr const char *CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

void write(tcp::socket &socket, const std::string &text)
{
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(text), ignored);
}

/// \brief Longer than any run of these tests.
constexpr Duration TIMEOUT = Duration(60'000);
} // namespace

// Guards against an agent that forwards each chunk of a byte as a message of its own: 65,536 messages for an answer of 64 KB that arrives at once.
TEST_CASE("Chunks that arrive together are passed on together", "[http][bounds]")
{
    constexpr std::size_t chunks = std::size_t(64) * 1024;
    ScriptedServer server([](tcp::socket &socket) {
        std::string answer = CHUNKED_HEAD;
        for (std::size_t i = 0; i < chunks; ++i) {
            answer += "1\r\nx\r\n";
        }
        write(socket, answer + "0\r\n\r\n");
    });
    boost::asio::io_context io;
    HttpClient client(io, server.address());
    std::size_t pieces = 0;
    std::string body;
    runCoroutine(io, [&]() -> awaitable<void> {
        co_await client.stream(
            makeHttpRequest(boost::beast::http::verb::get, "/"),
            TIMEOUT,
            [](const HttpResponse &) -> awaitable<void> {
                co_return;
            },
            [&](std::string_view data) -> awaitable<void> {
                ++pieces;
                body += data;
                co_return;
            });
    });
    CHECK(body == std::string(chunks, 'x'));
    CHECK(pieces <= chunks / 10);
}

// Guards against an event that waits for the next one: a parser that reads on while chunks are incomplete keeps what it has until more bytes arrive.
TEST_CASE("A chunk is passed on before the next one is sent", "[http]")
{
    constexpr int chunks = 5;
    std::atomic<int> received = 0;
    std::atomic<bool> ended = false;
    ScriptedServer server([&](tcp::socket &socket) {
        write(socket, CHUNKED_HEAD);
        for (int i = 0; i < chunks; ++i) {
            // Half of the next chunk's length follows at once; what precedes it is complete.
            write(socket, std::string(i == 0 ? "0" : "") + "2\r\nab\r\n2\r\ncd\r\n0");
            while (received < (i + 1) * 4 && !ended) {
                std::this_thread::yield();
            }
        }
        write(socket, "\r\n\r\n");
    });
    boost::asio::io_context io;
    HttpClient client(io, server.address());
    std::string body;
    runCoroutine(io, [&]() -> awaitable<void> {
        try {
            co_await client.stream(
                makeHttpRequest(boost::beast::http::verb::get, "/"),
                Duration(5000),
                [](const HttpResponse &) -> awaitable<void> {
                    co_return;
                },
                [&](std::string_view data) -> awaitable<void> {
                    body += data;
                    received += static_cast<int>(data.size());
                    co_return;
                });
        } catch (const UnreachableError &error) {
            UNSCOPED_INFO(error.what());
        }
        ended = true;
    });
    CHECK(body == "abcdabcdabcdabcdabcd");
}

namespace
{
/// \brief Answers each request of each connection, and sends the first bytes of a copy with each answer. \param[out] connections number of connections.
awaitable<void> answerWithExtraBytes(tcp::acceptor &acceptor, int &connections)
{
    for (;;) {
        auto socket = std::make_shared<tcp::socket>(co_await acceptor.async_accept(use_awaitable));
        ++connections;
        boost::asio::co_spawn(
            acceptor.get_executor(),
            [socket]() -> awaitable<void> {
                const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200";
                std::string requests;
                for (;;) {
                    const std::size_t size = co_await boost::asio::async_read_until(*socket, boost::asio::dynamic_buffer(requests), "\r\n\r\n", use_awaitable);
                    requests.erase(0, size);
                    co_await boost::asio::async_write(*socket, boost::asio::buffer(answer), use_awaitable);
                }
            },
            boost::asio::detached);
    }
}
} // namespace

// Guards against a copy of an answer whose first bytes come with the answer: they were dropped, and the rest was read where the next answer was due.
TEST_CASE("A connection with bytes after a complete answer is not used again", "[http][answers]")
{
    const bool streamed = GENERATE(false, true);
    CAPTURE(streamed);
    constexpr int calls = 3;
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    int connections = 0;
    boost::asio::co_spawn(io, answerWithExtraBytes(acceptor, connections), boost::asio::detached);
    HttpClient client(io, acceptor.local_endpoint());
    runCoroutine(io, [&]() -> awaitable<void> {
        for (int i = 0; i < calls; ++i) {
            HttpRequest request = makeHttpRequest(boost::beast::http::verb::get, "/");
            if (streamed) {
                co_await client.stream(
                    std::move(request),
                    TIMEOUT,
                    [](const HttpResponse &) -> awaitable<void> {
                        co_return;
                    },
                    [](std::string_view) -> awaitable<void> {
                        co_return;
                    });
            } else {
                const HttpResponse response = co_await client.send(std::move(request), TIMEOUT);
                CHECK(response.body() == "a");
            }
        }
    });
    CHECK(connections == calls);
}
