#include <mimosatally/Usage>

#include <catch2/catch.hpp>

#include <limits>

using namespace mimosatally;

namespace
{
constexpr std::int64_t START_MS = 1'767'225'600'000;
/// \brief Start of the monotonic clock, which differs from machine to machine.
const Time START = Time(Duration(5'000'000));

/// \brief Clock of a process with two peers, each with an own error of its time of day in milliseconds.
struct ThreeClocks {
    /// \brief Lets the clocks exchange heartbeats for \a duration; the time must not go back unless mayStep.
    void run(Duration duration, bool peersAreHeard = true)
    {
        const Time end = now + duration;
        while (now < end) {
            now += Duration(500);
            clock.recordOwn(trueMs() + own, now);
            if (peersAreHeard) {
                clock.recordPeer(1, trueMs() + first, now);
                clock.recordPeer(2, trueMs() + second, now);
            }
            CHECK((mayStep || *clock.unixMs(now) >= last));
            last = *clock.unixMs(now);
        }
    }

    [[nodiscard]] std::int64_t trueMs() const
    {
        return START_MS + (now - START).count();
    }

    [[nodiscard]] std::int64_t error() const
    {
        return *clock.unixMs(now) - trueMs();
    }

    FleetClock clock;
    Time now = START;
    std::int64_t own = 0;
    std::int64_t first = 0;
    std::int64_t second = 0;
    std::int64_t last = 0;
    /// \brief The median moves by more than FleetClock::MIN_STEP.
    bool mayStep = false;
};
} // namespace

// Guards against runs that are counted in a wrong window because the time of day of one gateway has jumped.
TEST_CASE("One wrong clock of three does not move the true time", "[usage]")
{
    ThreeClocks clocks;
    CHECK_FALSE(clocks.clock.unixMs(clocks.now));
    clocks.run(Duration(2000));
    clocks.own = GENERATE(-2000, 2000);
    clocks.run(Duration(10'000));
    CHECK(clocks.error() == 0);
    CHECK(clocks.clock.ownError() == Duration(clocks.own));
    clocks.own = 0;
    clocks.first = GENERATE(-2000, 2000);
    clocks.run(Duration(10'000));
    CHECK(clocks.error() == 0);
    // The steps that a correct clock sees of a peer.
    clocks.first = 0;
    clocks.run(Duration(10'000));
    CHECK(clocks.error() == 0);
}

// Guards against a window that begins twice because the median has moved back a little.
TEST_CASE("The true time follows the median and does not go back", "[usage]")
{
    ThreeClocks clocks;
    clocks.run(Duration(2000));
    clocks.own = -400;
    clocks.first = -400;
    clocks.run(Duration(1000));
    CHECK(clocks.error() < 0);
    CHECK(clocks.error() >= -50);
    clocks.run(Duration(9000));
    CHECK(clocks.error() == -400);
    // Two clocks that gain 20 ms a second are followed.
    for (int second = 0; second < 20; ++second) {
        clocks.own += 20;
        clocks.first += 20;
        clocks.run(Duration(1000));
    }
    CHECK(clocks.error() == 0);
}

// Guards against a clock that follows peers that are gone, and against values that break the arithmetic.
TEST_CASE("Silent peers expire, and no value of a peer breaks the clock", "[usage]")
{
    ThreeClocks clocks;
    clocks.mayStep = true;
    clocks.first = -1500;
    clocks.second = -1500;
    clocks.run(Duration(2000));
    CHECK(clocks.clock.clocks() == 3);
    CHECK(clocks.error() == -1500);
    clocks.run(FleetClock::PEER_LIFETIME + Duration(500), false);
    CHECK(clocks.clock.clocks() == 1);
    CHECK(clocks.error() == 0);
    for (std::uint64_t peer = 0; peer < 2 * FleetClock::MAX_PEERS; ++peer) {
        const std::int64_t extreme = peer % 2 == 0 ? std::numeric_limits<std::int64_t>::max() : std::numeric_limits<std::int64_t>::min();
        clocks.clock.recordPeer(peer, extreme, clocks.now);
    }
    CHECK(clocks.clock.clocks() == 1);
    for (std::uint64_t peer = 0; peer < 2 * FleetClock::MAX_PEERS; ++peer) {
        clocks.clock.recordPeer(peer, clocks.trueMs(), clocks.now);
    }
    CHECK(clocks.clock.clocks() == FleetClock::MAX_PEERS + 1);
}

// Guards against windows of different lengths around the start of 1970 and at their ends.
TEST_CASE("A window begins at its number times its length", "[usage]")
{
    const Duration length(5000);
    CHECK(usageWindowAt(353'445'120LL * 5000, length) == UsageWindow(353'445'120));
    CHECK(usageWindowAt(353'445'120LL * 5000 + 4999, length) == UsageWindow(353'445'120));
    CHECK(usageWindowAt(353'445'120LL * 5000 - 1, length) == UsageWindow(353'445'119));
    CHECK(usageWindowAt(-1, length) == UsageWindow(-1));
    CHECK(usageWindowAt(-5000, length) == UsageWindow(-1));
}
