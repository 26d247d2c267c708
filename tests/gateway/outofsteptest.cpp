#include "takeupchecks.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <random>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

// Roles of the gateways of one case.
constexpr std::size_t OWNER = 0;
/// \brief Begins streams like OWNER and is killed before some of them are taken up.
constexpr std::size_t KILLED_OWNER = 1;
constexpr std::size_t IN_TOUCH = 2;
constexpr std::size_t OUT_OF_STEP = 3;

/// \brief What puts a gateway out of step.
enum class Fault {
    /// \brief It stands still; datagrams wait in its socket.
    Frozen,
    /// \brief It stands still and the datagrams to it are lost, as a full socket buffer loses them.
    FrozenAndDeaf,
    CutFromPeers,
    CutFromStore,
    CutFromBoth,
    /// \brief It hears other gateways, which do not hear it, and does not reach the store.
    OneWay,
};

constexpr std::array FAULTS = {Fault::Frozen, Fault::FrozenAndDeaf, Fault::CutFromPeers, Fault::CutFromStore, Fault::CutFromBoth, Fault::OneWay};
constexpr std::array DURATIONS_MS = {300, 1000, 2000, 2900, 3100, 6000};

/// \brief When the new version joins, relative to the time out of step.
enum class Join {
    Before,
    Within,
    AtTheEnd,
};

constexpr std::array JOINS = {Join::Before, Join::Within, Join::AtTheEnd};

/// \brief One cell of the matrix. Streams of owners that live and that are killed, and take-ups during, right after and a second after the time out of step
/// are all part of it.
struct OutOfStepCase {
    Fault fault = Fault::Frozen;
    Milliseconds duration {};
    Join join = Join::Before;
    /// \brief The version that joins has served before and was replaced.
    bool goesBack = false;

    [[nodiscard]] std::string text() const
    {
        constexpr std::array faults = {"frozen", "frozen and deaf", "cut from peers", "cut from store", "cut from both", "one way"};
        constexpr std::array joins = {"before", "within", "at the end"};
        return std::string(faults[static_cast<std::size_t>(fault)]) + ", " + std::to_string(duration.count()) + " ms, joins "
               + joins[static_cast<std::size_t>(join)] + (goesBack ? ", goes back" : ", first release");
    }
};

/// \brief What the streams of one or several cases came to.
struct CaseTotals {
    /// \brief All streams; of the take-ups only the number of all counts.
    StreamTotals all;
    StreamTotals outOfStep;
    StreamTotals inTouch;
    int storeCalls = 0;

    void add(const CaseTotals &other)
    {
        addTo(all, other.all);
        addTo(outOfStep, other.outOfStep);
        addTo(inTouch, other.inTouch);
        storeCalls += other.storeCalls;
    }

    [[nodiscard]] std::string text() const
    {
        return all.text() + "; out of step: " + std::to_string(outOfStep.wentOn) + " of " + std::to_string(outOfStep.takenUp) + " went on; in touch: "
               + std::to_string(inTouch.wentOn) + " of " + std::to_string(inTouch.takenUp) + " went on; " + std::to_string(storeCalls) + " calls to the store";
    }

private:
    static void addTo(StreamTotals &sum, const StreamTotals &part)
    {
        sum.streams += part.streams;
        sum.began += part.began;
        sum.takenUp += part.takenUp;
        sum.wentOn += part.wentOn;
        sum.twoVersions += part.twoVersions;
        sum.notContiguous += part.notContiguous;
    }
};

/// \brief Plays one case: an old version serves, a gateway gets out of step, and a new version joins.
class OutOfStepPlay
{
public:
    OutOfStepPlay(const OutOfStepCase &testCase, std::uint64_t seed)
        : case_(testCase)
        , seed_(seed)
        , oldVersion_(testCase.goesBack ? "v2" : "v1")
        , newVersion_(testCase.goesBack ? "v1" : "v2")
        , engines_(fixture_)
        , storeOfLast_(fixture_.addStore())
    {
        engines_.configure();
        if (testCase.goesBack) {
            engines_.start("i-replaced", newVersion_);
            engines_.leave("i-replaced");
        }
        startPairs(engines_, {oldVersion_});
        engines_.writeAlsoTo(storeOfLast_);
    }

    CaseTotals run()
    {
        GatewayGroup group(fixture_, GATEWAYS_OF_CASE, storeOfLast_.address(), GatewayGroup::Links::Relayed);
        group.awaitPeers();
        warmUp(group);
        const int callsBefore = storeCalls();
        const auto joinOffset = case_.join == Join::Before ? -MARGIN : case_.join == Join::Within ? case_.duration / 2 : case_.duration - MARGIN / 2;
        begin_ = Clock::now() + MARGIN * 2;
        end_ = begin_ + case_.duration;
        join_ = begin_ + joinOffset;
        kill_ = std::max(end_ - MARGIN / 2, join_ + READ_TIME);
        std::thread operators([&] {
            operate(group);
        });
        std::vector<char> isInTouch(STREAMS);
        const auto outcomes = runCallers(STREAMS, STREAMS, [&](int number) {
            return runStream(group, number, isInTouch[static_cast<std::size_t>(number)]);
        });
        operators.join();
        CaseTotals totals;
        for (std::size_t i = 0; i < outcomes.size(); ++i) {
            totals.all.add(outcomes[i]);
            (isInTouch[i] != 0 ? totals.inTouch : totals.outOfStep).add(outcomes[i]);
        }
        totals.storeCalls = storeCalls() - callsBefore;
        return totals;
    }

private:
    static constexpr int GATEWAYS_OF_CASE = 4;
    static constexpr int STREAMS = 60;
    static constexpr Milliseconds MARGIN = Milliseconds(100);
    /// \brief Gateways read a new entry within 900 ms.
    static constexpr Milliseconds READ_TIME = Milliseconds(950);

    /// \brief Lets the gateway that will be out of step read the history of the endpoints, as one that has served for a while has done.
    void warmUp(const GatewayGroup &group)
    {
        for (int number = 0; number < 2; ++number) {
            ResumingCaller caller(idOf("warm", number), fromTo(group, OWNER, OUT_OF_STEP));
            caller.breaks(StreamBreak::CallerConnection, 3).changeTakeUp([](HttpRequest &request) {
                request.erase("Resumes");
            });
            caller.run();
        }
    }

    int storeCalls()
    {
        return fixture_.onStandins([this] {
            return fixture_.store().calls() + storeOfLast_.calls();
        });
    }

    /// \brief Carries out what happens to gateways and engines, in the order of time.
    void operate(GatewayGroup &group)
    {
        std::vector<std::pair<Clock::time_point, std::function<void()>>> steps;
        steps.emplace_back(begin_, [&] {
            setFault(group, true);
        });
        steps.emplace_back(end_, [&] {
            setFault(group, false);
        });
        steps.emplace_back(join_, [&] {
            startPairs(engines_, {newVersion_});
        });
        steps.emplace_back(kill_, [&] {
            group.kill(KILLED_OWNER);
        });
        std::ranges::stable_sort(steps, {}, [](const auto &step) {
            return step.first;
        });
        for (const auto &[time, step] : steps) {
            std::this_thread::sleep_until(time);
            step();
        }
    }

    void setFault(GatewayGroup &group, bool present)
    {
        const bool frozen = case_.fault == Fault::Frozen || case_.fault == Fault::FrozenAndDeaf;
        const bool deaf = case_.fault == Fault::FrozenAndDeaf || case_.fault == Fault::CutFromPeers || case_.fault == Fault::CutFromBoth;
        const bool mute = case_.fault == Fault::CutFromPeers || case_.fault == Fault::CutFromBoth || case_.fault == Fault::OneWay;
        const bool withoutStore = case_.fault == Fault::CutFromStore || case_.fault == Fault::CutFromBoth || case_.fault == Fault::OneWay;
        if (frozen) {
            group.gateway(OUT_OF_STEP).send(present ? SIGSTOP : SIGCONT);
        }
        group.relay().setDeaf(OUT_OF_STEP, present && deaf);
        group.relay().setMute(OUT_OF_STEP, present && mute);
        if (withoutStore && present) {
            engines_.cutOff(storeOfLast_);
        } else if (withoutStore) {
            engines_.reconnect(storeOfLast_);
        }
    }

    /// \brief Runs a stream of one of the owners, whose caller comes back at the gateway that is out of step or at one in touch.
    StreamOutcome runStream(const GatewayGroup &group, int number, char &isInTouch)
    {
        constexpr std::uint64_t streamsPerSeed = 10'000;
        std::mt19937_64 random(seed_ * streamsPerSeed + static_cast<std::uint64_t>(number));
        const auto owner = random() % 2 == 0 ? OWNER : KILLED_OWNER;
        isInTouch = random() % 3 == 0 ? 1 : 0;
        const auto later = isInTouch != 0 ? IN_TOUCH : OUT_OF_STEP;
        // The owners' streams start from the join on; those of the one that is killed start before.
        const auto lastStart = owner == KILLED_OWNER ? kill_ - MARGIN : std::max(end_, join_ + READ_TIME) + MARGIN;
        const auto span = std::chrono::duration_cast<Milliseconds>(lastStart - join_).count();
        std::this_thread::sleep_until(join_ + Milliseconds(random() % static_cast<std::uint64_t>(std::max<Milliseconds::rep>(span, 1))));
        const std::array<Clock::time_point, 3> takeUpTimes = {begin_, end_, end_ + Milliseconds(1000)};
        const Clock::time_point takeUp = takeUpTimes[random() % takeUpTimes.size()];
        ResumingCaller caller(idOf("s", number), [&group, owner, later](int attempt) {
            return group.callerAddress(attempt == 0 ? owner : later);
        });
        constexpr int pauseMs = 5;
        return caller.pause(pauseMs)
            .breaks(StreamBreak::CallerConnection, 3)
            .beforeTakeUp([takeUp](const StreamOutcome &) {
                std::this_thread::sleep_until(takeUp);
            })
            .run();
    }

    OutOfStepCase case_;
    std::uint64_t seed_;
    std::string oldVersion_;
    std::string newVersion_;
    GatewayFixture fixture_;
    VersionedEngines engines_;
    StoreStandin &storeOfLast_;
    Clock::time_point begin_;
    Clock::time_point end_;
    Clock::time_point join_;
    Clock::time_point kill_;
};

/// \brief Plays a case and checks that none of its streams holds events of two versions.
CaseTotals playCase(const OutOfStepCase &testCase, std::uint64_t seed)
{
    const CaseTotals totals = OutOfStepPlay(testCase, seed).run();
    WARN(testCase.text() << ": " << totals.text());
    CAPTURE(testCase.text(), seed);
    CHECK(totals.all.twoVersions == 0);
    CHECK(totals.all.notContiguous == 0);
    CHECK(totals.outOfStep.takenUp >= 12);
    return totals;
}

/// \brief Checks that of the streams taken up at gateways in touch nearly all went on, since their version served.
void checkInTouch(const CaseTotals &totals)
{
    constexpr int percentInTouch = 95;
    CHECK(totals.inTouch.wentOn * 100 >= percentInTouch * totals.inTouch.takenUp);
}

void playCases(const std::vector<OutOfStepCase> &cases, std::uint64_t seed)
{
    CaseTotals sum;
    for (const OutOfStepCase &testCase : cases) {
        sum.add(playCase(testCase, seed));
    }
    WARN("together: " << sum.text());
    checkInTouch(sum);
}

/// \brief Number in an environment variable, or \a fallback if it is not set.
std::uint64_t numberFromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::stoull(text);
}

std::vector<OutOfStepCase> allCases()
{
    std::vector<OutOfStepCase> cases;
    for (const Fault fault : FAULTS) {
        for (const int duration : DURATIONS_MS) {
            for (const Join join : JOINS) {
                cases.push_back({fault, Milliseconds(duration), join, false});
                cases.push_back({fault, Milliseconds(duration), join, true});
            }
        }
    }
    return cases;
}
} // namespace

// Guards against streams of two versions at a gateway that concludes from its old view of the store that there is only one.
TEST_CASE("A gateway that was cut off while a version joined continues no stream at another version", "[gateway][takeup][outofstep]")
{
    playCases({{Fault::CutFromBoth, Milliseconds(2000), Join::Before, false},
               {Fault::CutFromBoth, Milliseconds(2900), Join::Before, false},
               {Fault::CutFromStore, Milliseconds(1000), Join::Within, false},
               {Fault::CutFromPeers, Milliseconds(300), Join::Before, false},
               {Fault::OneWay, Milliseconds(2000), Join::Within, true}},
              1);
}

// Guards against the same where the gateway stood still and takes answers and datagrams that waited meanwhile for news.
TEST_CASE("A gateway that stood still while a version joined continues no stream at another version", "[gateway][takeup][outofstep]")
{
    playCases({{Fault::Frozen, Milliseconds(2000), Join::Within, false},
               {Fault::FrozenAndDeaf, Milliseconds(2000), Join::Before, false},
               {Fault::FrozenAndDeaf, Milliseconds(1000), Join::AtTheEnd, false}},
              1);
}

// Hidden; plays the whole matrix in an order that MATRIX_SEED determines, or the first MATRIX_CASES of it (docs/stream-versions.md).
TEST_CASE("Matrix of gateways out of step while a version joins", "[.matrix]")
{
    const std::uint64_t seed = numberFromEnvironment("MATRIX_SEED", 1);
    std::vector<OutOfStepCase> cases = allCases();
    std::ranges::shuffle(cases, std::mt19937_64(seed));
    cases.resize(std::min<std::size_t>(cases.size(), numberFromEnvironment("MATRIX_CASES", cases.size())));
    playCases(cases, seed);
}
