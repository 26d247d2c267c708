#include "process/testfleet.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
std::int64_t versionOf(TestFleet &fleet, const std::string &entry)
{
    return fleet.status(entry).at("configuration").at("version").get<std::int64_t>();
}

void waitForVersion(TestFleet &fleet, const std::string &entry, Offset version)
{
    waitUntil(entry + " has version " + std::to_string(version.count()), [&] {
        return versionOf(fleet, entry) >= version.count();
    });
}

/// \brief Returns true if the entry accepts the customer's API key.
bool acceptsCustomer(TestFleet &fleet, const std::string &entry, const std::string &customer)
{
    return get(fleet.entryAddress(entry), "/v1/models", "key-" + customer).result_int() == 200;
}
} // namespace

// Guards against an entry that was paused during a change and then keeps the old version, or reverts to it.
TEST_CASE("A paused entry applies the new configuration when it continues, and an outage of the log does not revert it", "[configuration]")
{
    TestFleet fleet;
    fleet.addEngine("engine-1");
    fleet.addCustomer("parkland", "50%", "30s");
    const Offset first = fleet.publish();
    fleet.startAgent("engine-1");
    fleet.startEntry("entry-1");
    fleet.startEntry("entry-2");
    CHECK(versionOf(fleet, "entry-2") == first.count());

    fleet.entry("entry-2").send(SIGSTOP);
    fleet.addCustomer("mrema", "50%", "30s");
    const Offset second = fleet.publish();
    waitForVersion(fleet, "entry-1", second);
    fleet.entry("entry-2").send(SIGCONT);
    waitForVersion(fleet, "entry-2", second);
    CHECK(acceptsCustomer(fleet, "entry-1", "mrema"));
    CHECK(acceptsCustomer(fleet, "entry-2", "mrema"));

    fleet.controlLog({{"down", true}});
    CHECK(versionOf(fleet, "entry-1") == second.count());
    CHECK(versionOf(fleet, "entry-2") == second.count());
    CHECK(acceptsCustomer(fleet, "entry-2", "mrema"));
}

// Guards against an entry that keeps the old version while it cannot reach the log: an agent that it shares with other
// entries must pass the new version on.
TEST_CASE("An entry that cannot read the log learns a new configuration from an agent", "[configuration]")
{
    TestFleet fleet;
    fleet.addEngine("engine-1");
    fleet.addCustomer("parkland", "50%", "30s");
    fleet.publish();
    fleet.startAgent("engine-1");
    fleet.startEntry("entry-1");
    fleet.startEntry("entry-2");
    fleet.entry("entry-2").send(SIGSTOP);
    fleet.addCustomer("mrema", "50%", "30s");
    const Offset second = fleet.publish();
    waitForVersion(fleet, "entry-1", second);
    fleet.agent("engine-1").waitForOutput("configuration=" + std::to_string(second.count()));
    fleet.controlLog({{"down", true}});
    fleet.entry("entry-2").send(SIGCONT);
    waitForVersion(fleet, "entry-2", second);
    CHECK(acceptsCustomer(fleet, "entry-2", "mrema"));
}

// Guards against two configurations in force at once after two operators publish concurrently.
TEST_CASE("Of two documents published on one base every process applies the first", "[configuration]")
{
    TestFleet fleet;
    fleet.addEngine("engine-1");
    fleet.addCustomer("parkland", "50%", "30s");
    const Offset base = fleet.publish();
    fleet.startAgent("engine-1");
    fleet.startEntry("entry-1");
    fleet.startEntry("entry-2");

    fleet.addCustomer("winner", "10%", "30s");
    const Offset accepted = fleet.publish();
    fleet.addCustomer("loser", "10%", "30s");
    fleet.publishOn(base);
    const Offset last = fleet.appendInstanceRecord(InstanceAction::Drain, "engine-1");
    waitForVersion(fleet, "entry-1", last);
    waitForVersion(fleet, "entry-2", last);
    CHECK(accepted < last);
    for (const std::string entry : {"entry-1", "entry-2"}) {
        CHECK(acceptsCustomer(fleet, entry, "winner"));
        CHECK_FALSE(acceptsCustomer(fleet, entry, "loser"));
    }
}
