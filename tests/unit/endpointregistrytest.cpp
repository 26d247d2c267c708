#include <catch2/catch.hpp>

#include <mimosatally/Membership>

using namespace mimosatally;

namespace
{
const EndpointId ENGINE("i-1");

EndpointRecord record(std::int64_t startedAt, bool leaving = false)
{
    EndpointRecord result;
    result.id = ENGINE;
    result.startedAt = startedAt;
    result.leaving = leaving;
    return result;
}

Time at(int milliseconds)
{
    return Time(Duration(milliseconds));
}
} // namespace

// Guards against calls to an endpoint that stopped without announcing that it was leaving.
TEST_CASE("An entry that is removed while the store answers is dropped at once", "[membership]")
{
    EndpointRegistry registry;
    registry.apply(ENGINE, Offset(1), record(5), at(0));
    registry.apply(ENGINE, Offset(2), std::nullopt, at(100));
    CHECK(registry.endpoints().empty());
}

// Guards against a store outage that removes all endpoints, and against keeping entries that are never registered again.
TEST_CASE("An entry that expired during a store outage is kept until its owner has had time to register again", "[membership]")
{
    EndpointRegistry registry;
    registry.apply(ENGINE, Offset(1), record(5), at(0));
    registry.recordStoreFailure();
    registry.expire(at(60'000));
    CHECK(registry.endpoints().size() == 1);
    registry.recordStoreAnswer(at(60'000));
    registry.apply(ENGINE, Offset(2), std::nullopt, at(60'000));
    registry.expire(at(61'900));
    CHECK(registry.endpoints().size() == 1);

    SECTION("it is removed if it was not registered again")
    {
        registry.expire(at(62'000));
        CHECK(registry.endpoints().empty());
    }
    SECTION("it stays if it was registered again")
    {
        registry.apply(ENGINE, Offset(3), record(5), at(61'000));
        registry.expire(at(70'000));
        CHECK(registry.endpoints().size() == 1);
    }
}

// Guards against a delayed heartbeat that returns a leaving endpoint to service.
TEST_CASE("Leaving is final for an incarnation", "[membership]")
{
    EndpointRegistry registry;
    registry.apply(ENGINE, Offset(1), record(5, true), at(0));
    registry.apply(ENGINE, Offset(2), record(5, false), at(10));
    CHECK(registry.endpoints().at(ENGINE).leaving);
    registry.apply(ENGINE, Offset(3), record(6, false), at(20));
    CHECK_FALSE(registry.endpoints().at(ENGINE).leaving);
}

// Guards against stale reads of the store and against heartbeats of a dead predecessor.
TEST_CASE("Older records and older incarnations change nothing", "[membership]")
{
    EndpointRegistry registry;
    registry.apply(ENGINE, Offset(7), record(6), at(0));
    registry.apply(ENGINE, Offset(6), std::nullopt, at(1));
    CHECK(registry.endpoints().size() == 1);
    registry.apply(ENGINE, Offset(8), record(5, true), at(2));
    CHECK(registry.endpoints().at(ENGINE).startedAt == 6);
    CHECK_FALSE(registry.endpoints().at(ENGINE).leaving);
}

// Guards against keeping endpoints whose removal is missing from the part of the store's log that is still retained.
TEST_CASE("A snapshot removes entries that it does not contain, except newer ones", "[membership]")
{
    EndpointRegistry registry;
    EndpointRecord other = record(1);
    other.id = EndpointId("i-2");
    registry.apply(ENGINE, Offset(1), record(5), at(0));
    registry.apply(other.id, Offset(9), other, at(0));
    registry.retain({}, Offset(8), at(10));
    CHECK_FALSE(registry.endpoints().contains(ENGINE));
    CHECK(registry.endpoints().contains(other.id));
}
