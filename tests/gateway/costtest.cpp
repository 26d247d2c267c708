#include "gatewayfixture.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
/// \brief Returns the number in an environment variable, or \a defaultCount if it is not set.
int countFromEnvironment(const char *variable, int defaultCount)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? defaultCount : std::atoi(text);
}
} // namespace

// Hidden; generates plain calls and a stream for measurements under valgrind (docs/CAPACITY.md). The cost of one call or event is the
// difference between runs with different counts, divided by the difference of the counts.
TEST_CASE("Load for measurements of the cost of a call and an event", "[.cost]")
{
    const int calls = countFromEnvironment("COST_CALLS", 100);
    const int events = countFromEnvironment("COST_EVENTS", 100);
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", [events](const HttpRequest &request) -> AnswerSteps {
        if (request.target() != "/stream/x") {
            return {bytes(wholeAnswer(requestIdOf(request), "answer"))};
        }
        AnswerSteps steps = {bytes(streamHead(requestIdOf(request)))};
        for (int event = 1; event <= events; ++event) {
            steps.push_back(bytes(chunk("id: " + std::to_string(event) + "\ndata: word\n\n")));
            steps.push_back(pauseFor(1));
        }
        steps.push_back(bytes(lastChunk()));
        return steps;
    });
    fixture.configure(1, 60'000);
    fixture.startGateway();
    fixture.awaitReady();
    const auto connection = fixture.start(GatewayFixture::request(http::verb::post, "/post/x", "first", 60'000));
    connection->response();
    for (int call = 0; call < calls; ++call) {
        connection->send(GatewayFixture::request(http::verb::post, "/post/x", "r" + std::to_string(call), 60'000));
        CHECK(connection->response().result_int() == 200);
    }
    connection->send(GatewayFixture::request(http::verb::post, "/stream/x", "stream", 60'000));
    CHECK(connection->response().result_int() == 200);
    fixture.gateway().send(SIGTERM);
    fixture.gateway().wait();
}
