#include "gatewayfixture.h"

#include <catch2/catch.hpp>

#include <map>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
/// \brief Refusal that bears the id of its request, as endpoints write it.
std::string refusalOf(const std::string &requestId, unsigned status)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Mimosatally-Not-Executed: 1\r\nX-Mimosatally-Request-Id: " + requestId
           + "\r\nContent-Length: 0\r\n\r\n";
}

/// \brief Runs of each request at the endpoints, and the requests whose callers were told that they had not run.
class RunLedger
{
public:
    void recordRun(const std::string &requestId)
    {
        const std::lock_guard lock(mutex_);
        ++runs_[requestId];
    }

    void recordPromise(const std::string &requestId)
    {
        const std::lock_guard lock(mutex_);
        promised_.push_back(requestId);
    }

    [[nodiscard]] int ranTwice() const
    {
        const std::lock_guard lock(mutex_);
        return static_cast<int>(std::ranges::count_if(runs_, [](const auto &entry) {
            return entry.second > 1;
        }));
    }

    [[nodiscard]] int ranThoughRefused() const
    {
        const std::lock_guard lock(mutex_);
        return static_cast<int>(std::ranges::count_if(promised_, [this](const std::string &requestId) {
            return runs_.contains(requestId);
        }));
    }

    [[nodiscard]] std::size_t ran() const
    {
        const std::lock_guard lock(mutex_);
        return runs_.size();
    }

private:
    mutable std::mutex mutex_;
    std::map<std::string, int> runs_;
    std::vector<std::string> promised_;
};

/// \brief Endpoint `i-new` at an address that entries of ended endpoints still name. It refuses requests for them and writes each refusal once more on the
/// same connection, where the answer to the next request is due.
class ReusedAddress
{
public:
    explicit ReusedAddress(RunLedger &ledger)
        : ledger_(ledger)
    {
    }

    AnswerSteps operator()(const Arrival &arrival)
    {
        const std::string id = requestIdOf(arrival.request);
        AnswerSteps steps;
        const auto refused = refusedOn_.find(arrival.connection);
        if (refused != refusedOn_.end()) {
            ++copies_;
            steps.push_back(bytes(refusalOf(refused->second, 421)));
            steps.push_back(pauseFor(5));
            refusedOn_.erase(refused);
        }
        if (headerValue(arrival.request, "X-Mimosatally-Target-Instance") != "i-new") {
            refusedOn_[arrival.connection] = id;
            steps.push_back(bytes(refusalOf(id, 421)));
        } else {
            ledger_.recordRun(id);
            steps.push_back(bytes(wholeAnswer(id, "ran " + id)));
        }
        return steps;
    }

    [[nodiscard]] int copies() const
    {
        return copies_;
    }

private:
    RunLedger &ledger_;
    std::map<int, std::string> refusedOn_;
    std::atomic<int> copies_ = 0;
};

/// \brief Longer than a stall of a busy machine, so that the sound endpoint's idle connections are not dropped.
constexpr const char *KEEP_ALIVE = "Keep-Alive: timeout=60\r\n";
constexpr int CALLERS = 6;
constexpr int CALLS_PER_CALLER = 250;

/// \brief Sends CALLS_PER_CALLER calls that may run once from each of CALLERS threads. \return calls that were answered by an endpoint.
int callFromAllCallers(GatewayFixture &fixture, RunLedger &ledger)
{
    std::atomic<int> answered = 0;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < CALLERS; ++caller) {
        callers.emplace_back([&, caller] {
            for (int call = 0; call < CALLS_PER_CALLER; ++call) {
                const std::string id = "r" + std::to_string(caller) + "-" + std::to_string(call);
                const HttpResponse response = fixture.call(GatewayFixture::request(http::verb::post, "/post/x", id));
                if (response.result_int() == 503) {
                    ledger.recordPromise(id);
                }
                answered += response.result_int() == 200 && response.body() == "ran " + id ? 1 : 0;
                std::this_thread::sleep_for(std::chrono::milliseconds(4));
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    return answered;
}
} // namespace

// Guards against a copy of a refusal that ends a later attempt of the same call over the same connection: the call is run, and its caller is told that it was
// not, or it runs at a second endpoint. 40 entries of ended endpoints and one live endpoint share an address.
TEST_CASE("A copy of a refusal does not end a later attempt of the same call", "[gateway]")
{
    GatewayFixture fixture;
    RunLedger ledger;
    ReusedAddress reused(ledger);
    EndpointStandin &live = fixture.addEndpoint("i-new", "plain", [&reused](const Arrival &arrival) {
        return reused(arrival);
    });
    EndpointStandin &sound = fixture.addEndpoint("i-sound", "plain", [&ledger](const HttpRequest &request) -> AnswerSteps {
        ledger.recordRun(requestIdOf(request));
        return {bytes(wholeAnswer(requestIdOf(request), "ran " + requestIdOf(request), 200, KEEP_ALIVE))};
    });
    fixture.onStandins([&] {
        for (int i = 0; i < 40; ++i) {
            fixture.announce("i-ended-" + std::to_string(i), "plain", live.address(), "ready");
        }
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    const int answered = callFromAllCallers(fixture, ledger);
    // More than a tenth of the calls met a copy; else the test shows nothing.
    CHECK(reused.copies() > CALLERS * CALLS_PER_CALLER / 10);
    CHECK(ledger.ranThoughRefused() == 0);
    CHECK(ledger.ranTwice() == 0);
    CHECK(answered == static_cast<int>(ledger.ran()));
    // A sound endpoint keeps its connections: at most one for each call that ran there at the same time.
    const std::vector<Arrival> arrivals = sound.arrivals();
    int connections = 0;
    for (const Arrival &arrival : arrivals) {
        connections = std::max(connections, arrival.connection);
    }
    CHECK(arrivals.size() > CALLERS * CALLS_PER_CALLER / 10);
    CHECK(connections <= CALLERS);
    WARN(reused.copies() << " copies, " << ledger.ranThoughRefused() << " ran though refused, " << ledger.ranTwice() << " ran twice, " << answered
                         << " answered, " << arrivals.size() << " calls over " << connections << " connections of the sound endpoint");
}

// Guards against an answer too many that is taken for the answer to a repeat of the request by its caller, who was told that it had not run and used its id
// again. Whatever the answer too many is, the repeat gets its own answer.
TEST_CASE("An answer that is written again is not taken for the answer to a repeat with the same id", "[gateway]")
{
    const auto kind = GENERATE(as<std::string>(), "refusal", "success", "failure", "interim", "without an id", "in pieces");
    GatewayFixture fixture;
    std::atomic<int> runs = 0;
    const auto extraAnswer = [kind](const std::string &id) -> AnswerSteps {
        if (kind == "success") {
            return {bytes(wholeAnswer(id, "stale"))};
        }
        if (kind == "failure") {
            return {bytes(wholeAnswer(id, "stale", 500))};
        }
        if (kind == "interim") {
            return {bytes("HTTP/1.1 102 X\r\nX-Mimosatally-Not-Executed: 1\r\nX-Mimosatally-Request-Id: " + id + "\r\n\r\n")};
        }
        if (kind == "without an id") {
            return {bytes(rejection())};
        }
        const std::string refusal = refusalOf(id, 503);
        if (kind == "in pieces") {
            return {bytes(refusal.substr(0, 20)), pauseFor(20), bytes(refusal.substr(20))};
        }
        return {bytes(refusal)};
    };
    std::set<int> refusedOn;
    fixture.addEndpoint("i-1", "plain", [&](const Arrival &arrival) -> AnswerSteps {
        const std::string id = requestIdOf(arrival.request);
        if (id == "r1" && runs == 0 && refusedOn.empty()) {
            refusedOn.insert(arrival.connection);
            return {bytes(refusalOf(id, 503))};
        }
        ++runs;
        AnswerSteps steps;
        if (refusedOn.erase(arrival.connection) > 0) {
            steps = extraAnswer("r1");
            steps.push_back(pauseFor(30));
        }
        steps.push_back(bytes(wholeAnswer(id, "own")));
        return steps;
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    CHECK(fixture.call(GatewayFixture::request(http::verb::post, "/post/x", "r1")).result_int() == 503);
    for (const char *id : {"r1", "r2"}) {
        const HttpResponse response = fixture.call(GatewayFixture::request(http::verb::post, "/post/x", id));
        CAPTURE(kind, id);
        CHECK(response.result_int() == 200);
        CHECK(response.body() == "own");
    }
    CHECK(runs == 2);
}

// Guards against a late answer to an earlier request that says something about the present call: here that its endpoint leaves, so that the end of the endpoint
// within the call is not counted as a crash.
TEST_CASE("A skipped answer says nothing about the endpoint of the call", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", [](const HttpRequest &) -> AnswerSteps {
        return {
            bytes(wholeAnswer("earlier", "late", 503, "Server-Leaving: 1\r\nX-Mimosatally-Not-Executed: 1\r\nRetry-After: 30\r\n")), pauseFor(50), crashing()};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    CHECK(fixture.call(GatewayFixture::request(http::verb::post, "/post/x", "r1")).result_int() == 502);
    fixture.gateway().waitForOutput("EndpointCrashSeen");
}
