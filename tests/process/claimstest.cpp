#include <catch2/catch.hpp>

#include "process/testfleet.h"

#include <future>

using namespace mimosatally;
using namespace mimosatally::test;
using nlohmann::json;

namespace
{
HttpRequest settlement(const json &body, const std::string &idempotencyKey)
{
    HttpRequest request = authorized(jsonPost("/services/tickets/settlements", body), "key-parkland");
    request.set("Idempotency-Key", idempotencyKey);
    return request;
}

void startTicketFleet(TestFleet &fleet, std::vector<std::string> options)
{
    fleet.addService("tickets-1", options);
    fleet.addService("tickets-2", options);
    fleet.addCustomer("parkland", "60%", "20s");
    fleet.publish();
    fleet.startAgent("tickets-1");
    fleet.startAgent("tickets-2");
    fleet.startEntry("entry-1");
    fleet.startEntry("entry-2");
}

long runCount(TestFleet &fleet)
{
    long total = 0;
    for (const char *name : {"tickets-1", "tickets-2"}) {
        const json ledger = jsonOf(get(fleet.standinAddress(name), "/ledger"));
        for (const json &count : ledger.at("bodies")) {
            total += count.get<long>();
        }
    }
    return total;
}

/// \brief Repeats the call while the entry answers 503 because it has not read the claims streams yet.
HttpResponse callWhenReady(const std::string &entry, const json &body, const std::string &key)
{
    HttpResponse response;
    waitUntil("claims are available", [&] {
        response = call(entry, settlement(body, key));
        return response.result_int() != 503;
    });
    return response;
}
} // namespace

// Guards guarantee 6: a duplicated settlement post must not pay twice.
TEST_CASE("A settlement post sent through two entries with the same key runs once", "[claims]")
{
    TestFleet fleet;
    startTicketFleet(fleet, {"--delay-ms", "300"});
    const json body = {{"grower", "G-17"}, {"amount", 1250}};
    CHECK(callWhenReady(fleet.entryAddress("entry-1"), {{"grower", "warm-up"}}, "warm-up-1").result_int() == 200);
    CHECK(callWhenReady(fleet.entryAddress("entry-2"), {{"grower", "warm-up-2"}}, "warm-up-2").result_int() == 200);
    const long before = runCount(fleet);

    std::vector<std::future<HttpResponse>> calls;
    for (int i = 0; i < 6; ++i) {
        const std::string entry = fleet.entryAddress(i % 2 == 0 ? "entry-1" : "entry-2");
        calls.push_back(std::async(std::launch::async, [entry, body] {
            return call(entry, settlement(body, "settlement-17"));
        }));
    }
    std::set<std::string> answers;
    for (auto &pending : calls) {
        const HttpResponse response = pending.get();
        CHECK(response.result_int() == 200);
        answers.insert(response.body());
    }
    CHECK(answers.size() == 1);
    CHECK(runCount(fleet) == before + 1);
    CHECK(call(fleet.entryAddress("entry-2"), settlement({{"grower", "G-18"}}, "settlement-17")).result_int() == 409);
    CHECK(runCount(fleet) == before + 1);
}

// Guards against the outcome "not run" for a request that ran, and against a payment that is lost although its claim was free.
TEST_CASE("A claim whose append is not answered is resolved from the log and runs at most once", "[claims]")
{
    TestFleet fleet;
    startTicketFleet(fleet, {});
    const std::string entry = fleet.entryAddress("entry-1");
    CHECK(callWhenReady(entry, {{"grower", "warm-up"}}, "warm-up").result_int() == 200);
    const long before = runCount(fleet);
    // Appends of audit batches may use up some of the faults; the verdict on the claim is the same either way.
    fleet.controlLog({{"drop_answers", 3}});
    const HttpResponse first = call(entry, settlement({{"grower", "G-20"}}, "settlement-20"));
    fleet.controlLog({{"drop_answers", 0}});
    const HttpResponse second = callWhenReady(entry, {{"grower", "G-20"}}, "settlement-20");
    INFO(first.body() << " " << second.body());
    CHECK((first.result_int() == 200 || jsonOf(first).at("mimosatally").at("outcome") == "not_run"));
    CHECK(second.result_int() == 200);
    CHECK(runCount(fleet) == before + 1);
}

TEST_CASE("Without the log a settlement post is refused as not run, and a repeatable call is answered", "[claims]")
{
    TestFleet fleet;
    startTicketFleet(fleet, {});
    const std::string entry = fleet.entryAddress("entry-1");
    CHECK(callWhenReady(entry, {{"grower", "warm-up"}}, "warm-up").result_int() == 200);
    const long before = runCount(fleet);
    fleet.controlLog({{"down", true}});
    const HttpResponse refused = call(entry, settlement({{"grower", "G-30"}}, "settlement-30"));
    CHECK(refused.result_int() == 503);
    const json details = jsonOf(refused).at("mimosatally");
    CHECK(details.at("outcome") == "not_run");
    CHECK(details.at("retry_after_ms").get<long>() > 0);
    CHECK(!headerValue(refused, "Retry-After").empty());
    CHECK(runCount(fleet) == before);
    CHECK(call(entry, authorized(jsonPost("/services/tickets/notes", {{"note", 1}}), "key-parkland")).result_int() == 200);
    fleet.controlLog({{"down", false}});
    CHECK(callWhenReady(entry, {{"grower", "G-30"}}, "settlement-30").result_int() == 200);
    CHECK(runCount(fleet) == before + 2);
}
