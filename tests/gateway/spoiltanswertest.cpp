#include "gatewayfixture.h"

#include <catch2/catch.hpp>

#include <boost/beast/http/parser.hpp>

using namespace mimosatally;
using namespace mimosatally::test;
using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;

namespace
{
constexpr std::size_t LONG_UPLOAD_BYTES = std::size_t(12) * 1024 * 1024;

/// \brief Endpoint that answers a call before it has read the upload, without a length, and resets the connection during the upload. It answers reports.
class EarlyEndpoint
{
public:
    explicit EarlyEndpoint(boost::asio::io_context &io)
        : io_(io)
        , acceptor_(io, parseAddress("127.0.0.1:0"))
    {
        boost::asio::co_spawn(io_, accept(), boost::asio::detached);
    }

    [[nodiscard]] std::string address() const
    {
        return toString(acceptor_.local_endpoint());
    }

private:
    awaitable<void> accept()
    {
        for (;;) {
            tcp::socket socket = co_await acceptor_.async_accept(use_awaitable);
            boost::asio::co_spawn(io_, serve(std::move(socket)), boost::asio::detached);
        }
    }

    awaitable<void> serve(tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        http::request_parser<http::string_body> parser;
        parser.body_limit(2 * LONG_UPLOAD_BYTES);
        boost::system::error_code error;
        co_await http::async_read_header(socket, buffer, parser, redirect_error(use_awaitable, error));
        if (error) {
            co_return;
        }
        if (parser.get().target() == "/-/report") {
            const std::string report = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
            co_await boost::asio::async_write(socket, boost::asio::buffer(report), redirect_error(use_awaitable, error));
            co_return;
        }
        const std::string id = requestIdOf(HttpRequest(parser.get().base()));
        const std::string answer = "HTTP/1.1 200 OK\r\nX-Mimosatally-Request-Id: " + id + "\r\nX-Mimosatally-Response-Seal: seal\r\n\r\npart of the answer";
        co_await boost::asio::async_write(socket, boost::asio::buffer(answer), redirect_error(use_awaitable, error));
        boost::asio::steady_timer timer(io_, std::chrono::milliseconds(100));
        co_await timer.async_wait(use_awaitable);
        socket.set_option(boost::asio::socket_base::linger(true, 0));
    }

    boost::asio::io_context &io_;
    tcp::acceptor acceptor_;
};

constexpr const char *LONG_UPLOADS =
    R"({"version":1,"routes":[{"name":"safe","host":"h","pathPrefix":"/safe/","kind":"safe","timeoutMs":3000,"targetLatencyMs":1000,"priority":1,)"
    R"("service":"plain","maxAttempts":1}],"services":[{"name":"plain","maxConns":50}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":16777216,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
} // namespace

// Guards against a part of an answer that the caller gets as a whole one: the failed write has taken the reset, so the end of the answer looks orderly.
TEST_CASE("An early answer whose connection is reset during the upload does not reach the caller", "[gateway][spoilt]")
{
    GatewayFixture fixture;
    std::unique_ptr<EarlyEndpoint> endpoint;
    boost::asio::io_context io;
    endpoint = std::make_unique<EarlyEndpoint>(io);
    std::thread thread([&io] {
        const auto work = boost::asio::make_work_guard(io);
        io.run();
    });
    fixture.onStandins([&] {
        fixture.announce("i-1", "plain", endpoint->address(), "ready");
        fixture.store().put("keyed.op", "config", LONG_UPLOADS);
    });
    fixture.startGateway();
    fixture.awaitReady();
    // The gateway applies the limit on requests at most 200 ms after it has the configuration.
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    HttpRequest request = GatewayFixture::request(http::verb::post, "/safe/x", "r1");
    request.body() = std::string(LONG_UPLOAD_BYTES, 'x');
    const HttpResponse response = fixture.call(std::move(request));
    io.stop();
    thread.join();
    CHECK(response.result_int() == 502);
    CHECK(response.body().find("part of the answer") == std::string::npos);
    CHECK(fixture.gateway().output().find("GatewayCallAnswered") == std::string::npos);
}

// Guards against a status that no caller can read, and against a call that may have run and is waited for or refused because of it.
TEST_CASE("An answer with a status outside 100 to 599 is a failed attempt whose outcome is unknown", "[gateway][spoilt]")
{
    GatewayFixture fixture;
    std::mutex mutex;
    std::string status;
    EndpointStandin &endpoint = fixture.addEndpoint("i-1", "plain", [&](const HttpRequest &request) -> AnswerSteps {
        const std::string id = requestIdOf(request);
        if (request.target() == "/post/sound") {
            return {bytes(wholeAnswer(id, "yes"))};
        }
        const std::lock_guard lock(mutex);
        return {bytes("HTTP/1.1 " + status + " X\r\nX-Mimosatally-Request-Id: " + id + "\r\nX-Mimosatally-Not-Executed: 1\r\nContent-Length: 2\r\n\r\nno")};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    int number = 0;
    for (const char *spoilt : {"000", "0", "099", "600", "999", "2000", "+20", "-20", "   ", ""}) {
        INFO("status \"" << spoilt << '"');
        {
            const std::lock_guard lock(mutex);
            status = spoilt;
        }
        const Time begun = MilliClock::now();
        const HttpResponse response = fixture.call(GatewayFixture::request(http::verb::post, "/post/x", "r" + std::to_string(++number)));
        CHECK(response.result_int() == 502);
        CHECK(response.body() != "no");
        CHECK(MilliClock::now() - begun < Duration(1500));
        // Two failures in a row would eject the endpoint.
        CHECK(fixture.call(GatewayFixture::request(http::verb::post, "/post/sound", "s" + std::to_string(number))).body() == "yes");
        CHECK(endpoint.arrivals().size() == static_cast<std::size_t>(number) * 2);
    }
}
