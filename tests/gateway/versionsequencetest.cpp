#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

// Guards against an older version that stays in force because it was written after a newer one that was read with it.
TEST_CASE("Of several versions in one read the highest one comes into force, and the others are not decoded", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("e1", "plain", [](const HttpRequest &request) -> AnswerSteps {
        return {bytes(wholeAnswer(requestIdOf(request), "good"))};
    });
    fixture.configure(5);
    fixture.startGateway();
    fixture.awaitReady();
    fixture.onStandins([&] {
        fixture.store().put("keyed.op", "config", GatewayFixture::configurationText(9));
        fixture.store().put("keyed.op", "config", GatewayFixture::configurationText(7));
        fixture.store().put("keyed.op", "config", "{}");
    });
    fixture.gateway().waitForOutput("ServingConfigurationInForce process=g1 version=9");
    fixture.configure(11);
    fixture.gateway().waitForOutput("ServingConfigurationInForce process=g1 version=11");
    const std::string log = fixture.gateway().output();
    CHECK(log.find("version=7 ") == std::string::npos);
    CHECK(log.find("ServingConfigurationUnreadable") != std::string::npos);
    CHECK(fixture.call(GatewayFixture::request(http::verb::get, "/safe/a", "after")).result_int() == 200);
}
