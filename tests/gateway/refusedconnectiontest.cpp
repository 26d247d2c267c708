#include "takeupchecks.h"

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
constexpr int ENGINES = 7;
constexpr int SURVIVORS = 2;

std::string engineId(int number)
{
    return "i-" + std::to_string(number);
}

void startEngines(VersionedEngines &engines)
{
    engines.configure();
    for (int i = 0; i < ENGINES; ++i) {
        engines.start(engineId(i), "v1");
    }
    engines.start("i-other-0", "v2");
    engines.start("i-other-1", "v2");
}

/// \brief Ends all engines of the first version but the last ones; their entries stay.
void crashMost(VersionedEngines &engines)
{
    for (int i = 0; i < ENGINES - SURVIVORS; ++i) {
        engines.vanish(engineId(i));
    }
}
} // namespace

// Guards against take-ups that are refused although engines of their version serve: each refused connection used up one of a call's few attempts.
TEST_CASE("Streams whose engines crashed go on at the remaining engines of their version", "[gateway][refused]")
{
    constexpr int streams = 40;
    GatewayFixture fixture;
    VersionedEngines engines(fixture);
    startEngines(engines);
    GatewayGroup group(fixture, 2);
    group.awaitPeers();
    std::vector<std::unique_ptr<ResumingCaller>> callers;
    for (int number = 0; number < streams; ++number) {
        auto caller = std::make_unique<ResumingCaller>(idOf("s", number), fromTo(group, number, number));
        caller->breaks(StreamBreak::CallerConnection, 3).maxTakeUps(0);
        if (caller->run().firstVersion == "v1") {
            callers.push_back(std::move(caller));
        }
    }
    REQUIRE(callers.size() >= 12);
    crashMost(engines);
    StreamTotals totals;
    for (const auto &caller : callers) {
        totals.add(caller->takeUp());
    }
    checkVersions(totals);
    CHECK(totals.wentOn == totals.takenUp);
}

// Guards against take-ups that are refused for good in the seconds in which no engine of their version can run calls, although one comes back: a caller
// repeats a refused take-up seldom.
TEST_CASE("A take-up waits for an engine of its version that starts again after a crash", "[gateway][refused]")
{
    constexpr auto downTime = std::chrono::milliseconds(1000);
    constexpr int streams = 24;
    GatewayFixture fixture;
    VersionedEngines engines(fixture);
    engines.configure();
    startPairs(engines, {"v1", "v2"});
    GatewayGroup group(fixture, 2);
    group.awaitPeers();
    std::vector<std::unique_ptr<ResumingCaller>> callers;
    for (int number = 0; number < streams; ++number) {
        auto caller = std::make_unique<ResumingCaller>(idOf("s", number), fromTo(group, number, number));
        caller->breaks(StreamBreak::CallerConnection, 3).maxTakeUps(0);
        if (caller->run().firstVersion == "v1") {
            callers.push_back(std::move(caller));
        }
    }
    REQUIRE(!callers.empty());
    engines.vanish("i-v1-0");
    engines.vanish("i-v1-1");
    std::thread operators([&] {
        std::this_thread::sleep_for(downTime);
        engines.start("i-v1-2", "v1");
    });
    const auto outcomes = runCallers(static_cast<int>(callers.size()), CONCURRENCY, [&](int number) {
        return callers[static_cast<std::size_t>(number)]->takeUp();
    });
    operators.join();
    const StreamTotals totals = totalsOf(outcomes);
    checkVersions(totals);
    CHECK(totals.wentOn == totals.takenUp);
}

// Guards against a retry budget that is charged for a connection that was refused, which no endpoint has seen as an arrival.
TEST_CASE("A call goes on after a refused connection without a retry budget", "[gateway][refused]")
{
    GatewayFixture fixture;
    const auto answer = [](const HttpRequest &request) -> AnswerSteps {
        return {bytes(wholeAnswer(requestIdOf(request), "good"))};
    };
    std::vector<EndpointStandin *> endpoints;
    for (const std::string id : {"i-1", "i-2", "i-3"}) {
        endpoints.push_back(&fixture.addEndpoint(id, "plain", answer));
    }
    fixture.configure();
    fixture.startGateway("retry_ratio = 0.0\nretry_slack = 0\n");
    fixture.awaitReady();
    fixture.onStandins([&] {
        endpoints[0]->crash();
        endpoints[1]->crash();
    });
    for (int i = 0; i < 10; ++i) {
        CHECK(fixture.call(GatewayFixture::request(http::verb::get, "/safe/x", idOf("r", i))).result_int() == 200);
    }
    CHECK(endpoints[2]->arrivals().size() == 10);
}
