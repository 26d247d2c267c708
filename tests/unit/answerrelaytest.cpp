#include "entry/answerrelay.h"

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

using namespace mimosatally;
using namespace mimosatally::internal;
using boost::asio::awaitable;
using boost::asio::ip::tcp;

namespace
{
/// \brief Returns all bytes that the server sends for one request.
awaitable<std::string> readAnswer(boost::asio::io_context &io, tcp::endpoint server)
{
    tcp::socket socket(io);
    co_await socket.async_connect(server, boost::asio::use_awaitable);
    const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    co_await boost::asio::async_write(socket, boost::asio::buffer(request), boost::asio::use_awaitable);
    std::string answer;
    boost::system::error_code error;
    co_await boost::asio::async_read(socket, boost::asio::dynamic_buffer(answer), boost::asio::redirect_error(boost::asio::use_awaitable, error));
    co_return answer;
}
} // namespace

// Guards against an event that its endpoint did not finish and that reaches the caller as a complete one, ended by the error event's own separator.
TEST_CASE("A stream that breaks off within an event ends with the error event after its last complete event", "[entry]")
{
    boost::asio::io_context io;
    HttpServer server(io, parseAddress("127.0.0.1:0"), HttpLimits(), [&io](HttpExchange &exchange) -> awaitable<void> {
        AnswerRelay relay(io, exchange, [](HttpResponse &) {});
        const int attempt = relay.startAttempt();
        relay.begin(attempt, 200, "text/event-stream");
        std::string data = "data: a\n\ndata: unfinished";
        co_await relay.chunk(attempt, 0, std::move(data));
        co_await relay.close();
        co_await relay.fail("{}");
    });
    std::string answer;
    boost::asio::co_spawn(io, readAnswer(io, server.address()), [&](std::exception_ptr error, std::string result) {
        CHECK_FALSE(error);
        answer = std::move(result);
        io.stop();
    });
    io.run_for(std::chrono::seconds(10));
    CHECK(answer.find("data: a\n\n") != std::string::npos);
    CHECK(answer.find("event: error\ndata: {}\n\n") != std::string::npos);
    CHECK(answer.find("unfinished") == std::string::npos);
}

// Guards against an entry that keeps an event without end until it runs out of memory.
TEST_CASE("A relayed event that is larger than an answer that is buffered is rejected", "[entry][bounds]")
{
    boost::asio::io_context io;
    bool rejected = false;
    HttpServer server(io, parseAddress("127.0.0.1:0"), HttpLimits(), [&](HttpExchange &exchange) -> awaitable<void> {
        AnswerRelay relay(io, exchange, [](HttpResponse &) {});
        const int attempt = relay.startAttempt();
        relay.begin(attempt, 200, "text/event-stream");
        std::int64_t position = 0;
        constexpr int pieces = 64;
        for (int i = 0; i < pieces && !rejected; ++i) {
            std::string piece(AnswerRelay::MAX_BUFFERED_BYTES / 16, 'x');
            const auto size = static_cast<std::int64_t>(piece.size());
            try {
                co_await relay.chunk(attempt, position, std::move(piece));
            } catch (const MalformedInputError &) {
                rejected = true;
            }
            position += size;
        }
        co_await relay.close();
        co_await relay.fail("{}");
    });
    boost::asio::co_spawn(io, readAnswer(io, server.address()), [&io](const std::exception_ptr &, const std::string &) {
        io.stop();
    });
    io.run_for(std::chrono::seconds(10));
    CHECK(rejected);
}
