#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
std::string event(int id, const std::string &version)
{
    return "id: " + std::to_string(id) + "\ndata: " + version + "\n\n";
}

/// \brief Steps with which an endpoint breaks its stream off after an event.
AnswerSteps breakOff(const std::string &how)
{
    if (how == "crash") {
        return {pauseFor(50), crashing()};
    }
    if (how == "reset") {
        return {pauseFor(50), resetting()};
    }
    if (how == "garbled") {
        return {pauseFor(50), bytes("no size of a chunk\r\n"), untilClosed()};
    }
    return {bytes(chunk("id: 2\nda")), pauseFor(50), closing()};
}

/// \brief Begins a new stream with one event and breaks it off as \a how says, and ends a continued one after a second event. The events hold the version.
EndpointStandin::Script streamsOf(const std::string &version, const std::string &how)
{
    return [version, how](const HttpRequest &request) -> AnswerSteps {
        if (!headerValue(request, "Last-Event-Id").empty()) {
            return {bytes(streamHead(requestIdOf(request)) + chunk(event(2, version)) + lastChunk())};
        }
        AnswerSteps steps = breakOff(how);
        steps.insert(steps.begin(), bytes(streamHead(requestIdOf(request)) + chunk(event(1, version))));
        return steps;
    };
}

HttpRequest streamRequest(const std::string &id)
{
    HttpRequest request = GatewayFixture::request(http::verb::post, "/resume/x", id);
    request.keep_alive(false);
    return request;
}

bool isContinued(const EndpointStandin &endpoint)
{
    const std::vector<Arrival> arrivals = endpoint.arrivals();
    return std::ranges::any_of(arrivals, [](const Arrival &arrival) {
        return !headerValue(arrival.request, "Last-Event-Id").empty();
    });
}
} // namespace

// Guards against a stream that holds events of two software versions: after its endpoint had failed, it went on at any endpoint of the service.
TEST_CASE("A stream that broke off goes on at the software version that began it", "[gateway][version]")
{
    const auto how = GENERATE(as<std::string>(), "crash", "reset", "garbled", "closed");
    GatewayFixture fixture;
    for (int i = 0; i < 6; ++i) {
        const std::string version = "v" + std::to_string(i % 3);
        fixture.addEndpoint("i-" + std::to_string(i), "plain", streamsOf(version, how), "", version);
    }
    fixture.configure();
    // Each stream needs a retry; this allows four of five requests one.
    fixture.startGateway("retry_ratio = 1\n");
    fixture.awaitReady();
    // An endpoint that has crashed stays away, so a second stream could find no other one of its version.
    const int streams = how == "crash" ? 1 : 4;
    for (int stream = 0; stream < streams; ++stream) {
        const std::string answer = fixture.start(streamRequest("r" + std::to_string(stream)))->readUntilClosed();
        INFO(answer);
        const std::size_t begin = answer.find("data: v");
        REQUIRE(begin != std::string::npos);
        const std::string version = answer.substr(begin + 6, 2);
        CHECK(answer.find(event(1, version)) != std::string::npos);
        CHECK(answer.find(event(2, version)) != std::string::npos);
        CHECK(answer.ends_with("\r\n0\r\n\r\n"));
    }
}

// Guards against the same where no other endpoint of the version is left: the stream must be cut visibly, not end as complete or go on elsewhere.
TEST_CASE("A stream is cut if no other endpoint of its software version can continue it", "[gateway][version]")
{
    const auto how = GENERATE(as<std::string>(), "crash", "reset", "garbled", "closed");
    GatewayFixture fixture;
    const EndpointStandin &first = fixture.addEndpoint("i-1", "plain", streamsOf("v1", how), "", "v1");
    const EndpointStandin &second = fixture.addEndpoint("i-2", "plain", streamsOf("v2", how), "", "v2");
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    const std::string answer = fixture.start(streamRequest("r1"))->readUntilClosed();
    INFO(answer);
    CHECK(answer.find("id: 1") != std::string::npos);
    CHECK(answer.find("id: 2") == std::string::npos);
    CHECK_FALSE(answer.ends_with("\r\n0\r\n\r\n"));
    CHECK_FALSE(isContinued(first));
    CHECK_FALSE(isContinued(second));
    fixture.gateway().waitForOutput("reason=stream-broken");
}

// Guards against a stream that waits, or goes on at another version, when the last endpoint of its version is no longer registered.
TEST_CASE("A stream is cut at once if its software version is gone", "[gateway][version]")
{
    GatewayFixture fixture;
    const EndpointStandin::Script breaksLate = [](const HttpRequest &request) -> AnswerSteps {
        return {bytes(streamHead(requestIdOf(request)) + chunk(event(1, "v1"))), pauseFor(1200), resetting()};
    };
    fixture.addEndpoint("i-1", "plain", breaksLate, "", "v1");
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    const auto connection = fixture.start(streamRequest("r1"));
    connection->readUntil("id: 1");
    const EndpointStandin &other = fixture.addEndpoint("i-2", "plain", streamsOf("v2", "reset"), "", "v2");
    fixture.onStandins([&] {
        fixture.store().put("keyed.servers", "i-1", "");
    });
    fixture.gateway().waitForOutput("EndpointGone");
    CHECK_FALSE(connection->readUntilClosed().ends_with("\r\n0\r\n\r\n"));
    CHECK(other.arrivals().empty());
    fixture.gateway().waitForOutput("reason=version-gone");
    fixture.gateway().waitForOutput("root=r1 version=v1");
}

// Guards against a trace that cannot tell which software version wrote a stream and which request began it.
TEST_CASE("The log names an endpoint's software version and the stream that a call continues", "[gateway][version]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", streamsOf("v7", "reset"), "", "v7");
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    HttpRequest request = streamRequest("r2");
    request.set("Last-Event-Id", "1");
    request.set("Resumes", "r1");
    CHECK(fixture.start(request)->readUntilClosed().find(event(2, "v7")) != std::string::npos);
    fixture.gateway().waitForOutput("endpoint=i-1 version=v7 resumes=r1");
}
