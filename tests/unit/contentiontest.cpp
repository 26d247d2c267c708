#include "../../src/gateway/contentioncontrol.h"
#include "routerfleet.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::internal;
using namespace mimosatally::test;

namespace
{
const ContendedCallKind HINT {MODEL, OrganisationId("o"), 0, Tokens(292), true, Duration(200)};
const ContendedCallKind CHECK_CALL {MODEL, OrganisationId("o"), 1, Tokens(9192), false, Duration(500)};

ContentionControl control(double slots = 48, double requests = 48)
{
    ServingConfiguration configuration;
    configuration.services[MODEL] = {};
    ContentionControl result;
    result.configure(configuration, UrgencyTable(configuration), true);
    result.reportSlots(MODEL, {slots, requests, 1}, at(0));
    return result;
}

/// \brief Sends \a count calls, one each \a intervalMs, each of which ends after \a heldMs.
int sendCalls(ContentionControl &control, const ContendedCallKind &kind, int count, int intervalMs, int heldMs)
{
    for (int i = 0; i < count; ++i) {
        control.recordArrival(kind, at(i * intervalMs));
        control.recordStart(kind, 40, at(i * intervalMs));
        control.recordEnd(kind, Duration(heldMs));
    }
    return (count - 1) * intervalMs;
}

ContentionInput queued(double queueMs, double ownMs = 100)
{
    ContentionInput input;
    input.queueMs = queueMs;
    input.firstByteMs = queueMs + ownMs;
    input.remainingTime = Duration(2000);
    return input;
}
} // namespace

// Guards against other decisions in deployments that have neither organisations nor the setting.
TEST_CASE("Calls are controlled only where organisations or the settings ask for it", "[contention]")
{
    ServingConfiguration configuration;
    ContentionControl result;
    result.configure(configuration, UrgencyTable(configuration), false);
    CHECK_FALSE(result.isActive());
    result.configure(configuration, UrgencyTable(configuration), true);
    CHECK(result.isActive());
    configuration.organisations.emplace();
    result.configure(configuration, UrgencyTable(configuration), false);
    CHECK(result.isActive());
}

// Guards against slots that are kept after the hints have stopped, and against ones that are kept for no reason. Load: ten hints a second that hold a slot
// for 1.5 s, beside checks.
TEST_CASE("Slots are kept for the measured demand of short urgent calls and given back when it stops", "[contention]")
{
    ContentionControl contention = control(500);
    CHECK(contention.reservedSlots(CHECK_CALL, at(0)) == 0);
    const int last = sendCalls(contention, HINT, 100, 100, 1500);
    const double kept = contention.reservedSlots(CHECK_CALL, at(last));
    CHECK((kept >= 15 && kept <= 25));
    CHECK(contention.reservedSlots(HINT, at(last)) == 0);
    CHECK(contention.reservedSlots(CHECK_CALL, at(last + 400)) == 0);
    // The slots that hints have already need not be kept again.
    for (int i = 0; i < 30; ++i) {
        contention.recordStart(HINT, 40, at(last));
    }
    CHECK(contention.reservedSlots(CHECK_CALL, at(last)) == 0);
    // Another part of the calls arrives at the other processes, but most slots are left to the checks.
    ContentionControl ofMany = control(48);
    ofMany.setProcessCount(21);
    sendCalls(ofMany, HINT, 100, 100, 1500);
    CHECK(ofMany.reservedSlots(CHECK_CALL, at(last)) == 12);
}

// Guards against refusals that the platform prices, against queues that make every call late, and against a return of all refused calls at once. Load: a
// queue of checks.
TEST_CASE("A contended call is refused for its queue, but not while half of the slots are free", "[contention]")
{
    ContentionControl idle = control(48, 20);
    idle.reportSlots(MODEL, {48, 20, 0}, at(0));
    CHECK(std::holds_alternative<SendNow>(idle.decide(CHECK_CALL, queued(3000), 0, at(0))));
    ContentionControl busy = control();
    CHECK(std::holds_alternative<SendNow>(busy.decide(CHECK_CALL, queued(240), 0, at(0))));
    const ContentionDecision refused = busy.decide(CHECK_CALL, queued(600), 0.5, at(0));
    REQUIRE(std::holds_alternative<RefuseCall>(refused));
    CHECK(std::get<RefuseCall>(refused).reason == ContentionReason::Queue);
    CHECK(std::get<RefuseCall>(refused).retryAfter <= Duration(2000) / 3);
    // A kind is judged by its mean time, so a large call may wait behind the same queue as a small one.
    CHECK(std::holds_alternative<SendNow>(busy.decide(CHECK_CALL, queued(240, 900), 0, at(0))));
    CHECK(std::get<RefuseCall>(busy.decide(CHECK_CALL, queued(200, 1700), 0, at(0))).reason == ContentionReason::Deadline);
    // The next ones to come back get later times, in the order of their refusals.
    sendCalls(busy, CHECK_CALL, 100, 10, 300);
    Duration last(0);
    for (int i = 0; i < 5; ++i) {
        const Duration retryAfter = std::get<RefuseCall>(busy.decide(CHECK_CALL, queued(600), 0.5, at(990))).retryAfter;
        CHECK(retryAfter > last);
        last = retryAfter;
    }
}

// Guards against hints that are refused for a queue of checks, which engines admit after them. Load: 336 checks and 10 hints a second.
TEST_CASE("An urgent call does not wait behind the queue of less urgent ones", "[contention]")
{
    ContentionControl contention = control();
    sendCalls(contention, HINT, 10, 100, 1500);
    sendCalls(contention, CHECK_CALL, 336, 3, 300);
    CHECK(std::holds_alternative<SendNow>(contention.decide(HINT, queued(600), 0, at(1000))));
    CHECK_FALSE(std::holds_alternative<SendNow>(contention.decide(CHECK_CALL, queued(600), 0, at(1000))));
    // Behind calls that wait in this process, a call waits as well instead of overtaking them.
    ContentionInput behind = queued(0);
    behind.waitingAhead = 1;
    CHECK(std::holds_alternative<WaitForRoom>(contention.decide(CHECK_CALL, behind, 0, at(1000))));
    // A place that is kept for hints is waited for, but not when that has taken half of the latency target.
    ContentionInput reserved = queued(0);
    reserved.withinReserve = true;
    CHECK(std::holds_alternative<WaitForRoom>(contention.decide(CHECK_CALL, reserved, 0, at(1000))));
    reserved.elapsed = Duration(250);
    CHECK(std::get<RefuseCall>(contention.decide(CHECK_CALL, reserved, 0, at(1000))).reason == ContentionReason::Reserve);
}
