#include "gatewayfixture.h"

#include <catch2/catch.hpp>

#include <map>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
/// \brief The platform's bound on work at an endpoint after its request was given up.
constexpr Duration CANCEL_TIME = Duration(400);
constexpr int WARM_UP_CALLS = 120;

/// \brief Two endpoints on different machines whose answers depend on how often the request has arrived; and a gateway that knows their usual times.
class HedgedService
{
public:
    /// \brief Returns an endpoint's answer to the arrival number \a arrival, from 1, of a request.
    using Behaviour = std::function<AnswerSteps(const std::string &requestId, int arrival)>;

    explicit HedgedService(Behaviour behaviour, const std::string &settings = "extra_attempt_limit = 0.2\n")
        : behaviour_(std::move(behaviour))
    {
        for (const auto &[id, host] : std::map<std::string, std::string> {{"i-1", "127.0.0.1"}, {"i-2", "127.0.0.2"}}) {
            const auto answer = [this](const HttpRequest &request) {
                return answerTo(request);
            };
            endpoints_.push_back(&fixture.addEndpoint(id, "plain", EndpointStandin::Script(answer), {}, "v1", host));
        }
        configure(1, "key-one");
        fixture.startGateway(settings);
        fixture.awaitReady();
        for (int i = 0; i < WARM_UP_CALLS; ++i) {
            REQUIRE(fixture.call(request("/safe/x", "warm-" + std::to_string(i))).result_int() == 200);
        }
    }

    void configure(int version, const std::string &key)
    {
        const auto route = [](const std::string &name, const std::string &kind) {
            return R"({"name":")" + name + R"(","host":"h","pathPrefix":"/)" + name + R"(/","kind":")" + kind
                   + R"(","timeoutMs":10000,"targetLatencyMs":1000,"priority":1,"service":"plain","maxAttempts":2})";
        };
        fixture.onStandins([&] {
            fixture.store().put("keyed.op",
                                "config",
                                R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route("safe", "safe") + "," + route("post", "unsafe")
                                    + R"(],"services":[{"name":"plain","maxConns":50}],"limits":{},"tenants":[{"name":"a","apiKeys":[")" + key + R"("]}]})");
        });
    }

    static HttpRequest request(const std::string &target, const std::string &id, int deadlineMs = 8000)
    {
        HttpRequest result = GatewayFixture::request(http::verb::get, target, id, deadlineMs);
        result.set(http::field::authorization, "Bearer key-one");
        return result;
    }

    [[nodiscard]] int arrivalsOf(const std::string &requestId) const
    {
        const std::lock_guard lock(mutex_);
        const auto found = arrivals_.find(requestId);
        return found == arrivals_.end() ? 0 : found->second;
    }

    void awaitArrivals(const std::string &requestId, int count) const
    {
        waitUntil("the request has arrived", [&] {
            return arrivalsOf(requestId) >= count;
        });
    }

    /// \brief Returns the time until endpoints have seen the end of \a count connections in all.
    [[nodiscard]] Duration timeUntilAbandoned(int count) const
    {
        const Time begin = MilliClock::now();
        waitUntil("the endpoints have seen the end of their connections", [&] {
            return endpoints_[0]->abandoned() + endpoints_[1]->abandoned() >= count;
        });
        return MilliClock::now() - begin;
    }

    /// \brief Returns the counters of extra attempts; warm-up calls may have had some on a busy machine.
    [[nodiscard]] std::string extraAttemptCounters() const
    {
        std::istringstream page(metrics());
        std::string counters;
        for (std::string line; std::getline(page, line);) {
            counters += line.starts_with("mimosatally_extra_attempt") ? line + "\n" : "";
        }
        return counters;
    }

    [[nodiscard]] std::string metrics() const
    {
        return TestCall(fixture.metricsAddress(), makeHttpRequest(http::verb::get, "/metrics")).response().body();
    }

private:
    AnswerSteps answerTo(const HttpRequest &request)
    {
        const std::string id = requestIdOf(request);
        int arrival = 0;
        {
            const std::lock_guard lock(mutex_);
            arrival = ++arrivals_[id];
        }
        return id.starts_with("warm-") ? AnswerSteps {bytes(wholeAnswer(id, "warm"))} : behaviour_(id, arrival);
    }

    Behaviour behaviour_;
    std::vector<EndpointStandin *> endpoints_;
    mutable std::mutex mutex_;
    std::map<std::string, int> arrivals_;

public:
    /// \brief Destroyed first, since its thread uses the other members.
    GatewayFixture fixture;
};

/// \brief Refusal that bears the id of its request; one without it says nothing on a connection that was used before.
std::string refusalOf(const std::string &requestId)
{
    return wholeAnswer(requestId, "", 503, "X-Mimosatally-Not-Executed: 1\r\n");
}

AnswerSteps stall(const std::string &, int)
{
    return {untilClosed()};
}
} // namespace

// Guards against callers that wait for an endpoint that stalls while another one is idle, and endpoints that go on working for nobody.
TEST_CASE("An extra attempt answers for an endpoint that stalls, which is cancelled", "[gateway][extra]")
{
    HedgedService service([](const std::string &id, int arrival) -> AnswerSteps {
        return {arrival == 1 ? untilClosed() : bytes(wholeAnswer(id, "second of " + id))};
    });
    for (int i = 1; i <= 5; ++i) {
        const std::string id = "r" + std::to_string(i);
        const Time begin = MilliClock::now();
        CHECK(service.fixture.call(HedgedService::request("/safe/x", id)).body() == "second of " + id);
        // Without an extra attempt, the first one times out after two fifths of 8 s.
        CHECK(MilliClock::now() - begin < Duration(1500));
        CHECK(service.timeUntilAbandoned(i) < CANCEL_TIME);
        CHECK(service.arrivalsOf(id) == 2);
    }
    CHECK(service.metrics().find(R"(mimosatally_extra_attempts_total{result="won"})") != std::string::npos);
    service.fixture.gateway().waitForOutput("ExtraAttemptWon process=g1 request=r5 ");
}

// Guards against two answers on one connection, or a late answer that is taken for the next one.
TEST_CASE("If both attempts answer, the caller gets one whole answer", "[gateway][extra]")
{
    HedgedService service([](const std::string &id, int arrival) -> AnswerSteps {
        return {pauseFor(arrival == 1 ? 120 : 60), bytes(wholeAnswer(id, "answer to " + id))};
    });
    CallerConnection caller(service.fixture.callerAddress());
    for (int i = 1; i <= 8; ++i) {
        const std::string id = "r" + std::to_string(i);
        caller.send(HedgedService::request("/safe/x", id));
        const HttpResponse response = caller.response();
        CHECK(response.body() == "answer to " + id);
        CHECK(headerValue(response, "X-Mimosatally-Request-Id") == id);
    }
}

// Guards against a good answer that is lost because the extra attempt has failed.
TEST_CASE("If the extra attempt fails, the first one goes on", "[gateway][extra]")
{
    const auto how = GENERATE(as<std::string>(), "rejected", "failure", "reset", "cut");
    CAPTURE(how);
    HedgedService service([how](const std::string &id, int arrival) -> AnswerSteps {
        if (arrival == 1) {
            return {pauseFor(600), bytes(wholeAnswer(id, "first"))};
        }
        if (how == "rejected" || how == "failure") {
            return {bytes(how == "rejected" ? refusalOf(id) : wholeAnswer(id, "broken", 500))};
        }
        return {bytes(how == "cut" ? wholeAnswer(id, "cut off").substr(0, 90) : ""), resetting()};
    });
    CHECK(service.fixture.call(HedgedService::request("/safe/x", "r1")).body() == "first");
    CHECK(service.arrivalsOf("r1") == 2);
    CHECK(service.metrics().find(R"(mimosatally_extra_attempts_total{result="failed"} 1)") != std::string::npos);
}

// Guards against a call that ends with its first attempt although the extra one has a good answer, and against a third run.
TEST_CASE("If the first attempt fails, the extra one goes on", "[gateway][extra]")
{
    const auto how = GENERATE(as<std::string>(), "rejected", "failure", "reset");
    CAPTURE(how);
    HedgedService service([how](const std::string &id, int arrival) -> AnswerSteps {
        if (arrival == 2) {
            return {pauseFor(700), bytes(wholeAnswer(id, "second"))};
        }
        const AnswerStep end = how == "reset" ? resetting() : bytes(how == "rejected" ? refusalOf(id) : wholeAnswer(id, "broken", 500));
        return {pauseFor(400), end};
    });
    CHECK(service.fixture.call(HedgedService::request("/safe/x", "r1")).body() == "second");
    CHECK(service.arrivalsOf("r1") == 2);
}

// Guards against work that goes on at one of the two endpoints after the call has ended, for each way in which it can end.
TEST_CASE("Both attempts end with their call", "[gateway][extra]")
{
    const auto how = GENERATE(as<std::string>(), "deadline", "caller leaves", "key removed", "process stops");
    CAPTURE(how);
    HedgedService service(stall, "extra_attempt_limit = 0.2\nstrict_revoke = true\n");
    const auto caller = service.fixture.start(HedgedService::request("/safe/x", "r1", how == "deadline" ? 1000 : 8000));
    service.awaitArrivals("r1", 2);
    if (how == "deadline") {
        CHECK(caller->response().result_int() == 504);
    } else if (how == "caller leaves") {
        caller->close();
    } else if (how == "key removed") {
        service.configure(2, "key-two");
        CHECK(caller->response().result_int() == 502);
    } else {
        service.fixture.gateway().send(SIGTERM);
    }
    CHECK(service.timeUntilAbandoned(2) < (how == "process stops" ? Duration(3000) : CANCEL_TIME));
    CHECK(service.arrivalsOf("r1") == 2);
}

// Guards against calls that run twice although they must not, and against a change for deployments that have not asked for extra attempts.
TEST_CASE("Calls that may run once, and processes without a limit, have no extra attempts", "[gateway][extra]")
{
    const bool limited = GENERATE(true, false);
    HedgedService service(stall, limited ? "extra_attempt_limit = 0.2\n" : "");
    const std::string target = limited ? "/post/x" : "/safe/x";
    const std::string before = limited ? service.extraAttemptCounters() : "";
    // The attempt's timeout is two fifths of the deadline; a retry of the other route would follow it.
    const auto caller = service.fixture.start(HedgedService::request(target, "r1", 4000));
    service.awaitArrivals("r1", 1);
    std::this_thread::sleep_for(Duration(1200));
    CHECK(service.arrivalsOf("r1") == 1);
    CHECK(service.extraAttemptCounters() == before);
    caller->close();
}
