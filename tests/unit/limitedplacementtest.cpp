#include "routerfleet.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
/// \brief Lets \a endpoint name a limit in the answer to a call.
void nameLimit(Fleet &fleet, const std::string &endpoint, int perSecond, const PlacementRequest &request, Time now)
{
    const auto ticket = fleet.router.begin({EndpointId(endpoint), AttemptWork::Run}, request, now);
    EndpointAnswer answer;
    answer.status = 200;
    answer.requestLimit = RequestRate(perSecond * 1000);
    fleet.router.observeAnswer(ticket, answer, now);
    fleet.router.end(ticket, AttemptOutcome::Answered, now);
}

/// \brief Lets time pass until the router places \a request. \return that time.
Time awaitPlacement(Fleet &fleet, const PlacementRequest &request, Time from)
{
    Time now = from;
    while (!fleet.router.place(request, now).run) {
        now += Duration(1);
        REQUIRE(now - from < Duration(10'000));
    }
    return now;
}
} // namespace

// Guards against calls that wait for a limited endpoint until their deadline, and against callers that are all told to come back at the same time.
TEST_CASE("A call that no endpoint may get is refused with the time at which the limit allows it", "[limit]")
{
    Fleet fleet;
    fleet.add("e", PLAIN, HERE, std::nullopt);
    nameLimit(fleet, "e", 5, plainCall(), at(0));
    const Time now = at(2000);
    Placement placement = fleet.router.place(plainCall(), now);
    CHECK(placement.run);
    while (placement.run) {
        fleet.router.begin({EndpointId("e"), AttemptWork::Run}, plainCall(), now);
        placement = fleet.router.place(plainCall(), now);
    }
    REQUIRE(placement.retryAfter);
    CHECK(*placement.retryAfter <= Duration(200));
    const Duration first = *placement.retryAfter;
    for (int call = 1; call < 5; ++call) {
        CHECK(*fleet.router.place(plainCall(), now).retryAfter == first + call * Duration(200));
    }
    CHECK(fleet.router.place(plainCall(), now + first).run);
}

// Guards against prompts that are prefilled in vain because another call has used up the limit of the decode engine meanwhile.
TEST_CASE("A call keeps its place at a limited decode engine during its prefill", "[limit]")
{
    Fleet fleet;
    fleet.add("p", MODEL, HERE, EnginePhase::Prefill);
    fleet.add("d", MODEL, HERE, EnginePhase::Decode);
    const PlacementRequest request = longPrompt(7);
    nameLimit(fleet, "d", 1, request, at(0));
    const Time now = awaitPlacement(fleet, request, at(0));
    CHECK(fleet.router.place(request, now).prefill == EndpointId("p"));
    CHECK(fleet.router.reserveRequest(EndpointId("d"), now));
    CHECK_FALSE(fleet.router.place(otherCallOf(request), now + Duration(100)).run);
    fleet.router.returnRequest(EndpointId("d"), now, now + Duration(300));
    CHECK(fleet.router.placeDecode(request, EndpointId("p"), now + Duration(300)).run == EndpointId("d"));
    fleet.router.begin({EndpointId("d"), AttemptWork::Run, CachedPrefix(), EndpointId("p")}, request, now + Duration(300));
    CHECK_FALSE(fleet.router.place(otherCallOf(request), now + Duration(310)).run);
}

// Guards against prefill calls that are not counted: an endpoint counts them like all other requests.
TEST_CASE("Prefill calls use up the limit of their engine", "[limit]")
{
    Fleet fleet;
    fleet.add("p", MODEL, HERE, EnginePhase::Prefill);
    fleet.add("d", MODEL, HERE, EnginePhase::Decode);
    const PlacementRequest request = longPrompt(7);
    nameLimit(fleet, "p", 1, request, at(0));
    const Time now = at(3000);
    CHECK(fleet.router.place(request, now).prefill == EndpointId("p"));
    fleet.router.begin({EndpointId("p"), AttemptWork::Prefill}, request, now);
    const Placement next = fleet.router.place(otherCallOf(request), now);
    CHECK_FALSE(next.prefill);
    CHECK(next.run == EndpointId("d"));
}

// Guards against a prefix whose calls are spread over all engines because its preferred engine takes only a few of them.
TEST_CASE("An engine with a request limit is not preferred for prefixes that others may prefill", "[limit]")
{
    Fleet fleet;
    for (const char *name : {"p1", "p2", "p3"}) {
        fleet.add(name, MODEL, HERE, EnginePhase::Prefill);
    }
    fleet.add("d", MODEL, HERE, EnginePhase::Decode);
    const PlacementRequest request = longPrompt(7);
    const Placement before = fleet.router.place(request, at(0));
    REQUIRE(before.prefill);
    nameLimit(fleet, before.prefill->value(), 10, plainCall(), at(0));
    const Placement after = fleet.router.place(request, at(3000));
    REQUIRE(after.prefill);
    CHECK(*after.prefill != *before.prefill);
    CHECK(after.cache.estimate != CacheEstimate::None);
}

// Guards against a limit that outlives the process that named it.
TEST_CASE("A new incarnation of an endpoint has no limit", "[limit]")
{
    Fleet fleet;
    fleet.add("e", PLAIN, HERE, std::nullopt);
    nameLimit(fleet, "e", 5, plainCall(), at(0));
    CHECK(fleet.router.requestLimit(EndpointId("e"), at(10)));
    fleet.records[EndpointId("e")].startedAt = 99;
    fleet.apply();
    CHECK_FALSE(fleet.router.requestLimit(EndpointId("e"), at(10)));
}
