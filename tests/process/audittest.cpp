#include <catch2/catch.hpp>

#include "process/requests.h"
#include "process/testfleet.h"

#include <mimosatally/Audit>

#include <thread>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
constexpr int REQUEST_COUNT = 12;

/// \brief Sends requests of two customers concurrently, so that the agent has a queue to schedule. \return their receipts.
std::vector<std::string> sendConcurrentRequests(const std::string &address)
{
    std::vector<std::string> receipts(REQUEST_COUNT);
    std::vector<std::thread> callers;
    for (int number = 0; number < REQUEST_COUNT; ++number) {
        callers.emplace_back([&receipts, &address, number] {
            const std::string key = number % 2 == 0 ? "key-parkland" : "key-mrema";
            const HttpResponse response = call(address, authorized(jsonPost("/v1/completions", completionBody("Oats are", 20)), key));
            receipts[static_cast<std::size_t>(number)] = std::string(response["X-Mimosatally-Receipt"]);
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    return receipts;
}

Receipt parseReceipt(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, '/');) {
        parts.push_back(part);
    }
    REQUIRE(parts.size() == 4);
    return {ProcessId(parts[0]), IncarnationId(parts[1]), std::stoll(parts[2]), parts[3]};
}
} // namespace

// Guards against audit records from which the dispatch order cannot be replayed, and against receipts without a matching record.
TEST_CASE("The audit stream of real processes verifies without findings", "[audit]")
{
    TestFleet fleet;
    fleet.addEngine("engine-1", {}, "max_concurrent_requests = 1\n");
    fleet.addCustomer("parkland", "60%", "20s");
    fleet.addCustomer("mrema", "30%", "20s");
    fleet.publish();
    fleet.startAgent("engine-1");
    fleet.startEntry("entry-1");
    const std::vector<std::string> receipts = sendConcurrentRequests(fleet.entryAddress("entry-1"));
    fleet.entry("entry-1").send(SIGTERM);
    CHECK(fleet.entry("entry-1").wait() == 0);
    fleet.agent("engine-1").send(SIGTERM);
    CHECK(fleet.agent("engine-1").wait() == 0);

    AuditVerifier verifier;
    Offset offset;
    for (const auto &batch : fleet.records("audit")) {
        verifier.add(offset, batch.dump());
        offset += Offset(1);
    }
    const AuditReport report = verifier.verify();
    for (const Finding &finding : report.findings) {
        UNSCOPED_INFO(toString(finding));
    }
    CHECK(report.findings.empty());
    CHECK(report.openEnds.empty());
    CHECK(report.chains == 2);
    CHECK(report.dispatchesReplayed == REQUEST_COUNT);
    CHECK(report.dispatchesNotReplayed == 0);
    for (const std::string &receipt : receipts) {
        CHECK(verifier.hasRecord(parseReceipt(receipt)));
    }
}
