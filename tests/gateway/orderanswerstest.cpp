#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

// Guards against an order that an engine has rejected and that counts as carried out: the answers to reports and orders bear no id, so the late copy of a
// report's answer was taken for the order's.
TEST_CASE("The late copy of a report is not taken for the answer to an order", "[gateway][answers]")
{
    GatewayFixture fixture;
    const auto engine = [](const HttpRequest &request) -> AnswerSteps {
        const std::string target(request.target());
        if (target == "/-/report") {
            const std::string report = wholeAnswer("", R"({"phase":"decode","busy":false,"seqNum":3})");
            // The order is on its way when the copy is written.
            return {bytes(report), pauseFor(200), bytes(report)};
        }
        if (target == "/-/order") {
            return {bytes("HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n")};
        }
        return {bytes(wholeAnswer(requestIdOf(request), "good"))};
    };
    for (const char *id : {"i-1", "i-2"}) {
        fixture.addEndpoint(id, "model", engine, R"(,"phase":"decode")");
    }
    fixture.configure();
    fixture.startGateway();
    fixture.gateway().waitForOutput("PhaseOrderAnswered");
    CHECK(fixture.gateway().hasOutput("result=fenced"));
    CHECK_FALSE(fixture.gateway().hasOutput("result=already-holds"));
}
