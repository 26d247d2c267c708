#include <catch2/catch.hpp>

#include "process/requests.h"
#include "process/testfleet.h"

#include <future>

using namespace mimosatally;
using namespace mimosatally::test;
using nlohmann::json;

namespace
{
void startTwoEngines(TestFleet &fleet, const std::string &longestWait)
{
    fleet.addEngine("engine-1", {"--decode", "200"});
    fleet.addEngine("engine-2", {"--decode", "200"});
    fleet.addCustomer("parkland", "60%", longestWait);
    fleet.publish();
    fleet.startAgent("engine-1");
    fleet.startAgent("engine-2");
    fleet.startEntry("entry-1");
}

HttpRequest completionRequest(int maxTokens)
{
    return authorized(jsonPost("/v1/completions", completionBody("Canola is", maxTokens)), "key-parkland");
}
} // namespace

// Guards guarantee 2: no request is cut off or refused because one endpoint is drained.
TEST_CASE("While an instance is drained every request is answered, and then no more work reaches it", "[entry]")
{
    TestFleet fleet;
    startTwoEngines(fleet, "30s");
    const std::string entry = fleet.entryAddress("entry-1");
    std::vector<std::future<unsigned>> calls;
    for (int i = 0; i < 24; ++i) {
        if (i == 8) {
            fleet.appendInstanceRecord(InstanceAction::Drain, "engine-1");
        }
        calls.push_back(std::async(std::launch::async, [entry] {
            return call(entry, completionRequest(20)).result_int();
        }));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    for (auto &pending : calls) {
        CHECK(pending.get() == 200);
    }
    CHECK(fleet.agent("engine-1").wait() == 0);
    const json before = jsonOf(get(fleet.standinAddress("engine-1"), "/ledger")).at("requests");
    CHECK(call(entry, completionRequest(2)).result_int() == 200);
    CHECK(jsonOf(get(fleet.standinAddress("engine-1"), "/ledger")).at("requests") == before);
}

// Guards against a request that waits for a paused agent although another endpoint could answer.
TEST_CASE("A request at a paused agent goes to another endpoint", "[entry]")
{
    TestFleet fleet;
    startTwoEngines(fleet, "60s");
    const TestProgram &entry = fleet.entry("entry-1");
    TestCall pending(fleet.entryAddress("entry-1"), completionRequest(200));
    entry.waitForOutput("RequestRouted");
    const std::string paused = entry.hasOutput("endpoint=engine-1 reason") ? "engine-1" : "engine-2";
    fleet.agent(paused).send(SIGSTOP);
    const HttpResponse response = pending.response();
    CHECK(response.result_int() == 200);
    CHECK(jsonOf(response).at("usage").at("completion_tokens") == 200);
    fleet.agent(paused).send(SIGCONT);
    fleet.waitForState("entry-1", paused, "usable");
}
