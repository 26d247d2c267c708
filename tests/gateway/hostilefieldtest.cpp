#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

// Guards against a gateway that any caller can end with one field: a negative token count of the prompt made placement read through a null pointer.
TEST_CASE("Token counts that make no sense do not end the gateway", "[gateway]")
{
    GatewayFixture fixture;
    for (const char *id : {"i-1", "i-2", "i-3"}) {
        fixture.addEndpoint(
            id,
            "model",
            [](const HttpRequest &request) -> AnswerSteps {
                if (headerValue(request, "X-Mimosatally-Serving-Stage") == "prefill") {
                    return {bytes(wholeAnswer(requestIdOf(request), R"({"kvHandle":"abc","tokens":9000,"version":1})"))};
                }
                return {bytes(streamHead(requestIdOf(request)) + chunk("id: 1\ndata: a\n\n") + lastChunk())};
            },
            std::string(id) == "i-1" ? R"(,"phase":"prefill")" : R"(,"phase":"decode")");
    }
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    int number = 0;
    for (const char *counts :
         {"-1,50", "-9223372036854775808,1", "9223372036854775807,9223372036854775807", "10,-1", "nan,nan", "1000000000,1000000000", ","}) {
        for (const char *parts : {"", "aa:100,bb:100", "aa:-100,bb:100", "aa:9223372036854775807,bb:9223372036854775807"}) {
            CAPTURE(counts, parts);
            HttpRequest request = GatewayFixture::request(http::verb::post, "/generate/x", "r" + std::to_string(++number));
            request.set("X-Mimosatally-Token-Counts", counts);
            if (*parts != '\0') {
                request.set("X-Mimosatally-Prefix-Hash", parts);
            }
            const unsigned status = fixture.call(request).result_int();
            CHECK((status == 200 || status == 503));
        }
    }
    HttpRequest sound = GatewayFixture::request(http::verb::post, "/generate/x", "sound");
    sound.set("X-Mimosatally-Token-Counts", "9000,10");
    CHECK(fixture.call(sound).result_int() == 200);
}
