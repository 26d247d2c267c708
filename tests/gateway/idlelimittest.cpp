#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
std::string configurationText(int version, int idleTimeoutMs)
{
    return R"({"version":)" + std::to_string(version)
           + R"(,"routes":[{"name":"safe","host":"h","pathPrefix":"/safe/","kind":"safe","timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":"plain","maxAttempts":2}],)"
             R"("services":[{"name":"plain","maxConns":50}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":)"
           + std::to_string(idleTimeoutMs) + "}}";
}

void configure(GatewayFixture &fixture, int version, int idleTimeoutMs)
{
    fixture.onStandins([&] {
        fixture.store().put("keyed.op", "config", configurationText(version, idleTimeoutMs));
    });
}
} // namespace

// Guards against a connection that is closed while the request of a caller is on its way, which kept to the limit but is behind a slow link.
TEST_CASE("A connection serves a request that comes seconds after the idle limit, and is closed some seconds later", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("e1", "plain", [](const HttpRequest &request) -> AnswerSteps {
        return {bytes(wholeAnswer(requestIdOf(request), "good"))};
    });
    configure(fixture, 1, 1000);
    fixture.startGateway();
    fixture.awaitReady();
    const auto caller = fixture.start(GatewayFixture::request(http::verb::get, "/safe/a", "first"));
    CHECK(caller->response().result_int() == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(4000));
    caller->send(GatewayFixture::request(http::verb::get, "/safe/a", "late"));
    CHECK(caller->response().result_int() == 200);
    const Time begin = MilliClock::now();
    CHECK(caller->readUntilClosed().empty());
    CHECK(MilliClock::now() - begin >= Duration(5000));
    CHECK(MilliClock::now() - begin < Duration(9000));
}

// Guards against limits of an earlier text that stay in force because the text that replaces it has the same version.
TEST_CASE("Connections that wait follow the limits of a text that replaces another one of its version", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("e1", "plain", [](const HttpRequest &request) -> AnswerSteps {
        return {bytes(wholeAnswer(requestIdOf(request), "good"))};
    });
    configure(fixture, 1, 500);
    fixture.startGateway();
    fixture.awaitReady();
    const auto caller = fixture.start(GatewayFixture::request(http::verb::get, "/safe/a", "first"));
    CHECK(caller->response().result_int() == 200);
    configure(fixture, 1, 20'000);
    fixture.gateway().waitForOutput("ServingConfigurationReplaced");
    std::this_thread::sleep_for(std::chrono::milliseconds(8000));
    caller->send(GatewayFixture::request(http::verb::get, "/safe/a", "later"));
    CHECK(caller->response().result_int() == 200);
}
