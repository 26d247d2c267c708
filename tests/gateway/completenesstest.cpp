#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
/// \brief Request whose connection the gateway closes after the answer, so that all of its bytes can be read.
HttpRequest closingRequest(const std::string &target, const std::string &id)
{
    HttpRequest request = GatewayFixture::request(http::verb::post, target, id);
    request.keep_alive(false);
    return request;
}

/// \brief Returns whether a chunked answer has its last chunk.
bool looksComplete(const std::string &answer)
{
    return answer.find("\r\n0\r\n\r\n") != std::string::npos;
}
} // namespace

// Guards against a stream that its endpoint has not finished and that reaches the caller as complete: with neither a length nor chunks, the
// end of a crashed endpoint's connection was taken for the end of the answer, and the partial event was passed on.
TEST_CASE("An unframed stream that ends within an event is not delivered as complete", "[gateway][completeness]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", [](const HttpRequest &request) -> AnswerSteps {
        return {bytes(unframedStreamHead(requestIdOf(request)) + "id: 1\ndata: a\n\nid: 2\nda"), pauseFor(50), closing()};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    const std::string answer = fixture.start(closingRequest("/stream/x", "r1"))->readUntilClosed();
    CHECK(answer.find("data: a") != std::string::npos);
    CHECK(answer.find("id: 2") == std::string::npos);
    CHECK_FALSE(looksComplete(answer));
}

// Guards against the same between two events: the bytes alone cannot show that the endpoint has not finished, but its process has ended.
TEST_CASE("An unframed answer of an endpoint that crashes is not delivered as complete", "[gateway][completeness]")
{
    const auto target = GENERATE(as<std::string>(), "/stream/x", "/post/x");
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", [](const HttpRequest &request) -> AnswerSteps {
        return {bytes(unframedStreamHead(requestIdOf(request)) + "id: 1\ndata: a\n\n"), pauseFor(50), crashing()};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    const std::string answer = fixture.start(closingRequest(target, "r1"))->readUntilClosed();
    CHECK_FALSE(looksComplete(answer));
    CHECK((answer.find("HTTP/1.1 200") != 0 || target == "/stream/x"));
}
