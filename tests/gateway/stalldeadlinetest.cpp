#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
constexpr Duration STALL = Duration(700);
constexpr int DEADLINE_MS = 2000;
/// \brief The system counts the time since data came in ticks of up to 10 ms, and the deadline is told in whole milliseconds.
constexpr Duration CLOCK_STEP = Duration(12);

/// \brief Answers with the remaining time that the gateway has handed on.
EndpointStandin::Script tellingDeadline(int delayMs)
{
    return [delayMs](const HttpRequest &request) -> AnswerSteps {
        return {pauseFor(delayMs), bytes(wholeAnswer(requestIdOf(request), headerValue(request, "X-Mimosatally-Request-Deadline")))};
    };
}

HttpRequest requestOf(const std::string &id)
{
    return GatewayFixture::request(http::verb::post, "/post/a", id, DEADLINE_MS);
}

/// \brief Sends a request on \a connection while the gateway stands still. \return the remaining time that the endpoint got.
Duration deadlineAfterStall(GatewayFixture &fixture, CallerConnection &connection, const std::string &id)
{
    fixture.gateway().send(SIGSTOP);
    std::this_thread::sleep_for(Duration(50));
    const Time sent = MilliClock::now();
    connection.send(requestOf(id));
    std::this_thread::sleep_for(STALL);
    fixture.gateway().send(SIGCONT);
    const HttpResponse response = connection.response();
    REQUIRE(response.result_int() == 200);
    const Duration remaining(std::stoi(response.body()));
    // Time that has not passed is not taken either.
    CHECK(remaining >= Duration(DEADLINE_MS) - (MilliClock::now() - sent) - CLOCK_STEP);
    return remaining;
}
} // namespace

// Guards against endpoints that get more time than is left to the caller, because the time for which a request waited on a gateway that stood still is not
// counted.
TEST_CASE("The deadline of a request counts from when its bytes came in", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("e1", "plain", tellingDeadline(0));
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    const Duration left = Duration(DEADLINE_MS) - STALL + CLOCK_STEP;
    CallerConnection kept(fixture.callerAddress());
    kept.send(requestOf("first"));
    CHECK(Duration(std::stoi(kept.response().body())) > Duration(DEADLINE_MS) - STALL);
    // The gateway has to know that it has written the answer, or else the next request counts as one that waited for it.
    std::this_thread::sleep_for(Duration(200));
    CHECK(deadlineAfterStall(fixture, kept, "kept") <= left);
    CallerConnection connected(fixture.callerAddress());
    std::this_thread::sleep_for(Duration(100));
    CHECK(deadlineAfterStall(fixture, connected, "connected") <= left);
}

// Guards against a deadline that is cut by the time of the answer before, for which a request waits that its caller has sent early.
TEST_CASE("The time of an answer does not count for the next request on its connection", "[gateway]")
{
    constexpr int answerMs = 600;
    GatewayFixture fixture;
    fixture.addEndpoint("e1", "plain", tellingDeadline(answerMs));
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    CallerConnection connection(fixture.callerAddress());
    const Time begun = MilliClock::now();
    connection.send(requestOf("first"));
    std::this_thread::sleep_for(Duration(100));
    connection.send(requestOf("second"));
    CHECK(connection.response().result_int() == 200);
    const HttpResponse second = connection.response();
    REQUIRE(second.result_int() == 200);
    const Duration besidesAnswers = MilliClock::now() - begun - 2 * Duration(answerMs);
    CHECK(Duration(std::stoi(second.body())) >= Duration(DEADLINE_MS) - besidesAnswers - CLOCK_STEP);
}
