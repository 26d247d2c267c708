#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
std::string event(int id, const std::string &owner)
{
    return "id: " + std::to_string(id) + "\ndata: of " + owner + "\n\n";
}

std::string wholeStream(const std::string &owner)
{
    return streamHead(owner) + chunk(event(1, owner)) + chunk(event(2, owner)) + lastChunk();
}

/// \brief Writes a stream that belongs to an earlier request, in one of several forms, where the answer to the next one is due.
AnswerSteps earlierStream(const std::string &form, const std::string &owner)
{
    if (form == "whole") {
        return {bytes(wholeStream(owner))};
    }
    if (form == "slow") {
        return {bytes(streamHead(owner)), pauseFor(20), bytes(chunk(event(1, owner))), pauseFor(20), bytes(chunk(event(2, owner)) + lastChunk())};
    }
    if (form == "cut") {
        return {bytes(streamHead(owner) + chunk(event(1, owner)) + chunk("id: 2\nda")), pauseFor(20), closing()};
    }
    return {bytes(unframedStreamHead(owner) + event(1, owner)), pauseFor(20), closing()};
}
} // namespace

// Guards against events of an earlier request's stream that reach a later caller: the endpoint writes that stream again on the kept connection, where the
// answer to the next request is due.
TEST_CASE("A stream of an earlier request that comes again never reaches a later caller", "[gateway][answers]")
{
    const auto form = GENERATE(as<std::string>(), "whole", "slow", "cut", "unframed");
    const auto target = GENERATE(as<std::string>(), "/stream/x", "/resume/x");
    CAPTURE(form, target);
    GatewayFixture fixture;
    std::atomic<int> arrived = 0;
    fixture.addEndpoint("i-1", "plain", [&arrived, form](const HttpRequest &request) -> AnswerSteps {
        const std::string id = requestIdOf(request);
        AnswerSteps steps = ++arrived == 2 ? earlierStream(form, "r1") : AnswerSteps();
        steps.push_back(bytes(wholeStream(id)));
        return steps;
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    CHECK(fixture.call(GatewayFixture::request(http::verb::post, target, "r1")).body() == event(1, "r1") + event(2, "r1"));
    HttpRequest second = GatewayFixture::request(http::verb::post, target, "r2");
    second.keep_alive(false);
    const std::string answer = fixture.start(second)->readUntilClosed();
    CHECK(answer.find("of r1") == std::string::npos);
    const bool success = answer.starts_with("HTTP/1.1 200");
    CHECK((success || answer.starts_with("HTTP/1.1 502") || answer.starts_with("HTTP/1.1 503")));
    CHECK((!success || answer.find(event(2, "r2")) != std::string::npos));
    // What follows a whole stream of another request on the connection is the due answer.
    CHECK((success || form == "cut" || form == "unframed"));
    CHECK(fixture.call(GatewayFixture::request(http::verb::post, target, "r3")).body() == event(1, "r3") + event(2, "r3"));
}

// Guards against the connection of a stream that its caller left, which is kept for the next request: the rest of the stream is on its way there.
TEST_CASE("The rest of a stream that its caller left never reaches a later caller", "[gateway][answers]")
{
    GatewayFixture fixture;
    const EndpointStandin &endpoint = fixture.addEndpoint("i-1", "plain", [](const HttpRequest &request) -> AnswerSteps {
        const std::string id = requestIdOf(request);
        if (!id.starts_with("left")) {
            return {bytes(wholeStream(id))};
        }
        return {bytes(streamHead(id) + chunk(event(1, id))), pauseFor(60), bytes(chunk(event(2, id)) + lastChunk())};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    constexpr int rounds = 10;
    for (int i = 0; i < rounds; ++i) {
        const std::string left = "left" + std::to_string(i);
        const std::string next = "next" + std::to_string(i);
        const auto caller = fixture.start(GatewayFixture::request(http::verb::post, "/stream/x", left));
        caller->readUntil(event(1, left));
        caller->close();
        std::this_thread::sleep_for(std::chrono::milliseconds(10 * i));
        CHECK(fixture.call(GatewayFixture::request(http::verb::post, "/stream/x", next)).body() == event(1, next) + event(2, next));
    }
    CHECK(endpoint.arrivals().size() == 2 * rounds);
}
