#include "../../src/gateway/admission.h"
#include "../../src/gateway/engineorder.h"
#include "../../src/gateway/loopmonitor.h"

#include <catch2/catch.hpp>

#include <mimosatally/Core>
#include <mimosatally/Gateway>
#include <mimosatally/Http>
#include <mimosatally/Serving>

#include <fcntl.h>
#include <numeric>
#include <unistd.h>

using namespace mimosatally;
using namespace mimosatally::internal;

namespace
{
AdmissionInput input(double firstByteMs, double queueMs)
{
    AdmissionInput result;
    result.firstByteMs = firstByteMs;
    result.queueMs = queueMs;
    result.latencyTarget = Duration(250);
    result.remainingTime = Duration(2000);
    return result;
}
} // namespace

// Guards against unbounded queueing: when more prompts arrive for seconds than the engines can prefill, every call would be late.
TEST_CASE("A call that would be late behind a queue is refused at once with a retry delay", "[admission]")
{
    CHECK(Admission::decide(input(170, 120), 0).admitted);
    // Within the target of 250 ms, but too close to it for the uncertainty of a prediction behind a queue.
    CHECK_FALSE(Admission::decide(input(200, 150), 0).admitted);
    const AdmissionDecision refused = Admission::decide(input(600, 500), 0);
    CHECK_FALSE(refused.admitted);
    CHECK(refused.retryAfter >= Duration(100));
    CHECK(Admission::decide(input(600, 500), 0.9).retryAfter < refused.retryAfter);
}

// Guards against always refusing the largest prompts, which are slow on idle engines as well.
TEST_CASE("A call that is slow without a queue is admitted", "[admission]")
{
    CHECK(Admission::decide(input(600, 0), 0).admitted);
}

// Guards against refusing a prompt again and again for a short queue when its own prefill already takes most of the target: in one day of
// the bench, only 0.09 of the largest tenth of the prompts were served, against 0.49 of all.
TEST_CASE("A call whose own prefill exceeds the target is not refused for a short queue", "[admission]")
{
    CHECK(Admission::decide(input(600, 100), 0).admitted);
    CHECK_FALSE(Admission::decide(input(600, 130), 0).admitted);
}

TEST_CASE("A call that cannot be answered before its deadline is refused", "[admission]")
{
    CHECK_FALSE(Admission::decide(input(1900, 0), 0).admitted);
}

// Guards against a partial event that reaches the caller before its endpoint fails.
TEST_CASE("Only complete events are passed on", "[events]")
{
    EventFramer framer;
    framer.append("id: 1\ndata: a\n\nid: 2\nda");
    CHECK(framer.takeCompleteEvents() == "id: 1\ndata: a\n\n");
    CHECK(framer.takeCompleteEvents().empty());
    framer.append("ta: b\n");
    CHECK(framer.takeCompleteEvents().empty());
    framer.append("\n");
    CHECK(framer.takeCompleteEvents() == "id: 2\ndata: b\n\n");
    CHECK(framer.lastEventId() == "2");
}

// Guards against a resumed stream that repeats or skips events.
TEST_CASE("A partial event is dropped before a stream is resumed", "[events]")
{
    EventFramer framer;
    framer.append("id: 41\ndata: x\n\nid: 42\nda");
    framer.takeCompleteEvents();
    framer.resumeAfterCut();
    framer.append("id: 42\ndata: y\n\n");
    CHECK(framer.takeCompleteEvents() == "id: 42\ndata: y\n\n");
    CHECK(framer.lastEventId() == "42");
}

TEST_CASE("The route with the longest prefix is found by host and path", "[routes]")
{
    auto configuration = std::make_shared<ServingConfiguration>();
    Route outer;
    outer.id = RouteId("outer");
    outer.host = "a.example";
    outer.pathPrefix = "/x/";
    Route inner = outer;
    inner.id = RouteId("inner");
    inner.pathPrefix = "/x/y/";
    configuration->routes = {outer, inner};
    const RouteTable table(configuration);
    CHECK(table.find("A.example:80", "/x/y/z")->id == RouteId("inner"));
    CHECK(table.find("a.example", "/x/yz")->id == RouteId("outer"));
    CHECK(table.find("a.example", "/xy/") == nullptr);
    CHECK(table.find("b.example", "/x/") == nullptr);
}

// Guards against a process that blocks because its log is not read.
TEST_CASE("A log whose reader stalls drops lines, logs their number and never blocks", "[log]")
{
    int ends[2] = {};
    REQUIRE(pipe(ends) == 0);
    BoundedOutput output(ends[1]);
    const std::string line(1000, 'x');
    for (int i = 0; i < 2000; ++i) {
        output.write(line, Time(Duration(i)));
    }
    CHECK(output.droppedLines() > 0);
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::string buffer(65536, '\0');
    for (int i = 0; i < 100; ++i) {
        const ssize_t count = read(ends[0], buffer.data(), buffer.size());
        if (count > 0) {
            text.append(buffer, 0, static_cast<std::size_t>(count));
        }
        output.flush();
    }
    output.write("after the stall", Time(Duration(5000)));
    output.flush();
    const ssize_t count = read(ends[0], buffer.data(), buffer.size());
    REQUIRE(count > 0);
    text.append(buffer, 0, static_cast<std::size_t>(count));
    CHECK(text.find("log lines dropped: " + std::to_string(output.droppedLines())) != std::string::npos);
    CHECK(text.find("after the stall") != std::string::npos);
    close(ends[0]);
    close(ends[1]);
}

TEST_CASE("Gateway settings report all findings at once and ignore unknown keys", "[settings]")
{
    const GatewaySettings settings = parseGatewaySettings(R"(process = "g1"
data_centre = "a"
listen = "127.0.0.1:1"
readiness = "127.0.0.1:2"
store = "127.0.0.1:3"
grace_time = "8s"
something_new = 5
[[data_centres]]
id = "a"
region = "r"
)",
                                                          "g.toml");
    CHECK(settings.graceTime == Duration(8000));
    CHECK(settings.regions.at(DataCentreId("a")) == RegionId("r"));
    try {
        parseGatewaySettings("process = \"g1\"\nlisten = \"nowhere\"\n", "g.toml");
        FAIL("no findings");
    } catch (const FindingsError &error) {
        CHECK(error.findings().size() == 4);
    }
}

// Guards against a process that starts with an invalid address, or rejects a number that a platform writes with a fraction.
TEST_CASE("Gateway settings accept fractions and empty addresses, and report invalid addresses and shares", "[settings]")
{
    const std::string start = R"(process = "g1"
data_centre = "a"
listen = "127.0.0.1:1"
readiness = "127.0.0.1:2"
store = "127.0.0.1:3"
)";
    const GatewaySettings settings = parseGatewaySettings(start + R"(peer_listen = ""
metrics = ""
grace_time = "7.5s"
retry_slack = 57.5
retry_ratio = 1
)",
                                                          "g.toml");
    CHECK(settings.peerListen.empty());
    CHECK(settings.metrics.empty());
    CHECK(settings.graceTime == Duration(7500));
    CHECK(settings.retrySlack == 57);
    try {
        parseGatewaySettings(start + R"(peer_listen = "here"
metrics = "9464"
peers = ["127.0.0.1:4", "there"]
grace_time = "7.5"
prefill_share = 1.5
retry_ratio = 20
[[data_centres]]
id = "b"
region = "r"
[[data_centres]]
id = "b"
region = "r"
)",
                             "g.toml");
        FAIL("no findings");
    } catch (const FindingsError &error) {
        CHECK(error.findings().size() == 8);
        CHECK(error.findings().front().location.line == 6);
    }
}

TEST_CASE("A file with a store is recognised as settings of a gateway", "[settings]")
{
    CHECK(isGatewaySettings("process = \"g1\"\nstore = 5\n", "g.toml"));
    CHECK_FALSE(isGatewaySettings("process = \"e1\"\nlog_service = \"127.0.0.1:1\"\n", "e.toml"));
    CHECK_FALSE(isGatewaySettings("store = ", "g.toml"));
}

// Guards against retries that multiply the load of an overloaded service.
TEST_CASE("Retries of a key are bounded by its requests", "[retries]")
{
    RetryAllowance allowance;
    allowance.earnedPerRequest = 150;
    allowance.initial = 1000;
    allowance.maxBalance = 2000;
    KeyedRetryBudget<ServiceId> budget(allowance);
    const ServiceId service("s");
    CHECK(budget.tryRetry(service, Time()));
    CHECK_FALSE(budget.tryRetry(service, Time()));
    for (int i = 0; i < 100; ++i) {
        budget.recordRequest(service, Time());
    }
    CHECK(budget.tryRetry(service, Time()));
    CHECK(budget.tryRetry(service, Time()));
    CHECK_FALSE(budget.tryRetry(service, Time()));
}

// Guards against a burst of retries when a service rejects many calls after a long quiet time: without expiry, the retries saved in a
// quiet hour would all be sent at once.
TEST_CASE("Retries that are not used expire", "[retries]")
{
    RetryAllowance allowance;
    allowance.earnedPerRequest = 500;
    allowance.initial = 0;
    allowance.maxBalance = 1'000'000;
    allowance.lifetime = Duration(2000);
    KeyedRetryBudget<ServiceId> budget(allowance);
    const ServiceId service("s");
    const auto at = [](int milliseconds) {
        return Time(Duration(milliseconds));
    };
    for (int i = 0; i < 4; ++i) {
        budget.recordRequest(service, at(i));
    }
    CHECK_FALSE(budget.tryRetry(service, at(900), 3));
    CHECK(budget.tryRetry(service, at(1500)));
    CHECK_FALSE(budget.tryRetry(service, at(2100)));
}

// Guards against a call that fails on a gateway with little traffic because too few requests preceded it to earn a retry.
TEST_CASE("A service with few requests has one retry in a window", "[retries]")
{
    RetryAllowance allowance;
    allowance.earnedPerRequest = 150;
    allowance.initial = 0;
    allowance.lifetime = Duration(2500);
    allowance.slackInterval = Duration(10'000);
    KeyedRetryBudget<ServiceId> budget(allowance);
    const ServiceId service("s");
    const auto at = [](int milliseconds) {
        return Time(Duration(milliseconds));
    };
    budget.recordRequest(service, at(0));
    CHECK(budget.tryRetry(service, at(0)));
    CHECK_FALSE(budget.tryRetry(service, at(9999)));
    CHECK(budget.tryRetry(service, at(10'000)));
    // With many requests, only the retries that they earned count.
    for (int i = 0; i < 10; ++i) {
        budget.recordRequest(service, at(20'000));
    }
    CHECK(budget.tryRetry(service, at(20'000)));
    CHECK_FALSE(budget.tryRetry(service, at(20'000)));
}

// Guards against too many retries over all gateways, as in a sweep with 100 gateways that each had a fixed part of the shared slack. The
// sum over any number of gateways must stay within the ratio of the requests of a window.
TEST_CASE("Retries of many gateways stay within the ratio", "[retries]")
{
    constexpr int gateways = 100;
    constexpr int seconds = 40;
    constexpr int requestsPerSecond = 3;
    constexpr int window = 10;
    RetryAllowance allowance;
    allowance.earnedPerRequest = 150;
    allowance.initial = 0;
    allowance.maxBalance = 1'000'000;
    allowance.lifetime = Duration(2500);
    std::vector<KeyedRetryBudget<ServiceId>> budgets(gateways, KeyedRetryBudget<ServiceId>(allowance));
    const ServiceId service("s");
    std::vector<int> retries(seconds, 0);
    for (int second = 0; second < seconds; ++second) {
        for (auto &budget : budgets) {
            const Time now = Time(Duration(second * 1000));
            for (int i = 0; i < requestsPerSecond; ++i) {
                budget.recordRequest(service, now);
            }
            // No retries in the first window; after that, as many as are granted.
            while (second >= window && budget.tryRetry(service, now)) {
                ++retries[static_cast<std::size_t>(second)];
            }
        }
    }
    const int allowed = gateways * requestsPerSecond * window / 5;
    for (auto from = retries.begin(); retries.end() - from >= window; ++from) {
        CHECK(std::accumulate(from, from + window, 0) <= allowed);
    }
    CHECK(std::accumulate(retries.begin(), retries.end(), 0) > 0);
}

// Guards against generations whose prompt is already prefilled, and short prompts, that wait behind long prompts on decode engines that
// also prefill.
TEST_CASE("An engine admits calls with less prefill first, and among equals the more urgent route", "[engineorder]")
{
    CHECK(engineOrder(2, Tokens(0)) < engineOrder(0, Tokens(200)));
    CHECK(engineOrder(2, Tokens(200)) < engineOrder(0, Tokens(5000)));
    CHECK(engineOrder(0, Tokens(5000)) < engineOrder(1, Tokens(5000)));
    CHECK(engineOrder(0, Tokens(0)) == 0);
    CHECK(engineOrder(100, Tokens(100'000)) <= 9);
    CHECK(engineOrder(-1, Tokens(0)) == 0);
}

// Guards against a process whose calls were all late for a second without a log line that explains it.
TEST_CASE("A delay of the event loop is reported with the processor time used", "[loopmonitor]")
{
    LoopMonitor monitor(Duration(200));
    const auto at = [](int milliseconds) {
        return Time(Duration(milliseconds));
    };
    CHECK_FALSE(monitor.check(at(0), Duration(10)));
    CHECK_FALSE(monitor.check(at(250), Duration(15)));
    const auto loopDelay = monitor.check(at(1450), Duration(20));
    REQUIRE(loopDelay);
    CHECK(loopDelay->delay == Duration(1000));
    CHECK(loopDelay->processorTime == Duration(5));
    CHECK_FALSE(monitor.check(at(1650), Duration(25)));
}
