#include "routerfleet.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

// Guards against checks on the last free slots of an engine, behind which a hint waits. Load: decode engines with few free slots.
TEST_CASE("Less urgent calls are not placed where only reserved slots are free", "[contention]")
{
    Fleet fleet;
    fleet.add("d", MODEL, HERE, EnginePhase::Decode);
    fleet.add("e", MODEL, THERE, EnginePhase::Decode);
    fleet.router.reportLoad(EndpointId("d"), {.running = 126}, at(0));
    fleet.router.reportLoad(EndpointId("e"), {.running = 100}, at(0));
    PlacementRequest request = longPrompt(1);
    request.reservedSlots = 4;
    CHECK(fleet.router.place(request, at(0)).run == EndpointId("e"));
    CHECK_FALSE(fleet.router.place(request, at(0)).withinReserve);
    fleet.router.reportLoad(EndpointId("e"), {.running = 126}, at(0));
    CHECK(fleet.router.place(request, at(0)).withinReserve);
    CHECK(fleet.router.place(request, at(0)).run);
    request.reservedSlots = 0;
    CHECK_FALSE(fleet.router.place(request, at(0)).withinReserve);
    CHECK(fleet.router.slots(MODEL, at(0)).total == 256);
    CHECK(fleet.router.slots(MODEL, at(0)).requests == Approx(252));
}
