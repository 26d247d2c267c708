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

StorePosition position(std::int64_t offset, std::int64_t era = 1)
{
    return {StoreEra(era), Offset(offset)};
}

/// \brief Heartbeat with a number within the incarnation that started at 5.
EndpointRecord heartbeat(std::int64_t number, bool leaving = false)
{
    EndpointRecord result = record(5, leaving);
    result.heartbeat = number;
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
    registry.apply(ENGINE, position(1), record(5), at(0));
    registry.apply(ENGINE, position(2), std::nullopt, at(100));
    CHECK(registry.endpoints().empty());
}

// Guards against a store outage that removes all endpoints, and against keeping entries that are never registered again.
TEST_CASE("An entry that expired during a store outage is kept until its owner has had time to register again", "[membership]")
{
    EndpointRegistry registry;
    registry.apply(ENGINE, position(1), record(5), at(0));
    registry.recordStoreFailure();
    registry.expire(at(60'000));
    CHECK(registry.endpoints().size() == 1);
    registry.recordStoreAnswer(at(60'000));
    registry.apply(ENGINE, position(2), std::nullopt, at(60'000));
    registry.expire(at(61'900));
    CHECK(registry.endpoints().size() == 1);

    SECTION("it is removed if it was not registered again")
    {
        registry.expire(at(62'000));
        CHECK(registry.endpoints().empty());
    }
    SECTION("it stays if it was registered again")
    {
        registry.apply(ENGINE, position(3), record(5), at(61'000));
        registry.expire(at(70'000));
        CHECK(registry.endpoints().size() == 1);
    }
}

// Guards against a delayed heartbeat that returns a leaving endpoint to service.
TEST_CASE("Leaving is final for an incarnation", "[membership]")
{
    EndpointRegistry registry;
    registry.apply(ENGINE, position(1), record(5, true), at(0));
    registry.apply(ENGINE, position(2), record(5, false), at(10));
    CHECK(registry.endpoints().at(ENGINE).leaving);
    registry.apply(ENGINE, position(3), record(6, false), at(20));
    CHECK_FALSE(registry.endpoints().at(ENGINE).leaving);
}

// Guards against stale reads of the store and against heartbeats of a dead predecessor.
TEST_CASE("Older records and older incarnations change nothing", "[membership]")
{
    EndpointRegistry registry;
    registry.apply(ENGINE, position(7), record(6), at(0));
    registry.apply(ENGINE, position(6), std::nullopt, at(1));
    CHECK(registry.endpoints().size() == 1);
    registry.apply(ENGINE, position(8), record(5, true), at(2));
    CHECK(registry.endpoints().at(ENGINE).startedAt == 6);
    CHECK_FALSE(registry.endpoints().at(ENGINE).leaving);
}

// Guards against keeping endpoints whose removal is missing from the part of the store's log that is still retained.
TEST_CASE("A snapshot removes entries that it does not contain, except newer ones", "[membership]")
{
    EndpointRegistry registry;
    EndpointRecord other = record(1);
    other.id = EndpointId("i-2");
    registry.apply(ENGINE, position(1), record(5), at(0));
    registry.apply(other.id, position(9), other, at(0));
    registry.retain({}, position(8), at(10));
    CHECK_FALSE(registry.endpoints().contains(ENGINE));
    CHECK(registry.endpoints().contains(other.id));
}

// Guards against an endpoint that goes on getting calls because offsets are given out again after a restore of the store.
TEST_CASE("A record of a newer era counts although its offset is smaller", "[membership][restore]")
{
    EndpointRegistry registry;
    registry.apply(ENGINE, position(40, 1), heartbeat(9), at(0));
    registry.apply(ENGINE, position(3, 2), heartbeat(10, true), at(1));
    CHECK(registry.endpoints().at(ENGINE).leaving);
    registry.apply(ENGINE, position(41, 1), std::nullopt, at(2));
    CHECK(registry.endpoints().contains(ENGINE));
}

// Guards against an older copy that takes back what an endpoint has said since, here its phase.
TEST_CASE("The copy of an earlier heartbeat does not replace a later one of the same incarnation", "[membership][restore]")
{
    EndpointRegistry registry;
    EndpointRecord later = heartbeat(9);
    later.phase = EnginePhase::Prefill;
    EndpointRecord earlier = heartbeat(4);
    earlier.phase = EnginePhase::Decode;
    registry.apply(ENGINE, position(40, 1), later, at(0));
    registry.apply(ENGINE, position(3, 2), earlier, at(1));
    CHECK(registry.endpoints().at(ENGINE).phase == EnginePhase::Prefill);
    SECTION("a restarted endpoint counts heartbeats anew")
    {
        earlier.startedAt = 6;
        registry.apply(ENGINE, position(4, 2), earlier, at(2));
        CHECK(registry.endpoints().at(ENGINE).phase == EnginePhase::Decode);
    }
}

// Guards against an endpoint that has ended and is served again because the copy is older than its removal.
TEST_CASE("A removed incarnation returns only with a later heartbeat, and never after it was leaving", "[membership][restore]")
{
    const auto leaving = GENERATE(false, true);
    EndpointRegistry registry;
    registry.apply(ENGINE, position(40, 1), heartbeat(9, leaving), at(0));
    registry.apply(ENGINE, position(41, 1), std::nullopt, at(1));
    registry.recordRestore(at(2));
    registry.apply(ENGINE, position(3, 2), heartbeat(4), at(3));
    CHECK(registry.endpoints().empty());
    registry.apply(ENGINE, position(7, 2), heartbeat(10), at(4));
    CHECK(registry.endpoints().empty() == leaving);
    registry.apply(ENGINE, position(8, 2), record(6), at(5));
    CHECK(registry.endpoints().contains(ENGINE));
}

// Guards against endpoints that are dropped because they registered in the lost seconds, also if no outage was seen and if two restores follow.
TEST_CASE("Entries that the copy lacks are kept for the grace period after the last restore", "[membership][restore]")
{
    EndpointRegistry registry;
    registry.apply(ENGINE, position(40, 1), heartbeat(1), at(0));
    registry.recordRestore(at(100));
    registry.retain({}, position(30, 2), at(100));
    registry.recordRestore(at(1500));
    registry.retain({}, position(20, 3), at(1500));
    registry.expire(at(3400));
    CHECK(registry.endpoints().contains(ENGINE));
    SECTION("one that is still missing is gone")
    {
        registry.expire(at(3500));
        CHECK(registry.endpoints().empty());
    }
    SECTION("one that registers again stays")
    {
        registry.apply(ENGINE, position(21, 3), heartbeat(2), at(2000));
        registry.expire(at(9000));
        CHECK(registry.endpoints().contains(ENGINE));
    }
}

// Guards against memory that grows with every endpoint that ever left.
TEST_CASE("The memory for removed incarnations is bounded", "[membership][restore]")
{
    EndpointRegistry registry;
    const auto id = [](std::size_t number) {
        return EndpointId("i-" + std::to_string(number));
    };
    const std::size_t count = EndpointRegistry::MAX_REMOVED + 1;
    for (std::size_t i = 0; i < count; ++i) {
        EndpointRecord next = heartbeat(9, true);
        next.id = id(i);
        registry.apply(next.id, position(static_cast<std::int64_t>(2 * i), 1), next, at(0));
        registry.apply(next.id, position(static_cast<std::int64_t>(2 * i + 1), 1), std::nullopt, at(0));
    }
    for (const std::size_t i : {std::size_t(0), count - 1}) {
        EndpointRecord copy = heartbeat(8);
        copy.id = id(i);
        registry.apply(copy.id, position(1, 2), copy, at(1));
    }
    CHECK(registry.endpoints().contains(id(0)));
    CHECK_FALSE(registry.endpoints().contains(id(count - 1)));
}
