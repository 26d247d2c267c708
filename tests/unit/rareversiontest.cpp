#include "routerfleet.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

// Guards against a sample of a large fleet that holds no endpoint of a rare version, or only its prefill engine.
TEST_CASE("The endpoints of a rare version are found in a fleet of any size", "[phaserouter][version]")
{
    const int common = GENERATE(34, 400);
    Fleet fleet;
    for (int i = 0; i < common; ++i) {
        EndpointRecord record;
        record.id = EndpointId("e" + std::to_string(i));
        record.service = MODEL;
        record.dataCentre = i % 2 == 0 ? HERE : THERE;
        record.version = V2;
        record.phase = i % 4 < 2 ? EnginePhase::Prefill : EnginePhase::Decode;
        record.slots = 128;
        fleet.records[record.id] = record;
    }
    fleet.add("e100-p", MODEL, THERE, EnginePhase::Prefill, V1);
    fleet.add("e100-d", MODEL, THERE, EnginePhase::Decode, V1);
    for (int i = 0; i < 1000; ++i) {
        const Placement placement = fleet.router.place(ofVersion(longPrompt(static_cast<std::uint64_t>(i) * 10), V1), at(i));
        REQUIRE(placement.run == EndpointId("e100-d"));
        CHECK(placement.prefill.value_or(EndpointId("e100-p")) == EndpointId("e100-p"));
    }
}

// Guards against new streams that take the last slots of a version whose endpoints are being replaced: the streams of that version can go on nowhere
// else.
TEST_CASE("New calls leave slots of a rare version to streams that need them", "[phaserouter][version]")
{
    const int slots = 8;
    Fleet fleet;
    for (int i = 0; i < 36; ++i) {
        fleet.add("e" + std::to_string(i), MODEL, HERE, EnginePhase::Decode, i < 2 ? V1 : V2);
        fleet.records[EndpointId("e" + std::to_string(i))].slots = slots;
    }
    fleet.apply();
    std::map<SoftwareVersion, int> running;
    PlacementRequest request;
    request.service = MODEL;
    request.promptTokens = Tokens(200);
    for (int i = 0; i < 36 * slots; ++i) {
        const Placement placement = fleet.router.place(request, at(i / 100));
        REQUIRE(placement.run);
        ++running[versionOf(fleet, *placement.run)];
        fleet.router.begin({*placement.run, AttemptWork::PrefillAndRun}, request, at(i / 100));
    }
    CHECK(running[V1] == 2 * (slots - slots / 4));
    const Placement resumed = fleet.router.place(ofVersion(request, V1), at(4));
    REQUIRE(resumed.run);
    CHECK(versionOf(fleet, *resumed.run) == V1);
    CHECK(resumed.queueMs < fleet.router.place(ofVersion(request, V2), at(4)).queueMs);
}

// Guards against calls that are refused although only slots reserved on a rare version are free.
TEST_CASE("New calls use a rare version's last slots if nothing else takes calls", "[phaserouter][version]")
{
    Fleet fleet;
    for (int i = 0; i < 6; ++i) {
        fleet.add("x" + std::to_string(i), PLAIN, HERE, std::nullopt, i == 0 ? V1 : V2);
    }
    for (int i = 0; i < 6; ++i) {
        fleet.router.begin({EndpointId("x0"), AttemptWork::Run}, plainCall(), at(0));
    }
    PlacementRequest request = plainCall();
    CHECK(fleet.router.place(request, at(1)).run != EndpointId("x0"));
    for (int i = 1; i < 6; ++i) {
        request.excluded.emplace_back("x" + std::to_string(i));
    }
    CHECK(fleet.router.place(request, at(1)).run == EndpointId("x0"));
}
