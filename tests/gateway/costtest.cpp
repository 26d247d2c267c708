#include "gatewayfixture.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
/// \brief Number that the environment gives, or \a byDefault.
int countFrom(const char *variable, int byDefault)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? byDefault : std::atoi(text);
}
} // namespace

// Hidden: a load of plain calls and streams for measurements under valgrind (docs/CAPACITY.md). The difference between two numbers of calls
// or events is the cost of one.
TEST_CASE("Load for measurements of the cost of a call and an event", "[.cost]")
{
    const int calls = countFrom("COST_CALLS", 100);
    const int events = countFrom("COST_EVENTS", 100);
    GatewayFixture world;
    world.addEndpoint("i-1", "plain", [events](const HttpRequest &request) -> AnswerSteps {
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
    world.configure(1, 60'000);
    world.startGateway();
    world.awaitReady();
    const auto connection = world.start(GatewayFixture::request(http::verb::post, "/post/x", "first", 60'000));
    connection->response();
    for (int call = 0; call < calls; ++call) {
        connection->send(GatewayFixture::request(http::verb::post, "/post/x", "r" + std::to_string(call), 60'000));
        CHECK(connection->response().result_int() == 200);
    }
    connection->send(GatewayFixture::request(http::verb::post, "/stream/x", "stream", 60'000));
    CHECK(connection->response().result_int() == 200);
    world.gateway().send(SIGTERM);
    world.gateway().wait();
}
