#include "routerfleet.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
/// \brief Two plain endpoints of which the near one, `a`, is preferred.
struct PlainFleet : Fleet {
    PlainFleet()
    {
        add("a", PLAIN, HERE, std::nullopt);
        add("b", PLAIN, THERE, std::nullopt);
        beat(1);
    }

    void beat(std::int64_t heartbeat)
    {
        records[EndpointId("a")].heartbeat = heartbeat;
        apply();
    }

    void refuse(int when)
    {
        router.recordRefusedConnection(EndpointId("a"), records[EndpointId("a")].startedAt, at(when));
    }

    [[nodiscard]] std::string chosen(int when) const
    {
        return router.place(plainCall(), at(when)).run.value_or(EndpointId("-")).value();
    }
};
} // namespace

// Guards against calls that are refused one after the other at an endpoint whose process has ended: one refused connection is certain evidence.
TEST_CASE("One refused connection keeps calls away from an endpoint until it is known to live", "[phaserouter][refused]")
{
    PlainFleet fleet;
    REQUIRE(fleet.chosen(0) == "a");
    fleet.refuse(0);
    CHECK(fleet.chosen(1) == "b");
    CHECK(fleet.chosen(1900) == "b");
    SECTION("for two seconds at most")
    {
        CHECK(fleet.chosen(2000) == "a");
        fleet.refuse(2000);
        CHECK(fleet.chosen(2001) == "b");
    }
    SECTION("until its second later heartbeat, since the first can have been written before its end")
    {
        fleet.beat(2);
        CHECK(fleet.chosen(500) == "b");
        fleet.beat(3);
        CHECK(fleet.chosen(500) == "a");
    }
    SECTION("until it has started again")
    {
        fleet.records[EndpointId("a")].startedAt = 7;
        fleet.beat(1);
        CHECK(fleet.chosen(500) == "a");
        fleet.router.recordRefusedConnection(EndpointId("a"), 0, at(510));
        CHECK(fleet.chosen(520) == "a");
    }
    SECTION("until it answers a call that was sent after the refusal")
    {
        const auto ticket = fleet.router.begin({EndpointId("a"), AttemptWork::Run}, plainCall(), at(100));
        fleet.router.end(ticket, AttemptOutcome::Answered, at(200));
        CHECK(fleet.chosen(300) == "a");
    }
}

// Guards against an answer that was under way when the process ended and makes the endpoint count as alive.
TEST_CASE("An answer to a call that was sent before a refused connection does not show that the endpoint lives", "[phaserouter][refused]")
{
    PlainFleet fleet;
    const auto ticket = fleet.router.begin({EndpointId("a"), AttemptWork::Run}, plainCall(), at(0));
    fleet.refuse(10);
    fleet.router.end(ticket, AttemptOutcome::Answered, at(20));
    CHECK(fleet.chosen(30) == "b");
}

// Guards against a take-up that is refused because the few endpoints of its version that failed for another reason yield to ones that have ended.
TEST_CASE("Among the endpoints of a version those that may live go before those that have ended", "[phaserouter][refused]")
{
    Fleet fleet;
    for (const std::string id : {"a", "b", "c"}) {
        fleet.add(id, PLAIN, HERE, std::nullopt, id == "c" ? V2 : V1);
    }
    fleet.router.recordRefusedConnection(EndpointId("a"), 0, at(0));
    // A silent endpoint is suspected.
    fleet.router.begin({EndpointId("b"), AttemptWork::Run}, plainCall(), at(0));
    PlacementRequest request = ofVersion(plainCall(), V1);
    CHECK(fleet.router.place(request, at(700)).run == EndpointId("b"));
    request.excluded = {EndpointId("b")};
    CHECK(fleet.router.place(request, at(700)).run == EndpointId("a"));
}

// Guards against calls that try every endpoint of a service after all of them have ended: only the first refusal of each is free of the limit on attempts.
TEST_CASE("A refused connection is news once", "[phaserouter][refused]")
{
    PlainFleet fleet;
    const EndpointId endpoint("a");
    const std::int64_t startedAt = fleet.records[endpoint].startedAt;
    CHECK(fleet.router.recordRefusedConnection(endpoint, startedAt, at(0)));
    CHECK_FALSE(fleet.router.recordRefusedConnection(endpoint, startedAt, at(1000)));
    // A later refusal does not renew the first one, so a call tests the address again two seconds after that.
    CHECK(fleet.chosen(1999) == "b");
    CHECK(fleet.chosen(2000) == "a");
    CHECK(fleet.router.recordRefusedConnection(endpoint, startedAt, at(2000)));
}
