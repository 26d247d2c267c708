#include "gatewayfixture.h"

#include <catch2/catch.hpp>

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
} // namespace

// Guards against a call that ends without a status line, or long after its deadline, because nobody knows the stream that it continues.
TEST_CASE("A call whose stream is looked up beyond its deadline gets a status line", "[gateway][ends]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", answering());
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    for (int i = 0; i < 10; ++i) {
        HttpRequest request = GatewayFixture::request(http::verb::post, "/resume/x", "r" + std::to_string(i));
        request.set("X-Mimosatally-Request-Deadline", "20");
        request.set("Last-Event-Id", "3");
        request.set("Resumes", "unknown-" + std::to_string(i));
        const Time sent = MilliClock::now();
        const std::string answer = fixture.start(request)->readUntil("\r\n\r\n");
        CHECK(answer.starts_with("HTTP/1.1 "));
        CHECK(MilliClock::now() - sent < Duration(1000));
    }
}

// Guards against connections beyond the limit that a gateway closes without a word and without a line.
TEST_CASE("A gateway refuses requests on connections beyond its limit and logs them", "[gateway][ends]")
{
    GatewayFixture fixture;
    const EndpointStandin &endpoint = fixture.addEndpoint("i-1", "plain", answering());
    fixture.configure();
    fixture.startGateway("max_connections = 1\n");
    fixture.awaitReady();
    const auto kept = fixture.start(GatewayFixture::request(http::verb::get, "/safe/x", "kept"));
    CHECK(kept->response().result_int() == 200);
    const HttpResponse refused = fixture.call(GatewayFixture::request(http::verb::post, "/post/x", "beyond"));
    CHECK(refused.result_int() == 503);
    CHECK_FALSE(headerValue(refused, "Retry-After").empty());
    fixture.gateway().waitForOutput("too-many-connections");
    CHECK(endpoint.arrivals().size() == 1);
    kept->send(GatewayFixture::request(http::verb::get, "/safe/x", "again"));
    CHECK(kept->response().result_int() == 200);
}
