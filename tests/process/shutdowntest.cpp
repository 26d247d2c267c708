#include <catch2/catch.hpp>

#include "process/requests.h"
#include "process/testfleet.h"

using namespace mimosatally;
using namespace mimosatally::test;
using nlohmann::json;

// Guards guarantee 8: a planned stop cuts off no request.
TEST_CASE("An entry that gets SIGTERM during a stream completes it and exits with 0", "[entry]")
{
    TestFleet fleet;
    fleet.addEngine("engine-1", {"--decode", "100"});
    fleet.addCustomer("parkland", "60%", "5s");
    fleet.publish();
    fleet.startAgent("engine-1");
    TestProgram &entry = fleet.startEntry("entry-1");
    const std::string address = fleet.entryAddress("entry-1");

    TestCall stream(address, authorized(jsonPost("/v1/completions", completionBody("Oats are", 300, true)), "key-parkland"));
    stream.readUntil("data: ");
    entry.send(SIGTERM);
    waitUntil("/readyz is 503", [&] {
        return get(address, "/readyz").result_int() == 503;
    });
    const std::string answer = stream.readToEnd();
    CHECK(answer.find("data: [DONE]") != std::string::npos);
    CHECK(answer.ends_with("0\r\n\r\n"));
    CHECK(entry.wait() == 0);
    CHECK(entry.hasOutput("ProcessStopped"));
    // The closing record shows that the complete audit chain was shipped.
    bool hasClosingRecord = false;
    for (const json &batch : fleet.records("audit")) {
        hasClosingRecord = hasClosingRecord || batch.dump().find("ProcessStopped") != std::string::npos;
    }
    CHECK(hasClosingRecord);
}

// Guards against a truncated answer without an error, and against a retry of a stream that has already begun.
TEST_CASE("A stream whose agent is killed ends with an error event", "[entry]")
{
    TestFleet fleet;
    fleet.addEngine("engine-1", {"--decode", "50"});
    fleet.addEngine("engine-2", {"--decode", "50"});
    fleet.addCustomer("parkland", "60%", "5s");
    fleet.publish();
    fleet.startAgent("engine-1");
    fleet.startAgent("engine-2");
    fleet.startEntry("entry-1");

    TestCall stream(fleet.entryAddress("entry-1"), authorized(jsonPost("/v1/completions", completionBody("Rye is", 500, true)), "key-parkland"));
    stream.readUntil("data: ");
    fleet.agent(fleet.entry("entry-1").hasOutput("endpoint=engine-1 reason") ? "engine-1" : "engine-2").send(SIGKILL);
    const std::string answer = stream.readToEnd();
    CHECK(answer.find("event: error") != std::string::npos);
    CHECK(answer.find("\"outcome\":\"outcome_unknown\"") != std::string::npos);
    CHECK(answer.find("data: [DONE]") == std::string::npos);
    CHECK(answer.ends_with("0\r\n\r\n"));
}

// Guards against a failed request that another endpoint could have answered.
TEST_CASE("A plain request whose agent is killed is answered by another endpoint", "[entry]")
{
    TestFleet fleet;
    fleet.addEngine("engine-1", {"--decode", "100"});
    fleet.addEngine("engine-2", {"--decode", "100"});
    fleet.addCustomer("parkland", "60%", "30s");
    fleet.publish();
    fleet.startAgent("engine-1");
    fleet.startAgent("engine-2");
    TestProgram &entry = fleet.startEntry("entry-1");

    TestCall plain(fleet.entryAddress("entry-1"), authorized(jsonPost("/v1/completions", completionBody("Flax is", 100)), "key-parkland"));
    entry.waitForOutput("RequestRouted");
    fleet.agent(entry.hasOutput("endpoint=engine-1 reason") ? "engine-1" : "engine-2").send(SIGKILL);
    const HttpResponse response = plain.response();
    CHECK(response.result_int() == 200);
    CHECK(jsonOf(response).at("usage").at("completion_tokens") == 100);
    CHECK(entry.hasOutput("RequestRetried"));
}

// Guards against an engine that goes on generating after the caller has disconnected.
TEST_CASE("When the caller disconnects, the request is cancelled at the agent", "[entry]")
{
    TestFleet fleet;
    fleet.addEngine("engine-1", {"--decode", "50"});
    fleet.addCustomer("parkland", "60%", "5s");
    fleet.publish();
    fleet.startAgent("engine-1");
    fleet.startEntry("entry-1");

    TestCall stream(fleet.entryAddress("entry-1"), authorized(jsonPost("/v1/completions", completionBody("Hemp is", 2000, true)), "key-parkland"));
    stream.readUntil("data: ");
    stream.close();
    waitUntil("the engine has cancelled the request", [&] {
        const json ledger = jsonOf(get(fleet.standinAddress("engine-1"), "/ledger"));
        for (const json &run : ledger.at("requests")) {
            if (run.at("cancelled") == 1) {
                return true;
            }
        }
        return false;
    });
}
