#include <catch2/catch.hpp>

#include "process/testfleet.h"

using namespace mimosatally;
using namespace mimosatally::test;
using nlohmann::json;

namespace
{
json completion(const std::string &prompt, int maxTokens)
{
    return {{"model", "model-a"}, {"prompt", prompt}, {"max_tokens", maxTokens}};
}

json chat(const std::string &text, int maxTokens, bool stream)
{
    return {{"model", "model-a"}, {"messages", json::array({{{"role", "user"}, {"content", text}}})}, {"max_tokens", maxTokens}, {"stream", stream}};
}
} // namespace

TEST_CASE("Plain and streamed answers arrive whole with their headers", "[entry]")
{
    TestFleet fleet;
    fleet.addEngine("engine-1");
    fleet.addCustomer("parkland", "60%", "5s");
    fleet.publish();
    fleet.startAgent("engine-1");
    fleet.startEntry("entry-1");
    const std::string &entry = fleet.entryAddress("entry-1");

    const HttpResponse plain = call(entry, authorized(jsonPost("/v1/completions", completion("Wheat is", 12)), "key-parkland"));
    REQUIRE(plain.result_int() == 200);
    CHECK(jsonOf(plain).at("usage").at("completion_tokens") == 12);
    CHECK(headerValue(plain, "X-Request-Id").size() == 32);
    CHECK(headerValue(plain, "X-Mimosatally-Receipt").starts_with("entry-1/"));

    const HttpResponse streamed = call(entry, authorized(jsonPost("/v1/chat/completions", chat("Barley is", 9, true)), "key-parkland"));
    REQUIRE(streamed.result_int() == 200);
    CHECK(headerValue(streamed, "Content-Type").starts_with("text/event-stream"));
    CHECK(streamed.body().ends_with("data: [DONE]\n\n"));
    CHECK(headerValue(streamed, "X-Mimosatally-Receipt").starts_with("entry-1/"));

    const HttpResponse models = get(entry, "/v1/models", "key-parkland");
    CHECK(jsonOf(models).at("data").at(0).at("id") == "model-a");
    CHECK(get(entry, "/metrics").body().find("mimosatally_answered_total") != std::string::npos);
}
