#include "gatewayfixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
EndpointStandin::Script answering()
{
    return [](const HttpRequest &request) -> AnswerSteps {
        return {bytes(wholeAnswer(requestIdOf(request), "good"))};
    };
}

/// \brief Answers after \a delay.
EndpointStandin::Script answeringAfter(int delayMs)
{
    return [delayMs](const HttpRequest &request) -> AnswerSteps {
        return {pauseFor(delayMs), bytes(wholeAnswer(requestIdOf(request), "good"))};
    };
}
} // namespace

// Guards against a connection that is closed without a status line: a caller that has sent its whole request and has shut down its sending side still reads.
TEST_CASE("A caller that has shut down its sending side gets a status line", "[gateway]")
{
    GatewayFixture fixture;
    const EndpointStandin &endpoint = fixture.addEndpoint("e1", "plain", answering());
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    for (int i = 0; i < 20; ++i) {
        const std::string id = "half-" + std::to_string(i);
        INFO(id);
        const auto caller = fixture.start(GatewayFixture::request(i % 2 == 0 ? http::verb::get : http::verb::post, i % 2 == 0 ? "/safe/a" : "/post/a", id));
        caller->shutDownSending();
        const std::string answer = caller->readUntilClosed();
        CHECK(answer.starts_with("HTTP/1.1 "));
        // Its request may have run only if the answer does not deny that.
        const std::vector<Arrival> arrivals = endpoint.arrivals();
        const bool ran = std::ranges::any_of(arrivals, [&](const Arrival &arrival) {
            return requestIdOf(arrival.request) == id;
        });
        CHECK_FALSE((ran && answer.starts_with("HTTP/1.1 503")));
    }
}

// The same if the sending side is shut down while the endpoint works.
TEST_CASE("A caller that shuts down its sending side while its call runs gets a status line that does not deny the run", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("e1", "plain", answeringAfter(400));
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    const auto caller = fixture.start(GatewayFixture::request(http::verb::post, "/post/a", "half-run"));
    std::this_thread::sleep_for(Duration(150));
    caller->shutDownSending();
    const std::string answer = caller->readUntilClosed();
    CHECK(answer.starts_with("HTTP/1.1 502"));
}
