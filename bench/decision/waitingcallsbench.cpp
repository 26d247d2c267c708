// Time to place again all calls that wait for room, as after a change of the services: placement, reserve, order and decision of each.

#include "../../tests/unit/routerfleet.h"

#include "gateway/contentioncontrol.h"
#include "gateway/roomwaiters.h"

#include <benchmark/benchmark.h>

#include <boost/asio/io_context.hpp>
#include <list>

using namespace mimosatally;
using namespace mimosatally::internal;
using namespace mimosatally::test;

namespace
{
constexpr int RANKS = 6;
constexpr int ORGANISATIONS = 50;

/// \brief Engines of one service, a third of them for prefill, all of them busy.
void addBusyEngines(Fleet &fleet, std::int64_t count)
{
    for (std::int64_t i = 0; i < count; ++i) {
        EndpointRecord record;
        record.id = EndpointId("e-" + std::to_string(i));
        record.service = MODEL;
        record.dataCentre = i % 2 == 0 ? HERE : THERE;
        record.version = V1;
        record.phase = i % 3 == 0 ? EnginePhase::Prefill : EnginePhase::Decode;
        record.slots = 128;
        fleet.records[record.id] = record;
    }
    fleet.apply();
    for (const auto &[id, record] : fleet.records) {
        fleet.router.reportLoad(id, {.running = 120, .waiting = 10}, at(0));
    }
}

void placeWaitingCalls(benchmark::State &state)
{
    Fleet fleet;
    addBusyEngines(fleet, state.range(1));
    boost::asio::io_context io;
    RoomWaiters waiters;
    std::list<boost::asio::steady_timer> timers;
    std::list<RoomWaiters::Entry> entries;
    std::vector<WaitingOrder> orders;
    for (int i = 0; i < state.range(0); ++i) {
        timers.emplace_back(io, std::chrono::hours(1));
        orders.push_back({i % RANKS, at(i)});
        entries.emplace_back(waiters, MODEL, orders.back(), timers.back());
    }
    ContentionControl control;
    control.configure(fleet.configuration, UrgencyTable(fleet.configuration), true);
    control.reportSlots(MODEL, fleet.router.slots(MODEL, at(1)), at(1));
    ContendedCallKind kind;
    kind.service = MODEL;
    kind.tokens = Tokens(9000);
    kind.latencyTarget = Duration(1000);
    for (auto _ : state) {
        for (std::size_t i = 0; i < orders.size(); ++i) {
            kind.organisation = OrganisationId("o" + std::to_string(i % ORGANISATIONS));
            PlacementRequest request = longPrompt(i);
            request.reservedSlots = control.reservedSlots(kind, at(1));
            const Placement placement = fleet.router.place(request, at(1));
            ContentionInput input;
            input.firstByteMs = placement.firstByteMs;
            input.queueMs = placement.queueMs;
            input.waitingAhead = waiters.ahead(MODEL, orders[i]);
            input.remainingTime = Duration(5000);
            benchmark::DoNotOptimize(control.decide(kind, input, 0, at(1)));
        }
    }
}
BENCHMARK(placeWaitingCalls)->ArgNames({"calls", "engines"})->ArgsProduct({{100, 500}, {20, 300}})->Unit(benchmark::kMillisecond);
} // namespace
