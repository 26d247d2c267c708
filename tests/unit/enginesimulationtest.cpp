#include "choosersimulation.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::bench;

namespace
{
constexpr Duration TICK = Duration(5);

/// \brief Returns the milliseconds until \a request has finished; -1 if it does not finish within a minute.
std::int64_t runUntilFinished(EngineSimulation &engine, std::size_t request)
{
    for (std::int64_t elapsed = TICK.count(); elapsed < 60'000; elapsed += TICK.count()) {
        const auto events = engine.advance(TICK);
        if (std::find(events.finished.begin(), events.finished.end(), request) != events.finished.end()) {
            return elapsed;
        }
    }
    return -1;
}
} // namespace

// Guards against results of bench_policy that are based on wrong speeds: 8000 prompt tokens and 600 output tokens per second are expected.
TEST_CASE("The engine model prefills and decodes at the speeds of its role", "[enginemodel]")
{
    EngineSimulation prefill(EngineSettings(), EngineRole::Prefill);
    prefill.submit({0, 8000, 1, {}});
    CHECK(runUntilFinished(prefill, 0) == Approx(1010).margin(15));
    EngineSimulation mixed(EngineSettings(), EngineRole::Mixed);
    mixed.submit({0, 8000, 1, {}});
    CHECK(runUntilFinished(mixed, 0) == Approx(1000 / 0.85 + 10).margin(15));
    EngineSimulation decode(EngineSettings(), EngineRole::Decode);
    for (std::size_t i = 0; i < 4; ++i) {
        decode.submit({i, 1, 150, {}});
    }
    CHECK(runUntilFinished(decode, 3) == Approx(1000).margin(15));
}

// Guards against a prefix cache that never hits, or that exceeds its capacity.
TEST_CASE("The engine model caches prompt blocks within its capacity", "[enginemodel]")
{
    EngineSettings settings;
    settings.cacheBlocks = 4;
    EngineSimulation engine(settings, EngineRole::Prefill);
    engine.submit({0, 8000, 1, {1, 2, 3, 4}});
    CHECK(runUntilFinished(engine, 0) > 1000);
    engine.submit({1, 4000, 1, {1, 2}});
    const auto beforeHit = engine.totals().cachedTokens;
    CHECK(runUntilFinished(engine, 1) > 0);
    CHECK(engine.totals().cachedTokens - beforeHit == 4000);
    // A request with other blocks evicts the least recently used ones.
    engine.submit({2, 8000, 1, {5, 6, 7, 8}});
    runUntilFinished(engine, 2);
    engine.submit({3, 4000, 1, {1, 2}});
    const auto beforeMiss = engine.totals().cachedTokens;
    runUntilFinished(engine, 3);
    CHECK(engine.totals().cachedTokens == beforeMiss);
}

// Guards against role changes that abort running requests or take no time.
TEST_CASE("The engine model finishes its requests before a role change, which takes five seconds", "[enginemodel]")
{
    EngineSimulation engine(EngineSettings(), EngineRole::Mixed);
    engine.submit({0, 1000, 10, {}});
    engine.changeRole(EngineRole::Prefill);
    CHECK(runUntilFinished(engine, 0) > 0);
    CHECK(engine.role() == EngineRole::Mixed);
    for (int i = 0; i < 1000; ++i) {
        engine.advance(TICK);
    }
    CHECK(engine.role() == EngineRole::Prefill);
    CHECK_FALSE(engine.isChangingRole());
}

// Guards against gateways that send their calls to the same engines because they all know the same old reports, and against slow engines that get as
// many calls as quick ones. The bound is the target of docs/organisations-and-load.md, section 6.
TEST_CASE("Many choosers spread their calls over engines by speed", "[enginemodel]")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        test::ChooserSimulation simulation(seed);
        simulation.run(20'000, 200);
        const double busiest = test::ChooserSimulation::busiestOverMean(simulation.run(20'000, 336));
        CAPTURE(seed, simulation.shareLaterThan(200), simulation.shareLaterThan(500));
        CHECK(busiest < 1.4);
    }
}
