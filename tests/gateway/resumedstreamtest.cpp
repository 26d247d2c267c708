#include "takeupchecks.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
std::string event(int id)
{
    return versionedEvent("v1", id);
}

/// \brief Events from \a first to \a last, as a stream holds them.
std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id) {
        text += event(id);
    }
    return text;
}

int lastEventIdOf(const HttpRequest &request)
{
    return internal::numberIn(request, "Last-Event-Id");
}

/// \brief Puts a configuration in force whose resumable route `/resume/` lets a call run at several engines.
void configureResumableRoute(GatewayFixture &fixture, int maxAttempts)
{
    fixture.onStandins([&] {
        fixture.store().put("keyed.op",
                            "config",
                            R"({"version":1,"routes":[{"name":"resume","host":"h","pathPrefix":"/resume/","kind":"streaming","resumable":true,)"
                            R"("timeoutMs":5000,"targetLatencyMs":1000,"priority":1,"service":"plain","maxAttempts":)"
                                + std::to_string(maxAttempts) + R"(}],"services":[{"name":"plain","maxConns":50}],"limits":{}})");
    });
}

/// \brief Continues a stream of 6 events by two events and then breaks it, until the stream is at its end.
AnswerSteps twoEventsOf(const HttpRequest &request, const std::string &how)
{
    constexpr int lastOfStream = 6;
    const int first = lastEventIdOf(request) + 1;
    AnswerSteps steps = {bytes(streamHead(requestIdOf(request)) + chunk(event(first)) + chunk(event(first + 1)))};
    if (first + 1 == lastOfStream) {
        steps.push_back(bytes(lastChunk()));
        return steps;
    }
    if (how == "within an event") {
        steps.push_back(bytes(chunk(event(first + 2).substr(0, 9))));
    }
    steps.push_back(pauseFor(50));
    steps.push_back(how == "reset" ? resetting() : closing());
    return steps;
}

HttpRequest resumableRequest(const std::string &id, const std::string &lastEventId = {})
{
    HttpRequest request = GatewayFixture::request(http::verb::post, "/resume/x", id, 4000);
    if (!lastEventId.empty()) {
        request.set("Last-Event-Id", lastEventId);
        request.set("Resumes", "root");
    }
    request.keep_alive(false);
    return request;
}
} // namespace

// Guards against a second resumption within one answer that continues after the place of the first one, or ends the answer as complete before its last event.
TEST_CASE("A stream that breaks off twice within one answer holds each event once and ends complete", "[gateway][resume]")
{
    const auto how = GENERATE(as<std::string>(), "between events", "within an event", "reset");
    const bool takenUp = GENERATE(false, true);
    CAPTURE(how, takenUp);
    GatewayFixture fixture;
    std::vector<EndpointStandin *> engines;
    for (const char *id : {"i-1", "i-2", "i-3"}) {
        engines.push_back(&fixture.addEndpoint(id, "plain", [how](const HttpRequest &request) -> AnswerSteps {
            return twoEventsOf(request, how);
        }));
    }
    configureResumableRoute(fixture, 3);
    fixture.startGateway("retry_ratio = 1\n");
    fixture.awaitReady();
    // These calls break off nowhere and earn the retries of the call below.
    for (const char *id : {"earns-1", "earns-2", "earns-3", "earns-4"}) {
        CHECK(fixture.call(resumableRequest(id, "4")).body() == events(5, 6));
    }
    const HttpResponse response = fixture.call(resumableRequest("r1", takenUp ? "2" : ""));
    CHECK(response.result_int() == 200);
    CHECK(response.body() == events(takenUp ? 3 : 1, 6));
    std::size_t arrivals = 0;
    for (const EndpointStandin *engine : engines) {
        arrivals += engine->arrivals().size();
    }
    constexpr std::size_t earning = 4;
    CHECK(arrivals == earning + (takenUp ? 2 : 3));
}

// Guards against a take-up whose first engine fails before its first event and whose next engine begins the stream anew instead of after the caller's last
// event.
TEST_CASE("A take-up that breaks off before its first event goes on after its caller's last event", "[gateway][resume]")
{
    const auto how = GENERATE(as<std::string>(), "before the head", "after the head", "within the first event");
    CAPTURE(how);
    GatewayFixture fixture;
    std::atomic<int> arrived = 0;
    for (const char *id : {"i-1", "i-2"}) {
        fixture.addEndpoint(id, "plain", [&arrived, how](const HttpRequest &request) -> AnswerSteps {
            const std::string head = streamHead(requestIdOf(request));
            const int first = lastEventIdOf(request) + 1;
            if (++arrived > 1) {
                return {bytes(head + chunk(events(first, STREAM_EVENTS)) + lastChunk())};
            }
            if (how == "before the head") {
                return {pauseFor(50), resetting()};
            }
            return {bytes(how == "after the head" ? head : head + chunk(event(first).substr(0, 9))), pauseFor(50), closing()};
        });
    }
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    CHECK(fixture.call(resumableRequest("r1", "3")).body() == events(4, STREAM_EVENTS));
    CHECK(arrived == 2);
}

// Guards against a take-up that goes on elsewhere than after the event that its caller names, for instance after the last event that the gateway wrote: a
// caller may have received less than was written, and a gateway that did not write the stream knows nothing of its events.
TEST_CASE("A take-up goes on after the event that its caller names, not after the last one written", "[gateway][resume]")
{
    const int named = GENERATE(1, 2, 3, 5, 9);
    const bool atOtherGateway = GENERATE(false, true);
    CAPTURE(named, atOtherGateway);
    GatewayFixture fixture;
    VersionedEngines engines(fixture);
    engines.configure();
    startPairs(engines, {"v1", "v2"});
    GatewayGroup group(fixture, 2);
    group.awaitPeers();
    constexpr int written = 3;
    const auto first = [&] {
        return ResumingCaller("s", fromTo(group, 0, 0)).breaks(StreamBreak::CallerConnection, written).maxTakeUps(0).run();
    }();
    REQUIRE(first.lastEvent == written);
    HttpRequest request = resumableRequest("s-1", std::to_string(named));
    request.set("Resumes", "s-0");
    CallerConnection caller(group.callerAddress(atOtherGateway ? 1 : 0));
    caller.send(request);
    const HttpResponse response = caller.response();
    std::string expected;
    for (int id = named + 1; id <= STREAM_EVENTS; ++id) {
        expected += versionedEvent(first.firstVersion, id);
    }
    CHECK(response.result_int() == 200);
    CHECK(response.body() == expected);
}

// Guards against a take-up of a take-up that misses an event, holds one twice, goes on at another version or does not end: the caller's connection is lost
// twice, or first the engine breaks off and then the connection is lost.
TEST_CASE("A take-up that breaks off and is taken up again holds each event once and ends complete", "[gateway][resume]")
{
    const auto how = GENERATE(StreamBreak::CallerConnection, StreamBreak::EngineResets);
    constexpr int streams = 60;
    GatewayFixture fixture;
    VersionedEngines engines(fixture);
    engines.configure();
    startPairs(engines, {"v1", "v2"});
    GatewayGroup group(fixture, GATEWAYS);
    group.awaitPeers();
    const std::vector<StreamOutcome> outcomes = runCallers(streams, 4, [&](int number) {
        ResumingCaller caller(idOf("s", number), [&group, number](int attempt) {
            return group.callerAddress(static_cast<std::size_t>(number + attempt) % group.size());
        });
        return caller.breaks(how, 3).breaksAgain(6).run();
    });
    int twice = 0;
    int complete = 0;
    for (const StreamOutcome &outcome : outcomes) {
        twice += outcome.attempts.size() > 2 && outcome.attempts[1].events > 0 ? 1 : 0;
        complete += outcome.complete ? 1 : 0;
        CHECK((!outcome.complete || outcome.lastEvent == STREAM_EVENTS));
    }
    checkVersions(totalsOf(outcomes));
    CHECK(twice * 100 >= NEARLY_ALL * streams);
    CHECK(complete * 100 >= NEARLY_ALL * streams);
}

// Guards against a take-up that names the second attempt, which brought no first event, and is joined to whatever version serves: the attempt went on with a
// stream of another request, or was refused.
TEST_CASE("A take-up that names the second attempt instead of the first is never joined wrongly", "[gateway][resume]")
{
    const bool secondIsRefused = GENERATE(false, true);
    CAPTURE(secondIsRefused);
    constexpr int streams = 48;
    GatewayFixture fixture;
    VersionedEngines engines(fixture);
    engines.configure();
    startPairs(engines, {"v1", "v2"});
    GatewayGroup group(fixture, 2);
    group.awaitPeers();
    const std::vector<StreamOutcome> outcomes = runCallers(streams, 4, [&](int number) {
        ResumingCaller caller(idOf("s", number), [&group, number](int attempt) {
            return group.callerAddress(static_cast<std::size_t>(number + attempt / 2) % group.size());
        });
        caller.breaks(StreamBreak::CallerConnection, 3).breaksAgain(6).maxTakeUps(2);
        return caller
            .changeTakeUp([secondIsRefused, number](HttpRequest &request) {
                const std::string second = idOf("s", number) + "-1";
                if (requestIdOf(request) != second) {
                    request.set("Resumes", second);
                } else if (secondIsRefused) {
                    request.set("Resumes", "unknown");
                }
            })
            .run();
    });
    const StreamTotals totals = totalsOf(outcomes);
    checkVersions(totals);
    CHECK(totals.began == streams);
    CHECK(totals.takenUp == streams);
    CHECK(std::ranges::all_of(outcomes, [](const StreamOutcome &outcome) {
        return !outcome.complete || outcome.lastEvent == STREAM_EVENTS;
    }));
}
