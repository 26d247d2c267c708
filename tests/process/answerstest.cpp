#include <catch2/catch.hpp>

#include "process/requests.h"
#include "process/testfleet.h"

using namespace mimosatally;
using namespace mimosatally::test;
using nlohmann::json;

TEST_CASE("Plain and streamed answers arrive complete with their headers", "[entry]")
{
    TestFleet fleet;
    fleet.addEngine("engine-1");
    fleet.addCustomer("parkland", "60%", "5s");
    fleet.publish();
    fleet.startAgent("engine-1");
    fleet.startEntry("entry-1");
    const std::string &entry = fleet.entryAddress("entry-1");

    const HttpResponse plain = call(entry, authorized(jsonPost("/v1/completions", completionBody("Wheat is", 12)), "key-parkland"));
    REQUIRE(plain.result_int() == 200);
    CHECK(jsonOf(plain).at("usage").at("completion_tokens") == 12);
    CHECK(headerValue(plain, "X-Request-Id").size() == 32);
    CHECK(headerValue(plain, "X-Mimosatally-Receipt").starts_with("entry-1/"));

    const HttpResponse streamed = call(entry, authorized(jsonPost("/v1/chat/completions", chatBody("Barley is", 9, true)), "key-parkland"));
    REQUIRE(streamed.result_int() == 200);
    CHECK(headerValue(streamed, "Content-Type").starts_with("text/event-stream"));
    CHECK(streamed.body().ends_with("data: [DONE]\n\n"));
    CHECK(headerValue(streamed, "X-Mimosatally-Receipt").starts_with("entry-1/"));

    const HttpResponse models = get(entry, "/v1/models", "key-parkland");
    CHECK(jsonOf(models).at("data").at(0).at("id") == "model-a");
    CHECK(get(entry, "/metrics").body().find("mimosatally_answered_total") != std::string::npos);
    const json customers = fleet.status("entry-1").at("customers");
    CHECK(customers.at(0).at("answered") == 3);
}

// Guards against refusals that a client library cannot parse, and against refused requests that still reach an engine.
TEST_CASE("Bad requests get a refusal of the documented form", "[entry]")
{
    TestFleet fleet;
    fleet.addEngine("engine-1");
    fleet.addCustomer("parkland", "60%", "5s");
    fleet.publish();
    fleet.startAgent("engine-1");
    fleet.startEntry("entry-1");
    const std::string &entry = fleet.entryAddress("entry-1");
    const auto checkRefusal = [&](HttpRequest request, const std::string &key, unsigned status, const std::string &code) {
        const HttpResponse response = call(entry, authorized(std::move(request), key));
        INFO(response.body());
        CHECK(response.result_int() == status);
        const json body = jsonOf(response);
        CHECK(body.at("error").at("code") == code);
        CHECK(body.at("mimosatally").at("outcome") == "not_run");
        CHECK(body.at("mimosatally").at("request") == headerValue(response, "X-Request-Id"));
        CHECK(headerValue(response, "X-Mimosatally-Receipt").starts_with("entry-1/"));
    };
    const std::string key = "key-parkland";
    checkRefusal(jsonPost("/v1/completions", completionBody("x", 1)), "key-unknown", 401, "unknown-key");
    checkRefusal(makeHttpRequest(http::verb::post, "/v1/completions", "application/json", "{\"model\":"), key, 400, "malformed");
    checkRefusal(jsonPost("/v1/completions", json::array()), key, 400, "malformed");
    checkRefusal(jsonPost("/v1/completions", {{"model", 3}, {"prompt", "x"}}), key, 400, "malformed");
    checkRefusal(jsonPost("/v1/completions", {{"model", "model-a"}, {"prompt", 3}}), key, 400, "malformed");
    checkRefusal(jsonPost("/v1/completions", {{"model", "model-a"}, {"prompt", "x"}, {"max_tokens", -1}}), key, 400, "malformed");
    checkRefusal(jsonPost("/v1/chat/completions", {{"model", "model-a"}, {"messages", json::array({3})}}), key, 400, "malformed");
    checkRefusal(jsonPost("/v1/completions", {{"model", "model-z"}, {"prompt", "x"}}), key, 404, "unknown-model");
    checkRefusal(jsonPost("/services/nothing/x", json::object()), key, 404, "unknown-service");
    checkRefusal(jsonPost("/services/tickets/settlements", json::object()), key, 422, "idempotency-key-missing");
    checkRefusal(makeHttpRequest(http::verb::get, "/v2/x"), key, 404, "unknown-path");
    // A body above the limit in the entry's settings is refused before it is read.
    HttpRequest large = makeHttpRequest(http::verb::post, "/v1/completions", "application/json");
    large.body() = std::string(std::size_t(9) * 1024 * 1024, 'x');
    const HttpResponse tooLarge = call(entry, authorized(std::move(large), key));
    CHECK(tooLarge.result_int() == 413);
    CHECK(jsonOf(tooLarge).at("error").at("code") == "body-too-large");
    CHECK(jsonOf(tooLarge).at("mimosatally").at("outcome") == "not_run");
    // A call to a service without an agent is refused at once; the time to wait before a retry is in the body and in a header.
    const HttpResponse response = call(entry, authorized(makeHttpRequest(http::verb::get, "/services/tickets/x"), key));
    CHECK(response.result_int() == 503);
    CHECK(jsonOf(response).at("mimosatally").contains("retry_after_ms"));
    const json ledger = jsonOf(get(fleet.standinAddress("engine-1"), "/ledger"));
    CHECK(ledger.at("requests").empty());
}
