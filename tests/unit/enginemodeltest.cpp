#include <catch2/catch.hpp>

#include "../bench/policy/enginemodel.h"

using namespace mimosatally;
using namespace mimosatally::bench;

namespace
{
constexpr Duration TICK = Duration(5);

/// \brief Milliseconds until \a request has finished.
std::int64_t runUntilFinished(EngineModel &engine, std::size_t request)
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

// Guards against figures of bench_policy that rest on wrong speeds: 8000 prompt tokens and 600 output tokens per second.
TEST_CASE("The engine model prefills and decodes at the speeds of its role", "[enginemodel]")
{
    EngineModel prefill(EngineSettings(), EngineRole::Prefill);
    prefill.submit({0, 8000, 1, {}});
    CHECK(runUntilFinished(prefill, 0) == Approx(1010).margin(15));
    EngineModel mixed(EngineSettings(), EngineRole::Mixed);
    mixed.submit({0, 8000, 1, {}});
    CHECK(runUntilFinished(mixed, 0) == Approx(1000 / 0.85 + 10).margin(15));
    EngineModel decode(EngineSettings(), EngineRole::Decode);
    for (std::size_t i = 0; i < 4; ++i) {
        decode.submit({i, 1, 150, {}});
    }
    CHECK(runUntilFinished(decode, 3) == Approx(1000).margin(15));
}

// Guards against a cache that saves nothing, or that exceeds its memory.
TEST_CASE("The engine model caches prompt blocks within its memory", "[enginemodel]")
{
    EngineSettings settings;
    settings.cacheBlocks = 4;
    EngineModel engine(settings, EngineRole::Prefill);
    engine.submit({0, 8000, 1, {1, 2, 3, 4}});
    CHECK(runUntilFinished(engine, 0) > 1000);
    engine.submit({1, 4000, 1, {1, 2}});
    const auto repeated = engine.totals().cachedTokens;
    CHECK(runUntilFinished(engine, 1) > 0);
    CHECK(engine.totals().cachedTokens - repeated == 4000);
    // A request with other blocks displaces the least recently used ones.
    engine.submit({2, 8000, 1, {5, 6, 7, 8}});
    runUntilFinished(engine, 2);
    engine.submit({3, 4000, 1, {1, 2}});
    const auto before = engine.totals().cachedTokens;
    runUntilFinished(engine, 3);
    CHECK(engine.totals().cachedTokens == before);
}

// Guards against role changes that cut off requests or cost nothing.
TEST_CASE("The engine model changes its role after its requests and in five seconds", "[enginemodel]")
{
    EngineModel engine(EngineSettings(), EngineRole::Mixed);
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
