#include "gatewayfixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace mimosatally;
using namespace mimosatally::test;

// Guards against an answer too many that is cut off within its head: the head of the call's own answer continues its last line, and the merged head has the
// status of the one and the id of the other. The call is then refused as not run although it ran, or a failure becomes a success.
TEST_CASE("An answer too many that is cut off does not give its status to the answer that follows", "[gateway]")
{
    struct Cut {
        std::string name;
        std::string bytes;
        unsigned ownStatus;
    };
    const auto cut = GENERATE(values<Cut>({
        {"421 within its reason", "HTTP/1.1 421 Misdirected", 200},
        {"503 within its not-executed field", "HTTP/1.1 503 X\r\nX-Mimosatally-Not-Executed: 1", 200},
        {"200 within a field", "HTTP/1.1 200 OK\r\nContent-Type: text/plain", 500},
    }));
    GatewayFixture fixture;
    std::atomic<int> runs = 0;
    EndpointStandin &endpoint = fixture.addEndpoint("i-1", "plain", [&](const HttpRequest &request) -> AnswerSteps {
        const std::string id = requestIdOf(request);
        if (id == "r1") {
            return {bytes(wholeAnswer(id, "first"))};
        }
        ++runs;
        return {bytes(cut.bytes + wholeAnswer(id, "own", cut.ownStatus))};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    CHECK(fixture.call(GatewayFixture::request(http::verb::post, "/post/x", "r1")).body() == "first");
    const unsigned status = fixture.call(GatewayFixture::request(http::verb::post, "/post/x", "r2")).result_int();
    const std::vector<Arrival> arrivals = endpoint.arrivals();
    CAPTURE(cut.name, status);
    REQUIRE(arrivals.size() == 2);
    CHECK(arrivals[0].connection == arrivals[1].connection);
    CHECK(runs == 1);
    // The call ran, so its caller may get its answer or learn that the outcome is unknown.
    CHECK((status == cut.ownStatus || status == 502 || status == 504));
}

// Guards against an interim answer that says something about the present call. It bears no id that is checked, so it may belong to an earlier request: here it
// says that the endpoint leaves, so that the end of the endpoint within the call is not counted as a crash.
TEST_CASE("An interim answer says nothing about the endpoint of the call", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", [](const HttpRequest &) -> AnswerSteps {
        const std::string interim =
            "HTTP/1.1 102 Processing\r\nX-Mimosatally-Request-Id: earlier\r\nX-Mimosatally-Not-Executed: 1\r\nServer-Leaving: 1\r\n\r\n";
        return {bytes(interim), pauseFor(50), crashing()};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    CHECK(fixture.call(GatewayFixture::request(http::verb::post, "/post/x", "r1")).result_int() == 502);
    fixture.gateway().waitForOutput("EndpointCrashSeen");
}

// Guards against a test of repeats in which no answer too many is ever written, because the repeat goes over a connection of its own: here a call with another
// id goes over the connection of the refusal first, then the repeat, and each answer on that connection follows an answer too many.
TEST_CASE("An answer that is written again ends neither a later call on its connection nor the repeat with its id", "[gateway]")
{
    const std::string r1 = "X-Mimosatally-Request-Id: r1\r\n";
    const std::string refusal = "HTTP/1.1 503 X\r\nX-Mimosatally-Not-Executed: 1\r\n" + r1 + "Content-Length: 0\r\n\r\n";
    const std::string interim = "HTTP/1.1 102 X\r\nX-Mimosatally-Not-Executed: 1\r\n" + r1 + "\r\n";
    const auto kind = GENERATE(as<std::string>(), "refusal", "success", "failure", "interim", "without an id");
    const auto inPieces = GENERATE(false, true);
    std::string extra = refusal;
    if (kind == "success" || kind == "failure") {
        extra = wholeAnswer("r1", "stale", kind == "success" ? 200 : 500);
    } else if (kind == "interim") {
        extra = interim;
    } else if (kind == "without an id") {
        extra = rejection();
    }
    GatewayFixture fixture;
    std::set<int> refusedOn;
    std::atomic<int> extraAnswers = 0;
    std::atomic<int> runs = 0;
    fixture.addEndpoint("i-1", "plain", [&](const Arrival &arrival) -> AnswerSteps {
        const std::string id = requestIdOf(arrival.request);
        if (id == "r1" && runs == 0) {
            refusedOn.insert(arrival.connection);
            return {bytes(refusal)};
        }
        ++runs;
        AnswerSteps steps;
        if (refusedOn.contains(arrival.connection)) {
            ++extraAnswers;
            constexpr std::size_t firstPiece = 20;
            steps = inPieces ? AnswerSteps {bytes(extra.substr(0, firstPiece)), pauseFor(20), bytes(extra.substr(firstPiece))} : AnswerSteps {bytes(extra)};
            steps.push_back(pauseFor(30));
        }
        steps.push_back(bytes(wholeAnswer(id, "own " + id)));
        return steps;
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    CHECK(fixture.call(GatewayFixture::request(http::verb::post, "/post/x", "r1")).result_int() == 503);
    for (const std::string id : {"r2", "r1"}) {
        const HttpResponse response = fixture.call(GatewayFixture::request(http::verb::post, "/post/x", id));
        CAPTURE(kind, inPieces, id);
        CHECK(response.result_int() == 200);
        CHECK(response.body() == "own " + id);
    }
    CHECK(runs == 2);
    CHECK(extraAnswers >= 1);
}
