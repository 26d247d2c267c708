#include <catch2/catch.hpp>

#include <mimosatally/Membership>

using namespace mimosatally;

namespace
{
const EndpointId LEFT("i-left");
const EndpointId WITNESS("i-witness");
constexpr Duration INTERVAL = Duration(1000);

Time at(int milliseconds)
{
    return Time(Duration(milliseconds));
}

/// \brief A registry that has read its records up to 10 s and then fails to reach the store. Each heartbeat interval lasts a second.
class AbsentReader
{
public:
    AbsentReader()
    {
        beat(LEFT, 1, at(9000));
        beat(WITNESS, 1, at(9500));
        registry.recordStoreAnswer(at(10'000));
        endRead(10'000, 10'000);
        registry.recordStoreFailure();
    }

    /// \brief Applies the next record of the log, a heartbeat.
    void beat(const EndpointId &id, std::int64_t number, Time now, bool leaving = false)
    {
        EndpointRecord record;
        record.id = id;
        record.startedAt = 5;
        record.heartbeat = number;
        record.leaving = leaving;
        registry.apply(id, nextPosition(), record, now);
    }

    /// \brief Applies the heartbeats \a first to \a last of the endpoint that stays.
    void witness(int first, int last, Time now)
    {
        for (int number = first; number <= last; ++number) {
            beat(WITNESS, number, now);
        }
    }

    void remove(const EndpointId &id, Time now)
    {
        registry.apply(id, nextPosition(), std::nullopt, now);
    }

    void endRead(int sentAt, int now)
    {
        registry.recordHistoryRead(at(sentAt), at(now), INTERVAL);
    }

    [[nodiscard]] bool isKept() const
    {
        return registry.endpoints().contains(LEFT);
    }

    EndpointRegistry registry;

private:
    StorePosition nextPosition()
    {
        return {StoreEra(1), Offset(++offset_)};
    }

    std::int64_t offset_ = 0;
};
} // namespace

// Guards against calls to endpoints that left while only this process was cut off from the store: they were kept like entries that had lapsed in an outage.
TEST_CASE("An entry that was removed while the store accepted heartbeats of others is dropped at once", "[membership][absence]")
{
    AbsentReader reader;
    reader.registry.recordStoreAnswer(at(13'000));
    reader.witness(2, 3, at(13'000));
    reader.remove(LEFT, at(13'000));
    reader.witness(4, 4, at(13'000));
    reader.endRead(12'900, 13'000);
    CHECK_FALSE(reader.isKept());
    SECTION("entries that are removed in the seconds after it are dropped at once too")
    {
        reader.registry.recordStoreAnswer(at(13'900));
        reader.remove(WITNESS, at(13'900));
        CHECK(reader.registry.endpoints().empty());
    }
}

// Guards against a store outage that removes live endpoints: no endpoint could write a heartbeat for two intervals, so entries may have lapsed.
TEST_CASE("An entry that was removed while the store accepted no heartbeats is kept for the grace period", "[membership][absence]")
{
    const int heartbeats = GENERATE(0, 1, 2);
    AbsentReader reader;
    reader.registry.recordStoreAnswer(at(14'000));
    reader.remove(LEFT, at(14'000));
    reader.witness(2, 1 + heartbeats, at(14'000));
    reader.endRead(13'900, 14'000);
    CAPTURE(heartbeats);
    // The heartbeats after the removal show that the store has been back for as many intervals, less one.
    const int graceEnd = 16'000 - 1000 * std::max(0, heartbeats - 1);
    reader.registry.expire(at(graceEnd - 1));
    CHECK(reader.isKept());
    SECTION("it is removed if it was not registered again")
    {
        reader.registry.expire(at(graceEnd));
        CHECK_FALSE(reader.isKept());
    }
    SECTION("it stays if it is registered again")
    {
        reader.beat(LEFT, 2, at(14'900));
        reader.registry.expire(at(60'000));
        CHECK(reader.isKept());
    }
}

// Guards against calls to an endpoint whose owner has had time to register again, as the heartbeats of others behind its removal show.
TEST_CASE("An entry is dropped if others have registered again for longer than the grace period and its owner has not", "[membership][absence]")
{
    AbsentReader reader;
    reader.registry.recordStoreAnswer(at(20'000));
    reader.remove(LEFT, at(20'000));
    reader.witness(8, 10, at(20'000));
    reader.endRead(19'900, 20'000);
    CHECK_FALSE(reader.isKept());
}

// Guards against calls to endpoints that left while this process was cut off from its peers too. The store records only changes of entries, so often no
// heartbeats show that it served others.
TEST_CASE("An entry that was removed while no peer was heard either is dropped at once", "[membership][absence]")
{
    const bool peersFirst = GENERATE(true, false);
    AbsentReader reader;
    if (peersFirst) {
        reader.registry.recordPeerSilence(Duration(2800), at(13'000), INTERVAL);
    }
    reader.registry.recordStoreAnswer(at(13'100));
    reader.remove(LEFT, at(13'100));
    reader.endRead(13'000, 13'100);
    CHECK(reader.isKept() != peersFirst);
    if (!peersFirst) {
        reader.registry.recordPeerSilence(Duration(2800), at(13'300), INTERVAL);
    }
    CHECK_FALSE(reader.isKept());
}

// Guards against a short silence of the peers in a long outage of the store, which could have let entries lapse while the peers were heard.
TEST_CASE("A silence of the peers for a part of the time without the store ends no grace period", "[membership][absence]")
{
    AbsentReader reader;
    reader.registry.recordPeerSilence(Duration(1500), at(13'000), INTERVAL);
    reader.registry.recordStoreAnswer(at(14'000));
    reader.remove(LEFT, at(14'000));
    reader.endRead(13'900, 14'000);
    reader.registry.recordPeerSilence(Duration(1500), at(14'100), INTERVAL);
    CHECK(reader.isKept());
    reader.registry.expire(at(16'000));
    CHECK_FALSE(reader.isKept());
}

// Guards against a grace period for an endpoint that has announced that it leaves, and so does not register again.
TEST_CASE("An entry of a leaving endpoint is dropped at once also after an outage of the store", "[membership][absence]")
{
    AbsentReader reader;
    reader.registry.recordStoreAnswer(at(14'000));
    reader.beat(LEFT, 2, at(14'000), true);
    reader.remove(LEFT, at(14'000));
    CHECK_FALSE(reader.isKept());
}

// Guards against conclusions from records that do not show what was written meanwhile: those of a snapshot, of another incarnation, and changes of an
// endpoint between its heartbeats.
TEST_CASE("Records that do not cover the time without the store prove no removal", "[membership][absence]")
{
    AbsentReader reader;
    reader.registry.recordStoreAnswer(at(13'000));
    SECTION("a snapshot")
    {
        reader.witness(4, 4, at(13'000));
        reader.registry.retain({WITNESS}, {StoreEra(1), Offset(100)}, at(13'000));
    }
    SECTION("an older copy of the store")
    {
        reader.registry.recordRestore(at(13'000));
        reader.witness(2, 4, at(13'000));
        reader.remove(LEFT, at(13'000));
    }
    SECTION("an endpoint that announces its leaving between two heartbeats")
    {
        reader.remove(LEFT, at(13'000));
        reader.beat(WITNESS, 2, at(13'000));
        reader.beat(WITNESS, 3, at(13'000), true);
    }
    reader.endRead(12'900, 13'000);
    CHECK(reader.isKept());
    reader.registry.expire(at(14'999));
    CHECK(reader.isKept());
    reader.registry.expire(at(15'000));
    CHECK_FALSE(reader.isKept());
}

// Guards against a restore whose grace period ends early because the process lost the store for a moment after it.
TEST_CASE("The grace period after a restore outlasts a moment without the store", "[membership][absence]")
{
    AbsentReader reader;
    reader.registry.recordStoreAnswer(at(10'500));
    reader.endRead(10'400, 10'500);
    reader.registry.recordRestore(at(10'600));
    reader.registry.recordStoreFailure();
    reader.registry.recordStoreAnswer(at(11'000));
    reader.remove(LEFT, at(11'000));
    reader.endRead(10'900, 11'000);
    CHECK(reader.isKept());
    reader.registry.expire(at(12'600));
    CHECK_FALSE(reader.isKept());
}
