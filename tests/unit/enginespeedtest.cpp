#include "../src/routing/enginespeed.h"
#include "../src/routing/nearequalchoice.h"
#include "routerfleet.h"

#include <catch2/catch.hpp>

#include <array>
#include <cmath>
#include <limits>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
/// \brief Choices and predictions of one run.
struct RunDigest {
    std::uint64_t choices = 0;
    double predictedMs = 0;
};

/// \brief Places calls on equal engines and answers them.
RunDigest runCalls(Fleet &fleet, int calls)
{
    RunDigest digest;
    for (int i = 0; i < calls; ++i) {
        const PlacementRequest request = longPrompt(static_cast<std::uint64_t>(i % 7) * 10);
        const Placement placement = fleet.router.place(request, at(i * 40));
        const EndpointId run = placement.run.value_or(EndpointId("-"));
        const EndpointId worker = placement.prefill.value_or(run);
        digest.choices = digest.choices * 31 + static_cast<std::uint64_t>(worker.value().back() + run.value().back());
        digest.predictedMs += placement.firstByteMs;
        const auto ticket =
            fleet.router.begin({worker, placement.prefill ? AttemptWork::Prefill : AttemptWork::PrefillAndRun, placement.cache}, request, at(i * 40));
        const int takenMs = placement.cache.tokens > Tokens(0) ? 70 : 115;
        fleet.router.reportLoad(run, {.running = i % 3, .waiting = 0, .slots = 128}, at(i * 40 + 10));
        fleet.router.recordFirstByte(ticket, at(i * 40 + takenMs));
        fleet.router.end(ticket, AttemptOutcome::Answered, at(i * 40 + takenMs + 5));
    }
    return digest;
}
} // namespace

// Guards against other decisions on deployments whose engines are equal and report three figures. The figures were recorded before speeds were used.
TEST_CASE("Without a fourth figure and with equal engines, choices and predictions are the same as without speeds", "[enginespeed]")
{
    Fleet fleet;
    fleet.add("p1", MODEL, HERE, EnginePhase::Prefill);
    fleet.add("p2", MODEL, HERE, EnginePhase::Prefill);
    fleet.add("d3", MODEL, HERE, EnginePhase::Decode);
    fleet.add("d4", MODEL, THERE, EnginePhase::Decode);
    const RunDigest digest = runCalls(fleet, 400);
    CHECK(digest.choices == 1985540123165905154);
    CHECK(digest.predictedMs == Approx(28325.994941288).epsilon(1e-12));
}

// Guards against a slow engine that is predicted to be as quick as the others, and against a speed that one attempt with a stalled connection decides.
TEST_CASE("An engine's speed is learned from service times and single outliers hardly change it", "[enginespeed]")
{
    internal::EngineSpeed speed;
    CHECK(speed.speed(at(0)) == 1);
    CHECK_FALSE(speed.isMeasured());
    for (int i = 0; i < 60; ++i) {
        CHECK(speed.record({.expectedMs = 55, .measuredMs = i % 2 == 0 ? 95.0 : 105.0}, at(i * 100)));
    }
    CHECK(speed.isMeasured());
    CHECK(speed.speed(at(6000)) == Approx(0.55).epsilon(0.03));
    speed.record({.expectedMs = 55, .measuredMs = 1e9}, at(6000));
    CHECK(speed.speed(at(6000)) == Approx(0.55).epsilon(0.06));
    for (const double spoilt : {0.0, -1.0, std::nan(""), std::numeric_limits<double>::infinity()}) {
        CHECK_FALSE(speed.record({.expectedMs = 55, .measuredMs = spoilt}, at(6000)));
    }
    // An engine that got no work for minutes is measured again.
    CHECK(speed.speed(at(600'000)) > 0.99);
}

// Guards against an engine that is taken for a slow one, and gets less work than it can do, because its queue was long or its machine was slow for a moment.
TEST_CASE("Neither a queue nor a reported momentary slowness changes the learned speed", "[enginespeed]")
{
    internal::EngineSpeed speed;
    for (int i = 0; i < 60; ++i) {
        CHECK_FALSE(speed.record({.expectedMs = 50, .measuredMs = 4000, .queueMs = 1000}, at(i * 100)));
        CHECK(speed.record({.expectedMs = 50, .measuredMs = 400, .queueMs = 350}, at(i * 100)));
        CHECK(speed.record({.expectedMs = 50, .measuredMs = 125, .queueMs = 0, .factor = 2.5}, at(i * 100)));
    }
    CHECK(speed.speed(at(6000)) == Approx(1));
}

// Guards against a machine that was slow for 600 ms and is avoided for longer, or against use of a report after it has lost its meaning.
TEST_CASE("A reported factor decays to the mean of the last seconds within 400 ms", "[enginespeed]")
{
    internal::EngineSpeed speed;
    CHECK(speed.momentaryFactor(at(0)) == 1);
    speed.reportRelativeTime(2.5, at(0));
    CHECK(speed.momentaryFactor(at(0)) == 2.5);
    CHECK(speed.momentaryFactor(at(200)) == Approx(1.75).margin(0.1));
    CHECK(speed.momentaryFactor(at(400)) == Approx(1).margin(0.25));
    CHECK(speed.momentaryFactor(at(20'000)) == Approx(1).margin(0.01));
    // A figure that stays is the mean, so it still holds between two reports.
    for (int i = 0; i < 200; ++i) {
        speed.reportRelativeTime(2, at(20'000 + i * 100));
    }
    CHECK(speed.momentaryFactor(at(40'300)) == Approx(2).margin(0.05));
}

// Guards against endpoints that attract or lose all calls by a false figure, and against a figure that changes more often than predictions can follow.
TEST_CASE("False and rapidly changing factors have a bounded effect", "[enginespeed]")
{
    internal::EngineSpeed speed;
    for (const double spoilt : {0.0, -1.0, std::nan("")}) {
        speed.reportRelativeTime(spoilt, at(0));
        CHECK(speed.momentaryFactor(at(0)) == 1);
    }
    speed.reportRelativeTime(1e9, at(0));
    CHECK(speed.momentaryFactor(at(0)) == internal::EngineSpeed::MAX_FACTOR);
    internal::EngineSpeed flickering;
    for (int i = 0; i < 5000; ++i) {
        flickering.reportRelativeTime(i % 2 == 0 ? 0.5 : 1.5, at(i));
    }
    CHECK(flickering.momentaryFactor(at(5000)) == Approx(1).margin(0.1));
}

// Guards against predictions that treat all engines alike although they differ by a factor of two, with three and with four figures reported.
TEST_CASE("Predictions use speeds that differ, and calls prefer the quicker engine", "[enginespeed]")
{
    Fleet fleet;
    fleet.add("p1", MODEL, HERE, EnginePhase::Prefill);
    fleet.add("p2", MODEL, HERE, EnginePhase::Prefill);
    fleet.add("d", MODEL, HERE, EnginePhase::Decode);
    const auto prefill = [&fleet](const char *engine, int i, int takenMs) {
        const PlacementRequest request = longPrompt(static_cast<std::uint64_t>(10 * i));
        const auto ticket = fleet.router.begin({EndpointId(engine), AttemptWork::Prefill}, request, at(i * 300));
        fleet.router.end(ticket, AttemptOutcome::Answered, at(i * 300 + takenMs));
    };
    CHECK_FALSE(fleet.router.speedUse(EndpointId("p1"), at(0)));
    for (int i = 0; i < 100; ++i) {
        prefill("p1", 2 * i, 201);
        prefill("p2", 2 * i + 1, 101);
    }
    fillBatch(fleet, 60'100);
    const auto slow = fleet.router.speedUse(EndpointId("p1"), at(60'100));
    const auto quick = fleet.router.speedUse(EndpointId("p2"), at(60'100));
    REQUIRE((slow && quick));
    CHECK(quick->speed / slow->speed == Approx(2).epsilon(0.15));
    const Placement usual = fleet.router.place(longPrompt(777'777), at(60'100));
    CHECK(usual.prefill == EndpointId("p2"));
    fleet.router.reportLoad(EndpointId("p2"), {.slots = 128, .relativeTime = 5}, at(60'100));
    const Placement slowed = fleet.router.place(longPrompt(777'777), at(60'100));
    CHECK(slowed.prefill == EndpointId("p1"));
    CHECK(slowed.firstByteMs > usual.firstByteMs + 50);
}

// Guards against gateways that all take the same engine, and against a choice of an engine that is clearly worse.
TEST_CASE("A choice among near-equal costs follows the weights and leaves out the others", "[enginespeed]")
{
    std::array<int, 4> chosen {};
    for (std::uint64_t i = 0; i < 4000; ++i) {
        ++chosen.at(internal::chooseNearEqual({{100, 2}, {100, 1}, {100, 1}, {200, 100}}, i * 0x9e3779b97f4a7c15ULL));
    }
    CHECK(chosen[0] == Approx(2000).margin(200));
    CHECK(chosen[1] == Approx(1000).margin(200));
    CHECK(chosen[3] == 0);
    CHECK(internal::chooseNearEqual({{7, 1}}, 3) == 0);
    internal::FadingCount count;
    count.add(Duration(0), at(0));
    CHECK(count.value(at(0)) == 1);
    CHECK(count.value(at(2000)) < 0.01);
}

// Guards against an endpoint that claims to be idle and quick, rejects everything at once, and so gets a call of each gateway after each back-off.
TEST_CASE("An endpoint that claims to be idle and rejects everything attracts few calls", "[enginespeed]")
{
    Fleet fleet;
    fleet.add("d1", MODEL, HERE, EnginePhase::Decode);
    fleet.add("d2", MODEL, HERE, EnginePhase::Decode);
    int rejected = 0;
    for (int i = 0; i < 600; ++i) {
        fleet.router.reportLoad(EndpointId("d1"), {.running = 0, .slots = 128, .relativeTime = 0.05}, at(i * 100));
        fleet.router.reportLoad(EndpointId("d2"), {.running = 8, .slots = 128, .relativeTime = 1}, at(i * 100));
        const PlacementRequest request = longPrompt(static_cast<std::uint64_t>(i) * 10);
        const EndpointId run = fleet.router.place(request, at(i * 100)).run.value_or(EndpointId("-"));
        const bool isRejected = run == EndpointId("d1");
        rejected += isRejected ? 1 : 0;
        const auto ticket = fleet.router.begin({run, AttemptWork::PrefillAndRun}, request, at(i * 100));
        fleet.router.end(ticket, isRejected ? AttemptOutcome::Rejected : AttemptOutcome::Answered, at(i * 100 + (isRejected ? 2 : 90)));
    }
    CHECK(rejected < 30);
    CHECK(fleet.router.engineTimes().at(MODEL).decodePrefillMsPerThousandTokens > 4);
}

// Guards against calls that leave the region, at 12 ms each way and the price of the bytes, because a remote engine is nearly as good.
TEST_CASE("Calls leave the region only for a gain that exceeds the way", "[enginespeed]")
{
    Fleet fleet;
    fleet.add("d1", MODEL, HERE, EnginePhase::Decode);
    fleet.add("d2", MODEL, THERE, EnginePhase::Decode);
    const auto remoteCalls = [&fleet](double nearTime, int start) {
        int remote = 0;
        for (int i = 0; i < 50; ++i) {
            fleet.router.reportLoad(EndpointId("d1"), {.slots = 128, .relativeTime = nearTime}, at(start + i * 50));
            fleet.router.reportLoad(EndpointId("d2"), {.slots = 128, .relativeTime = 1}, at(start + i * 50));
            remote += fleet.router.place(longPrompt(static_cast<std::uint64_t>(start + i) * 10), at(start + i * 50)).run == EndpointId("d2") ? 1 : 0;
        }
        return remote;
    };
    CHECK(remoteCalls(1.05, 0) == 0);
    CHECK(remoteCalls(4, 10'000) > 40);
}
