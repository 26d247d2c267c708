#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
/// \brief Beginnings of an answer that end before the empty line after its head.
std::vector<std::string> partialHeads(const std::string &requestId)
{
    const std::string statusLine = "HTTP/1.1 200 OK\r\n";
    const std::string identified = statusLine + "X-Mimosatally-Request-Id: " + requestId + "\r\nX-Mimosatally-Response-Seal: s\r\n";
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    return {"HTTP/1.1 2",
            statusLine,
            identified + "Content-Le",
            identified + "Content-Length: 1",
            identified + "Content-Length: 4\r\n",
            identified + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
            interim,
            interim + identified};
}
} // namespace

// Guards against an answer whose head ends in its middle and that reaches the caller as a whole 200 with an empty or short body: on a fresh and on a kept
// connection, ended in order or reset, for plain answers, streams and HEAD.
TEST_CASE("An answer that ends within its head never reaches the caller as a success", "[gateway][completeness]")
{
    const std::string target = GENERATE(as<std::string>(), "/safe/x", "/post/x", "/stream/x", "/resume/x");
    const auto kept = GENERATE(false, true);
    const auto reset = GENERATE(false, true);
    GatewayFixture fixture;
    std::atomic<std::size_t> variant = 0;
    fixture.addEndpoint("i-1", "plain", [&variant, reset](const HttpRequest &request) -> AnswerSteps {
        if (requestIdOf(request).starts_with("whole")) {
            return {bytes(wholeAnswer(requestIdOf(request), "good"))};
        }
        return {bytes(partialHeads(requestIdOf(request))[variant]), pauseFor(5), reset ? resetting() : closing()};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    const std::size_t count = partialHeads("r").size();
    for (variant = 0; variant < count; ++variant) {
        const std::string number = std::to_string(variant);
        if (kept) {
            CHECK(fixture.call(GatewayFixture::request(http::verb::get, "/safe/x", "whole" + number)).result_int() == 200);
        }
        CAPTURE(target, kept, reset, partialHeads("r")[variant]);
        CHECK(fixture.call(GatewayFixture::request(http::verb::get, target, "cut" + number)).result_int() == 502);
    }
}

// Guards against a HEAD request, whose answer has no body, that is answered as a success because its head ended early.
TEST_CASE("An answer to HEAD that ends within its head never reaches the caller as a success", "[gateway][completeness]")
{
    GatewayFixture fixture;
    std::atomic<std::size_t> variant = 0;
    fixture.addEndpoint("i-1", "plain", [&variant](const HttpRequest &request) -> AnswerSteps {
        return {bytes(partialHeads(requestIdOf(request))[variant]), pauseFor(5), closing()};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    const std::size_t count = partialHeads("r").size();
    for (variant = 0; variant < count; ++variant) {
        CAPTURE(partialHeads("r")[variant]);
        const auto connection = fixture.start(GatewayFixture::request(http::verb::head, "/safe/x", "h" + std::to_string(variant)));
        CHECK(connection->readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
    }
}

// Guards against an interim answer that is taken for the final one on a connection that is new.
TEST_CASE("Interim answers before the final one are skipped", "[gateway][completeness]")
{
    const auto pauses = GENERATE(false, true);
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", [pauses](const HttpRequest &request) -> AnswerSteps {
        const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
        return {bytes(interim), pauseFor(pauses ? 20 : 0), bytes(interim + wholeAnswer(requestIdOf(request), "good"))};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    for (const char *id : {"r1", "r2"}) {
        const HttpResponse response = fixture.call(GatewayFixture::request(http::verb::post, "/post/x", id));
        CHECK(response.result_int() == 200);
        CHECK(response.body() == "good");
    }
}
