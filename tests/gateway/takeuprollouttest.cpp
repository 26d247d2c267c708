#include "takeupchecks.h"

#include <array>
#include <map>
#include <mutex>
#include <random>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
/// \brief Numbers of engines of each version that serve, as callers may know them.
class ServingCounts
{
public:
    void add(const std::string &version, int count)
    {
        const std::lock_guard lock(mutex_);
        counts_[version] += count;
    }

    [[nodiscard]] bool hasTwoOf(const std::string &version) const
    {
        const std::lock_guard lock(mutex_);
        const auto found = counts_.find(version);
        return found != counts_.end() && found->second >= 2;
    }

private:
    mutable std::mutex mutex_;
    std::map<std::string, int> counts_;
};

/// \brief Streams that break in ways and at gateways that a seed determines.
class RandomCallers
{
public:
    RandomCallers(const GatewayGroup &group, const ServingCounts &counts, std::uint64_t seed)
        : group_(group)
        , counts_(counts)
        , seed_(seed)
    {
    }

    /// \brief Runs \a count streams. \return all; isInScope() tells which of them count.
    std::vector<StreamOutcome> run(int count)
    {
        hadTwo_.assign(static_cast<std::size_t>(count), 1);
        return runCallers(count, CONCURRENCY, [this](int number) {
            return runOne(number);
        });
    }

    /// \brief Returns whether two engines of the stream's version served at each of its take-ups and after the last one.
    [[nodiscard]] bool isInScope(std::size_t number) const
    {
        return hadTwo_[number] != 0;
    }

private:
    StreamOutcome runOne(int number)
    {
        constexpr std::uint64_t streamsPerSeed = 10'000;
        std::mt19937_64 random(seed_ * streamsPerSeed + static_cast<std::uint64_t>(number));
        std::vector<std::size_t> gateways;
        constexpr int attempts = 4;
        for (int i = 0; i < attempts; ++i) {
            gateways.push_back(random() % group_.size());
        }
        constexpr std::array<StreamBreak, 6> breaks = {StreamBreak::None,
                                                       StreamBreak::CallerConnection,
                                                       StreamBreak::CallerConnection,
                                                       StreamBreak::CallerConnection,
                                                       StreamBreak::EngineResetsOnce,
                                                       StreamBreak::EngineResets};
        char &hadTwo = hadTwo_[static_cast<std::size_t>(number)];
        const auto note = [&](const StreamOutcome &outcome) {
            hadTwo = hadTwo != 0 && counts_.hasTwoOf(outcome.firstVersion) ? 1 : 0;
        };
        ResumingCaller caller(idOf("s", number), [&](int attempt) {
            return group_.callerAddress(gateways[static_cast<std::size_t>(attempt)]);
        });
        const StreamBreak how = breaks[random() % breaks.size()];
        const int afterEvents = 1 + static_cast<int>(random() % (STREAM_EVENTS - 1));
        constexpr int pauseMs = 10;
        StreamOutcome outcome = caller.pause(pauseMs).breaks(how, afterEvents).beforeTakeUp(note).run();
        note(outcome);
        return outcome;
    }

    const GatewayGroup &group_;
    const ServingCounts &counts_;
    std::uint64_t seed_;
    /// \brief For each stream, not 0 if two engines of its version served; each is written by one thread.
    std::vector<char> hadTwo_;
};

/// \brief Totals whose new streams are all, and whose take-ups are those in scope.
StreamTotals totalsInScope(const std::vector<StreamOutcome> &outcomes, const RandomCallers &callers)
{
    StreamTotals totals = totalsOf(outcomes);
    totals.takenUp = 0;
    totals.wentOn = 0;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        if (callers.isInScope(i) && outcomes[i].takenUp) {
            ++totals.takenUp;
            totals.wentOn += outcomes[i].wentOn ? 1 : 0;
        }
    }
    return totals;
}

constexpr int ENGINES = 6;
constexpr auto STEP = std::chrono::milliseconds(300);

std::string engineId(int number)
{
    return "i-" + std::to_string(number);
}
} // namespace

// Guards against streams of two versions, and against streams that end for good, while a version replaces another one engine by engine and half goes back.
TEST_CASE("Streams go on at their versions throughout a rollout and half its way back", "[gateway][takeup]")
{
    constexpr std::uint64_t seed = 1;
    constexpr int streams = 420;
    GatewayFixture fixture;
    VersionedEngines engines(fixture);
    ServingCounts counts;
    engines.configure();
    for (int i = 0; i < ENGINES; ++i) {
        engines.start(engineId(i), "v1");
        counts.add("v1", 1);
    }
    GatewayGroup group(fixture, GATEWAYS);
    group.awaitPeers();
    std::thread operators([&] {
        const auto replace = [&](int number, const std::string &from, const std::string &to) {
            std::this_thread::sleep_for(STEP);
            engines.start(engineId(number + ENGINES), to);
            counts.add(to, 1);
            counts.add(from, -1);
            engines.leave(engineId(number), std::chrono::milliseconds(50));
        };
        for (int i = 0; i < ENGINES; ++i) {
            replace(i, "v1", "v2");
        }
        for (int i = 0; i < ENGINES / 2; ++i) {
            replace(i + ENGINES, "v2", "v1");
        }
    });
    RandomCallers callers(group, counts, seed);
    const auto outcomes = callers.run(streams);
    operators.join();
    CAPTURE(seed);
    const StreamTotals totals = totalsInScope(outcomes, callers);
    checkVersions(totals);
    checkShareThatWentOn(totals, HALF);
}

namespace
{
/// \brief Engines start again with another version, and their entries tell of it late. \param inPlace each keeps its id and address; else its id only.
void checkRestartsWithLateEntries(bool inPlace)
{
    constexpr auto lag = std::chrono::milliseconds(200);
    constexpr int streams = 300;
    GatewayFixture fixture;
    VersionedEngines engines(fixture);
    const ServingCounts counts;
    engines.configure();
    for (int i = 0; i < ENGINES; ++i) {
        engines.start(engineId(i), "v1");
    }
    GatewayGroup group(fixture, GATEWAYS);
    group.awaitPeers();
    std::thread operators([&] {
        for (int i = 0; i < ENGINES - 2; ++i) {
            std::this_thread::sleep_for(lag);
            if (inPlace) {
                engines.removeEntry(engineId(i));
                std::this_thread::sleep_for(lag);
                engines.replaceInPlace(engineId(i), "v2");
            } else {
                engines.vanish(engineId(i));
                engines.startWithoutEntry(engineId(i), "v2");
            }
            std::this_thread::sleep_for(lag);
            engines.announce(engineId(i));
        }
    });
    const auto outcomes = RandomCallers(group, counts, 2).run(streams);
    operators.join();
    CAPTURE(inPlace);
    checkVersions(totalsOf(outcomes));
}

/// \brief A rollout while one of the gateways is cut off from the store. \param inPlace engines keep their ids and addresses, so a gateway that is cut off can
/// learn of their versions only from others, or not at all.
void checkRolloutBehindCut(bool inPlace)
{
    constexpr auto contactTime = std::chrono::milliseconds(4000);
    constexpr int streams = 300;
    GatewayFixture fixture;
    VersionedEngines engines(fixture);
    const ServingCounts counts;
    engines.configure();
    for (int i = 0; i < ENGINES; ++i) {
        engines.start(engineId(i), "v1");
    }
    StoreStandin &storeOfLast = fixture.addStore();
    engines.writeAlsoTo(storeOfLast);
    GatewayGroup group(fixture, GATEWAYS, storeOfLast.address());
    group.awaitPeers();
    engines.cutOff(storeOfLast);
    std::this_thread::sleep_for(inPlace ? contactTime : STEP);
    std::thread operators([&] {
        for (int i = 0; i < ENGINES - 2; ++i) {
            std::this_thread::sleep_for(STEP);
            if (inPlace) {
                engines.removeEntry(engineId(i));
                std::this_thread::sleep_for(STEP);
                engines.replaceInPlace(engineId(i), "v2");
                engines.announce(engineId(i));
            } else {
                engines.start(engineId(i + ENGINES), "v2");
                engines.leave(engineId(i), STEP);
            }
        }
    });
    const auto outcomes = RandomCallers(group, counts, 3).run(streams);
    operators.join();
    CAPTURE(inPlace);
    checkVersions(totalsOf(outcomes));
}
} // namespace

// Guards against a take-up at an engine that has started again under the same id with another version, while the entry still tells of the old one.
TEST_CASE("An engine whose entry lags behind a restart with another version continues no stream of the old one", "[gateway][takeup]")
{
    checkRestartsWithLateEntries(false);
}

// Guards against the same where the engine also keeps its address, so that nothing but its next heartbeat tells of the restart.
TEST_CASE("An engine whose entry lags behind a restart in place with another version continues no stream of the old one", "[gateway][takeup]")
{
    checkRestartsWithLateEntries(true);
}

// Guards against a gateway that is cut off from the store and goes on joining streams by what it last read there.
TEST_CASE("A gateway that is cut off from the store joins no stream wrongly during a rollout", "[gateway][takeup]")
{
    checkRolloutBehindCut(false);
}

// Guards against the same where the engines keep their ids and addresses.
TEST_CASE("A gateway that is cut off from the store joins no stream wrongly during a rollout in place", "[gateway][takeup]")
{
    checkRolloutBehindCut(true);
}
