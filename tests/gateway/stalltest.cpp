#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
/// \brief Time for which the process stands still; the deadlines of the calls pass meanwhile.
constexpr Duration STALL = Duration(900);

EndpointStandin::Script answeringAfter(int delayMs, std::size_t bodyBytes)
{
    return [delayMs, bodyBytes](const HttpRequest &request) -> AnswerSteps {
        return {pauseFor(delayMs), bytes(wholeAnswer(requestIdOf(request), std::string(bodyBytes, 'x')))};
    };
}
} // namespace

// Guards against an answer that is ready and is replaced by a failure because a timeout that fell due during a stall of the process is handled before it.
TEST_CASE("Answers that came while the process stood still reach their callers although their deadlines have passed", "[gateway]")
{
    GatewayFixture fixture;
    for (const int endpoint : {1, 2, 3}) {
        fixture.addEndpoint("e" + std::to_string(endpoint), "plain", answeringAfter(200, 8000));
    }
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    std::vector<std::unique_ptr<CallerConnection>> callers;
    for (int i = 0; i < 12; ++i) {
        callers.push_back(fixture.start(GatewayFixture::request(http::verb::post, "/post/a", "stalled-" + std::to_string(i), 700)));
    }
    std::this_thread::sleep_for(Duration(100));
    fixture.gateway().send(SIGSTOP);
    std::this_thread::sleep_for(STALL);
    fixture.gateway().send(SIGCONT);
    for (const auto &caller : callers) {
        CHECK(caller->response().result_int() == 200);
    }
}
