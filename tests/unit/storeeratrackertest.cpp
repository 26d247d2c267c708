#include <catch2/catch.hpp>

#include <mimosatally/Membership>

using namespace mimosatally;
using Observation = StoreEraTracker::Observation;

namespace
{
Time at(int milliseconds)
{
    return Time(Duration(milliseconds));
}
} // namespace

// Guards against a restore that is seen on one topic only, twice in a row, or taken back by an answer that was on its way.
TEST_CASE("An era advances once for all topics, and an answer of an older one is outdated", "[membership][restore]")
{
    StoreEraTracker tracker;
    CHECK(tracker.since() == Time::max());
    CHECK(tracker.observe(StoreEra(4), at(0)) == Observation::Unchanged);
    CHECK(tracker.observe(StoreEra(5), at(10)) == Observation::Advanced);
    CHECK(tracker.observe(StoreEra(5), at(11)) == Observation::Unchanged);
    CHECK(tracker.observe(StoreEra(4), at(12)) == Observation::Outdated);
    CHECK(tracker.observe(StoreEra(7), at(20)) == Observation::Advanced);
    CHECK(tracker.current() == StoreEra(7));
    CHECK(tracker.since() == at(20));
}

// Guards against a store of an earlier version, which states no era, or one that is upgraded or downgraded while gateways run.
TEST_CASE("Answers without an era count as being of the current one", "[membership][restore]")
{
    StoreEraTracker tracker;
    CHECK(tracker.observe(std::nullopt, at(0)) == Observation::Unchanged);
    CHECK(tracker.current() == StoreEra(0));
    CHECK(tracker.observe(StoreEra(1), at(10)) == Observation::Advanced);
    CHECK(tracker.observe(std::nullopt, at(20)) == Observation::Unchanged);
    CHECK(tracker.current() == StoreEra(1));
}

// Guards against an order of positions by offset alone.
TEST_CASE("A position of a newer era goes before a greater offset", "[membership][restore]")
{
    CHECK(StorePosition {StoreEra(2), Offset(0)} > StorePosition {StoreEra(1), Offset(99)});
    CHECK(StorePosition {StoreEra(2), Offset(3)} > StorePosition {StoreEra(2), Offset(2)});
}
