#include "gatewayfixture.h"

#include <catch2/catch.hpp>

#include <mimosatally/Audit>

#include <sstream>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
EndpointStandin::Script answerGood()
{
    return [](const HttpRequest &request) -> AnswerSteps {
        return {bytes(wholeAnswer(requestIdOf(request), "good"))};
    };
}
} // namespace

// Guards against answering 404 for a route that the process has not read yet.
TEST_CASE("A process without a configuration refuses calls as not executed and is not ready", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", answerGood());
    fixture.startGateway();
    CHECK(fixture.readinessStatus() == 503);
    const HttpResponse response = fixture.call(GatewayFixture::request(http::verb::get, "/safe/x", "r1"));
    CHECK(response.result_int() == 503);
    CHECK_FALSE(headerValue(response, "Retry-After").empty());
    fixture.configure();
    fixture.awaitReady();
    CHECK(fixture.call(GatewayFixture::request(http::verb::get, "/safe/x", "r2")).body() == "good");
    CHECK(fixture.call(GatewayFixture::request(http::verb::get, "/unknown/x", "r3")).result_int() == 404);
}

TEST_CASE("A new version takes effect within two seconds and is never replaced by an older one", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", [](const HttpRequest &) -> AnswerSteps {
        return {untilClosed()};
    });
    fixture.configure(5, 3000);
    fixture.startGateway();
    fixture.awaitReady();
    fixture.configure(6, 300);
    fixture.gateway().waitForOutput("version=6");
    fixture.configure(4, 3000);
    CHECK(fixture.call(GatewayFixture::request(http::verb::post, "/post/x", "r1", 1500)).result_int() == 504);
    CHECK_FALSE(fixture.gateway().hasOutput("version=4"));
}

// Guards against a store outage that stops the service.
TEST_CASE("Calls are served while the store is unavailable, with few requests to it", "[gateway]")
{
    const auto mode = GENERATE(StoreMode::Unavailable, StoreMode::Unresponsive);
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", answerGood());
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    fixture.onStandins([&] {
        fixture.store().setMode(mode);
    });
    fixture.gateway().waitForOutput("StoreLost");
    const int before = fixture.onStandins([&] {
        return fixture.store().calls();
    });
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    int served = 0;
    while (std::chrono::steady_clock::now() < end) {
        served += fixture.call(GatewayFixture::request(http::verb::get, "/safe/x", "r" + std::to_string(served))).result_int() == 200 ? 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    CHECK(served > 20);
    const int after = fixture.onStandins([&] {
        return fixture.store().calls();
    });
    CHECK(after - before < 30);
    fixture.onStandins([&] {
        fixture.store().setMode(StoreMode::Serving);
    });
    fixture.gateway().waitForOutput("StoreRegained");
}

// Guards against a process that is never ready, or misses new versions, because the store has refused its instance since the start.
TEST_CASE("A process that the store refuses learns configuration and endpoints from another gateway", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", answerGood());
    fixture.configure();
    const std::string peer = fixture.startPeer();
    fixture.startGateway("peers = [\"127.0.0.1:1\", \"" + peer + "\"]\n", "127.0.0.1:1");
    fixture.awaitReady();
    CHECK(fixture.call(GatewayFixture::request(http::verb::get, "/safe/x", "r1")).body() == "good");
    fixture.configure(7);
    fixture.gateway().waitForOutput("version=7");
}

TEST_CASE("The process reads a snapshot when the store has truncated its history", "[gateway]")
{
    GatewayFixture fixture;
    EndpointStandin &endpoint = fixture.addEndpoint("i-1", "plain", answerGood());
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    fixture.onStandins([&] {
        fixture.announce("i-1", "plain", endpoint.address(), "draining");
        fixture.announce("i-2", "plain", endpoint.address(), "ready");
        fixture.store().dropHistory("keyed.servers");
    });
    fixture.gateway().waitForOutput("endpoint=i-2");
    CHECK(fixture.gateway().hasOutput("state=leaving"));
}

// Guards against new calls to an endpoint that is leaving or whose record was removed without notice.
TEST_CASE("A leaving or removed endpoint gets no new calls", "[gateway]")
{
    const auto vanishes = GENERATE(false, true);
    GatewayFixture fixture;
    EndpointStandin &leaving = fixture.addEndpoint("i-1", "plain", answerGood());
    EndpointStandin &staying = fixture.addEndpoint("i-2", "plain", answerGood());
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    fixture.onStandins([&] {
        if (vanishes) {
            fixture.store().put("keyed.servers", "i-1", "");
        } else {
            fixture.announce("i-1", "plain", leaving.address(), "draining");
        }
    });
    fixture.gateway().waitForOutput(vanishes ? "EndpointGone" : "state=leaving");
    const std::size_t before = leaving.arrivals().size();
    for (int i = 0; i < 10; ++i) {
        CHECK(fixture.call(GatewayFixture::request(http::verb::get, "/safe/x", "r" + std::to_string(i))).result_int() == 200);
    }
    CHECK(leaving.arrivals().size() == before);
    CHECK(staying.arrivals().size() >= 10);
}

// Guards against planned stops that cut off running calls.
TEST_CASE("After SIGTERM the process is not ready, finishes its calls and answers without keep-alive", "[gateway]")
{
    GatewayFixture fixture;
    EndpointStandin &endpoint = fixture.addEndpoint("i-1", "plain", [](const HttpRequest &request) -> AnswerSteps {
        return {pauseFor(600), bytes(wholeAnswer(requestIdOf(request), "late"))};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    const auto running = fixture.start(GatewayFixture::request(http::verb::post, "/post/x", "r1"));
    waitUntil("the call arrived", [&] {
        return endpoint.arrivals().size() == 1;
    });
    fixture.gateway().send(SIGTERM);
    fixture.gateway().waitForOutput("ProcessStopping");
    CHECK(fixture.readinessStatus() == 503);
    // A connection that is opened just after the signal is still served.
    const HttpResponse late = fixture.call(GatewayFixture::request(http::verb::post, "/post/x", "r2"));
    CHECK(late.body() == "late");
    CHECK_FALSE(late.keep_alive());
    CHECK(running->response().body() == "late");
    CHECK(fixture.gateway().wait() == 0);
}

// Guards against requests on keep-alive connections that are read and then lost because the process closed idle connections early, and
// against long calls that are accepted late and cut off at the end.
TEST_CASE("A keep-alive connection is served until the last call of a stopping process has ended", "[gateway]")
{
    GatewayFixture fixture;
    EndpointStandin &endpoint = fixture.addEndpoint("i-1", "plain", [](const HttpRequest &request) -> AnswerSteps {
        const int length = request.target() == "/post/long" ? 2000 : 0;
        return {pauseFor(length), bytes(wholeAnswer(requestIdOf(request), "answer"))};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    const auto kept = fixture.start(GatewayFixture::request(http::verb::post, "/post/x", "r1"));
    CHECK(kept->response().keep_alive());
    const auto second = fixture.start(GatewayFixture::request(http::verb::post, "/post/x", "r5"));
    CHECK(second->response().keep_alive());
    const auto running = fixture.start(GatewayFixture::request(http::verb::post, "/post/long", "r2"));
    waitUntil("the call arrived", [&] {
        return endpoint.arrivals().size() == 3;
    });
    fixture.gateway().send(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    second->send(GatewayFixture::request(http::verb::post, "/post/x", "r4", 3000));
    const HttpResponse refused = second->response();
    CHECK(refused.result_int() == 503);
    CHECK_FALSE(headerValue(refused, "Retry-After").empty());
    kept->send(GatewayFixture::request(http::verb::post, "/post/x", "r3", 500));
    const HttpResponse response = kept->response();
    CHECK(response.body() == "answer");
    CHECK_FALSE(response.keep_alive());
    CHECK(running->response().body() == "answer");
    CHECK(fixture.gateway().wait() == 0);
}

// Guards against connections refused during a rolling restart of all gateways. If no other process is ready, callers still connect to the
// stopping one: 1,568 calls of one day got no connection while earlier long calls kept the processes from restarting.
TEST_CASE("A stopping process takes new connections while an earlier call is running", "[gateway]")
{
    GatewayFixture fixture;
    EndpointStandin &endpoint = fixture.addEndpoint("i-1", "plain", [](const HttpRequest &request) -> AnswerSteps {
        const int length = request.target() == "/post/long" ? 2500 : 0;
        return {pauseFor(length), bytes(wholeAnswer(requestIdOf(request), "answer"))};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    const auto running = fixture.start(GatewayFixture::request(http::verb::post, "/post/long", "r1"));
    waitUntil("the call arrived", [&] {
        return endpoint.arrivals().size() == 1;
    });
    fixture.gateway().send(SIGTERM);
    // After the 1,125 ms in which new connections are always accepted, and early enough that the new call's deadline of 500 ms passes
    // half a second before the process ends.
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    const auto late = fixture.start(GatewayFixture::request(http::verb::post, "/post/x", "r2", 500));
    CHECK(late->response().body() == "answer");
    CHECK(running->response().body() == "answer");
    CHECK(fixture.gateway().wait() == 0);
}

// Guards against log lines that no checkpoint covers, and against a log that disagrees with what callers saw.
TEST_CASE("The log lines of a gateway are verified up to the last one", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", [](const HttpRequest &request) -> AnswerSteps {
        const bool fails = request.target() == "/post/reset";
        return {fails ? resetting() : bytes(wholeAnswer(requestIdOf(request), "answer"))};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    constexpr int calls = 5;
    for (int call = 0; call < calls; ++call) {
        fixture.call(GatewayFixture::request(http::verb::post, "/post/x", "r" + std::to_string(call)));
    }
    CHECK(fixture.call(GatewayFixture::request(http::verb::post, "/post/reset", "reset")).result_int() == 502);
    fixture.gateway().waitForOutput("LogCheckpoint");
    fixture.gateway().send(SIGTERM);
    CHECK(fixture.gateway().wait() == 0);
    LineVerifier verifier("gateway.log");
    std::istringstream lines(fixture.gateway().output());
    for (std::string line; std::getline(lines, line);) {
        verifier.add(line);
    }
    const LineReport report = verifier.report();
    CHECK(report.findings.empty());
    CHECK(report.openEnds.empty());
    CHECK(report.checkpoints > 0);
    CHECK(report.answered == calls);
    CHECK(report.failed == 1);
}

// Guards against the default action of SIGHUP, which terminates the process.
TEST_CASE("SIGHUP reloads the settings without interrupting service", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", answerGood());
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    fixture.gateway().send(SIGHUP);
    fixture.gateway().waitForOutput("SettingsReloaded");
    CHECK(fixture.call(GatewayFixture::request(http::verb::get, "/safe/x", "r1")).body() == "good");
}

TEST_CASE("Metrics are served in the text format", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", answerGood());
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    fixture.call(GatewayFixture::request(http::verb::get, "/safe/x", "r1"));
    const std::string text = TestCall(fixture.metricsAddress(), makeHttpRequest(http::verb::get, "/metrics")).response().body();
    CHECK(text.find("mimosatally_calls_total{result=\"answered\"} 1") != std::string::npos);
    CHECK(text.find("mimosatally_first_byte_seconds_count") != std::string::npos);
}

// Guards against a service with two engines of which none prefills, and against orders without a fencing token.
TEST_CASE("The holder of the lease orders an engine to prefill, and prompts are then split over both engines", "[gateway]")
{
    GatewayFixture fixture;
    std::mutex mutex;
    std::vector<std::string> orders;
    std::map<std::string, std::string> phases = {{"i-1", "decode"}, {"i-2", "decode"}};
    std::map<std::string, std::string> addresses;
    const auto engine = [&](const std::string &id) {
        return [&, id](const HttpRequest &request) -> AnswerSteps {
            const std::lock_guard lock(mutex);
            const std::string target(request.target());
            if (target == "/-/report") {
                return {bytes(wholeAnswer("", R"({"phase":")" + phases[id] + R"(","busy":false,"seqNum":3})"))};
            }
            if (target == "/-/order") {
                orders.push_back(request.body());
                phases[id] = "prefill";
                fixture.announce(id, "model", addresses[id], "ready", R"(,"phase":"prefill")");
                return {bytes("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")};
            }
            if (headerValue(request, "X-Mimosatally-Serving-Stage") == "prefill") {
                return {bytes(wholeAnswer(requestIdOf(request), R"({"kvHandle":"abc","tokens":9000,"version":1})"))};
            }
            return {bytes(streamHead(requestIdOf(request), headerValue(request, "X-Mimosatally-Kv-Source")) + chunk("id: 1\ndata: a\n\n") + lastChunk())};
        };
    };
    for (const char *id : {"i-1", "i-2"}) {
        EndpointStandin &endpoint = fixture.addEndpoint(id, "model", engine(id), R"(,"phase":"decode")");
        const std::lock_guard lock(mutex);
        addresses[id] = endpoint.address();
    }
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    fixture.gateway().waitForOutput("result=accepted");
    fixture.gateway().waitForOutput("phase=prefill started");
    std::string ordered;
    {
        const std::lock_guard lock(mutex);
        REQUIRE(orders.size() == 1);
        const auto order = nlohmann::json::parse(orders[0]);
        CHECK(order["opcode"] == "phase");
        CHECK(order["fence"] == 1);
        CHECK(order["precondition"] == 3);
        ordered = phases["i-1"] == "prefill" ? "i-1" : "i-2";
    }
    HttpRequest request = GatewayFixture::request(http::verb::post, "/generate/x", "r1");
    request.set("X-Mimosatally-Token-Counts", "9000,10");
    request.set("X-Mimosatally-Prefix-Hash", "aa:9000");
    const HttpResponse response = fixture.call(request);
    CHECK(response.body() == "id: 1\ndata: a\n\n");
    const std::lock_guard lock(mutex);
    CHECK(headerValue(response, "X-Mimosatally-Response-Seal") == addresses[ordered] + "/abc");
}
