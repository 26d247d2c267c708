#include "takeupchecks.h"

#include <catch2/catch.hpp>

#include <array>
#include <future>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
/// \brief Pause between events of streams that gateways are killed under: long enough that all last longer than STREAM_AGE.
constexpr int SLOW_PAUSE_MS = 60;
/// \brief Age of the streams when gateways are killed.
constexpr auto STREAM_AGE = std::chrono::milliseconds(300);
constexpr int KILLED_STREAMS = 36;

/// \brief Opens streams at all gateways, kills these at once when the streams are some events old, calls \a beforeRestart and starts the gateways again; then
/// the streams are taken up.
std::vector<StreamOutcome> runKilled(GatewayGroup &group, const std::function<void()> &beforeRestart)
{
    std::promise<void> restarted;
    const std::shared_future<void> serves = restarted.get_future().share();
    std::thread killer([&] {
        std::this_thread::sleep_for(STREAM_AGE);
        group.killAll();
        beforeRestart();
        group.restartAll();
        restarted.set_value();
    });
    auto outcomes = runCallers(KILLED_STREAMS, KILLED_STREAMS, [&](int number) {
        ResumingCaller caller(idOf("s", number), fromTo(group, number, number + 1));
        return caller.pause(SLOW_PAUSE_MS)
            .beforeTakeUp([&](const StreamOutcome &) {
                serves.wait();
            })
            .run();
    });
    killer.join();
    return outcomes;
}

/// \brief Runs a stream that breaks after three events in one of several ways, and for some streams again after six.
StreamOutcome runBroken(const GatewayGroup &group, int number)
{
    constexpr std::array<StreamBreak, 5> breaks = {
        StreamBreak::EngineResets, StreamBreak::CallerConnection, StreamBreak::EngineResetsOnce, StreamBreak::CallerConnection, StreamBreak::EngineClosesOnce};
    ResumingCaller caller(idOf("s", number), [&group, number](int attempt) {
        return group.callerAddress(static_cast<std::size_t>(number + attempt) % group.size());
    });
    if (number % 2 == 0) {
        caller.breaksAgain(6);
    }
    return caller.breaks(breaks[static_cast<std::size_t>(number) % breaks.size()], 3).run();
}

ResumingCaller::Change resumes(const std::string &value)
{
    return [value](HttpRequest &request) {
        request.set("Resumes", value);
    };
}

ResumingCaller::Change afterEvent(const std::string &value)
{
    return [value](HttpRequest &request) {
        request.set("Last-Event-Id", value);
    };
}

/// \brief Number of calls to the store of each kind in two seconds, in which callers open streams that break in this way.
std::map<std::string, int> storeCallsBeside(StreamBreak how)
{
    GatewayFixture fixture;
    VersionedEngines engines(fixture);
    engines.configure();
    startPairs(engines, {"v1"});
    GatewayGroup group(fixture, GATEWAYS);
    group.awaitPeers();
    const auto callsSoFar = [&fixture] {
        return fixture.onStandins([&fixture] {
            return fixture.store().callsByKind();
        });
    };
    const std::map<std::string, int> before = callsSoFar();
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    const StreamTotals totals = totalsOf(runCallers(60, 1, [&](int number) {
        return ResumingCaller(idOf("s", number), fromTo(group, number, number + 1)).breaks(how, 3).run();
    }));
    CHECK(totals.takenUp == (how == StreamBreak::None ? 0 : totals.streams));
    std::this_thread::sleep_until(end);
    std::map<std::string, int> calls = callsSoFar();
    for (auto &[kind, count] : calls) {
        const auto earlier = before.find(kind);
        count -= earlier == before.end() ? 0 : earlier->second;
    }
    return calls;
}
} // namespace

// Guards against take-ups that are refused although all engines are of one version, so that no stream can be joined wrongly.
TEST_CASE("With one version everywhere a broken stream goes on at the same and at another gateway", "[gateway][takeup]")
{
    const int distance = GENERATE(0, 1);
    const bool namesFirst = GENERATE(true, false);
    GatewayFixture fixture;
    VersionedEngines engines(fixture);
    engines.configure();
    startPairs(engines, {"v1"});
    GatewayGroup group(fixture, 2);
    group.awaitPeers();
    const StreamTotals totals = totalsOf(runCallers(30, 2, [&](int number) {
        ResumingCaller caller(idOf("s", number), fromTo(group, number, number + distance));
        caller.breaks(number % 3 == 0 ? StreamBreak::EngineResets : StreamBreak::CallerConnection, 3);
        if (!namesFirst) {
            caller.changeTakeUp([](HttpRequest &request) {
                request.erase("Resumes");
            });
        }
        return caller.run();
    }));
    CAPTURE(distance, namesFirst);
    checkVersions(totals);
    checkShareThatWentOn(totals, ALL);
}

// Guards against take-ups that are refused after a restart of all gateways, which then know no stream, although all engines are of one version.
TEST_CASE("With one version everywhere streams go on after all gateways were killed at once", "[gateway][takeup]")
{
    GatewayFixture fixture;
    VersionedEngines engines(fixture);
    engines.configure();
    startPairs(engines, {"v1"});
    GatewayGroup group(fixture, GATEWAYS);
    group.awaitPeers();
    const StreamTotals totals = totalsOf(runKilled(group, [] {}));
    checkVersions(totals);
    checkShareThatWentOn(totals, NEARLY_ALL);
}

// Guards against a stream that is joined from events of several versions when its engine or its caller's connection breaks, within one answer or over
// several attempts at other gateways.
TEST_CASE("With several versions a broken stream goes on at other gateways at its version", "[gateway][takeup]")
{
    const auto versions = GENERATE(std::vector<std::string> {"v1", "v2"}, std::vector<std::string> {"v1", "v2", "v3"});
    GatewayFixture fixture;
    VersionedEngines engines(fixture);
    engines.configure();
    startPairs(engines, versions);
    GatewayGroup group(fixture, GATEWAYS);
    group.awaitPeers();
    const StreamTotals totals = totalsOf(runCallers(240, CONCURRENCY, [&](int number) {
        return runBroken(group, number);
    }));
    checkVersions(totals);
    checkShareThatWentOn(totals, NEARLY_ALL);
}

// Guards against engines of unknown version that are taken for engines of one version, or of any.
TEST_CASE("An engine whose entry names no version continues no stream of another version", "[gateway][takeup]")
{
    GatewayFixture fixture;
    VersionedEngines engines(fixture);
    engines.configure();
    startPairs(engines, {"v1", ""});
    GatewayGroup group(fixture, GATEWAYS);
    group.awaitPeers();
    checkVersions(totalsOf(runCallers(120, CONCURRENCY, [&](int number) {
        return runBroken(group, number);
    })));
}

// Guards against streams of two versions, and against streams that end for good, when the gateway that knows their version is killed.
TEST_CASE("With two versions streams of a killed gateway go on at other gateways at their versions", "[gateway][takeup]")
{
    GatewayFixture fixture;
    VersionedEngines engines(fixture);
    engines.configure();
    startPairs(engines, {"v1", "v2"});
    GatewayGroup group(fixture, GATEWAYS);
    group.awaitPeers();
    std::thread killer([&] {
        std::this_thread::sleep_for(STREAM_AGE);
        group.kill(0);
    });
    const StreamTotals totals = totalsOf(runCallers(KILLED_STREAMS, KILLED_STREAMS, [&](int number) {
        return ResumingCaller(idOf("s", number), fromTo(group, 0, 1 + number % 2)).pause(SLOW_PAUSE_MS).run();
    }));
    killer.join();
    checkVersions(totals);
    checkShareThatWentOn(totals, HALF);
}

// Guards against gateways that know no stream after a restart and take up a stream at an engine of whatever version serves.
TEST_CASE("With two versions no stream is joined wrongly after all gateways were killed at once", "[gateway][takeup]")
{
    const bool oldVersionLeaves = GENERATE(false, true);
    GatewayFixture fixture;
    VersionedEngines engines(fixture);
    engines.configure();
    startPairs(engines, {"v1", "v2"});
    GatewayGroup group(fixture, GATEWAYS);
    group.awaitPeers();
    const StreamTotals totals = totalsOf(runKilled(group, [&] {
        if (oldVersionLeaves) {
            engines.leave("i-v1-0");
            engines.leave("i-v1-1");
        }
    }));
    CAPTURE(oldVersionLeaves);
    checkVersions(totals);
    CHECK(totals.takenUp >= 12);
}

// Guards against a stream that goes on at another version, or whose caller waits, because no engine of its version is left.
TEST_CASE("A take-up is refused at once while no engine of its stream's version serves", "[gateway][takeup]")
{
    constexpr auto maxRefusalTime = std::chrono::milliseconds(300);
    constexpr auto noticeTime = std::chrono::milliseconds(500);
    // No page bounds the time until a new engine gets calls; gateways read entries each 900 ms.
    constexpr auto joinTime = std::chrono::milliseconds(1500);
    constexpr int streams = 16;
    GatewayFixture fixture;
    VersionedEngines engines(fixture);
    engines.configure();
    startPairs(engines, {"v1", "v2"});
    GatewayGroup group(fixture, 2);
    group.awaitPeers();
    std::vector<std::unique_ptr<ResumingCaller>> callers;
    for (int number = 0; number < streams; ++number) {
        auto caller = std::make_unique<ResumingCaller>(idOf("s", number), fromTo(group, number, number + 1));
        caller->breaks(StreamBreak::CallerConnection, 3).maxTakeUps(0);
        if (caller->run().versions.contains("v1")) {
            callers.push_back(std::move(caller));
        }
    }
    REQUIRE(!callers.empty());
    engines.leave("i-v1-0");
    engines.leave("i-v1-1");
    std::this_thread::sleep_for(noticeTime);
    for (const auto &caller : callers) {
        const StreamOutcome outcome = caller->takeUp();
        CHECK(outcome.attempts.back().status == 503);
        CHECK(outcome.attempts.back().duration < maxRefusalTime);
        CHECK_FALSE(outcome.hasTwoVersions());
    }
    engines.start("i-v1-2", "v1");
    engines.start("i-v1-3", "v1");
    std::this_thread::sleep_for(joinTime);
    StreamTotals totals;
    for (const auto &caller : callers) {
        totals.add(caller->takeUp());
    }
    checkVersions(totals);
    CHECK(totals.wentOn == totals.takenUp);
}

// Guards against a gateway that takes what a caller claims of its stream for true, and against one that stops serving over such claims.
TEST_CASE("A take-up that names no stream, or one that is not its own, is never joined wrongly", "[gateway][takeup]")
{
    const std::vector<std::pair<std::string, ResumingCaller::Change>> claims = {
        {"unknown", resumes("unknown")},
        {"empty", resumes("")},
        {"longer than an id", resumes(std::string(200, 'r'))},
        {"as long as a head", resumes(std::string(10'000, 'r'))},
        {"own id",
         [](HttpRequest &request) {
             request.set("Resumes", requestIdOf(request));
         }},
        {"absent",
         [](HttpRequest &request) {
             request.erase("Resumes");
         }},
        {"twice",
         [](HttpRequest &request) {
             request.insert("Resumes", "unknown");
         }},
        {"same twice",
         [](HttpRequest &request) {
             request.insert("Resumes", headerValue(request, "Resumes"));
         }},
        {"stream of another service", resumes("foreign-0")},
        {"event beyond the last one", afterEvent("50")},
        {"no number", afterEvent("x")},
    };
    GatewayFixture fixture;
    VersionedEngines engines(fixture);
    engines.configure();
    startPairs(engines, {"v1", "v2"});
    engines.start("i-other", "v2", "other");
    GatewayGroup group(fixture, 2);
    group.awaitPeers();
    CHECK(ResumingCaller("foreign", fromTo(group, 0, 0)).path("/other/").run().complete);
    for (const auto &[name, claim] : claims) {
        constexpr int streams = 16;
        const StreamTotals totals = totalsOf(runCallers(streams, 4, [&](int number) {
            ResumingCaller caller(idOf(name.substr(0, 2) + std::to_string(name.size()) + "-", number), fromTo(group, number, number / 2));
            return caller.breaks(StreamBreak::CallerConnection, 3).maxTakeUps(1).changeTakeUp(claim).run();
        }));
        WARN(name << ": " << totals.text());
        CAPTURE(name);
        CHECK(totals.twoVersions == 0);
        CHECK(totals.began == streams);
        CHECK(totals.takenUp == streams);
    }
    for (int i = 0; i < 10; ++i) {
        CHECK(ResumingCaller(idOf("after", i), fromTo(group, i, i)).run().complete);
    }
}

// Guards against a take-up whose version is not looked up because the attempt that began the stream has not ended yet.
TEST_CASE("A take-up while the first attempt still runs is never joined wrongly", "[gateway][takeup]")
{
    GatewayFixture fixture;
    VersionedEngines engines(fixture);
    engines.configure();
    startPairs(engines, {"v1", "v2"});
    GatewayGroup group(fixture, 2);
    group.awaitPeers();
    const StreamTotals totals = totalsOf(runCallers(24, CONCURRENCY, [&](int number) {
        ResumingCaller caller(idOf("s", number), fromTo(group, number, number / 2));
        return caller.pause(SLOW_PAUSE_MS).breaks(StreamBreak::CallerConnection, 3).keepFirstOpen().run();
    }));
    checkVersions(totals);
    checkShareThatWentOn(totals, HALF);
}

// Guards against calls to the store that the knowledge of streams costs although all engines are of one version.
TEST_CASE("With one version everywhere take-ups cost no further calls to the store", "[gateway][takeup]")
{
    const std::map<std::string, int> without = storeCallsBeside(StreamBreak::None);
    const std::map<std::string, int> with = storeCallsBeside(StreamBreak::CallerConnection);
    for (const auto &[kind, calls] : with) {
        CAPTURE(kind, calls);
        REQUIRE(without.contains(kind));
        // The last call of each gateway may fall within or after the time.
        CHECK(std::abs(calls - without.at(kind)) <= GATEWAYS);
    }
}
