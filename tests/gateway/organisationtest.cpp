#include "gatewayfixture.h"

#include "gateway/peerexchange.h"
#include "unit/coroutinerunner.h"

#include <catch2/catch.hpp>

#include <mimosatally/Rpc>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
constexpr const char *KEY = "7yx5x42q492cqf75rjvz";
constexpr const char *OTHER_KEY = "48wuakn2ftimaj3nr26t";
constexpr const char *ALL_KEYS = R"([{"name":"huka270","apiKeys":["7yx5x42q492cqf75rjvz"]},{"name":"puhu251","apiKeys":["48wuakn2ftimaj3nr26t"]}])";
constexpr const char *WITHOUT_KEY = R"([{"name":"huka270","apiKeys":[]},{"name":"puhu251","apiKeys":["48wuakn2ftimaj3nr26t"]}])";
constexpr const char *KEY_MOVED = R"([{"name":"huka270"},{"name":"puhu251","apiKeys":["48wuakn2ftimaj3nr26t","7yx5x42q492cqf75rjvz"]}])";

/// \brief Puts a configuration with one route of each kind in force. \param tenants JSON text of the organisations; empty for none.
void configure(GatewayFixture &fixture, int version, const std::string &tenants)
{
    const auto route = [](const std::string &name, const std::string &kind, const std::string &service, const std::string &extraFields) {
        return R"({"name":")" + name + R"(","host":"h","pathPrefix":"/)" + name + R"(/","kind":")" + kind
               + R"(","timeoutMs":20000,"targetLatencyMs":1000,"priority":1,"service":")" + service + R"(","maxAttempts":3)" + extraFields + "}";
    };
    const std::string document = R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route("safe", "safe", "plain", "") + ","
                                 + route("open", "safe", "plain", R"(,"public":true)") + "," + route("post", "unsafe", "plain", "") + ","
                                 + route("resume", "streaming", "plain", R"(,"resumable":true)") + "," + route("generate", "streaming", "model", "")
                                 + R"(],"services":[{"name":"plain","maxConns":50},{"name":"model","maxConns":50,"engine":{"slots":8,"kvCacheTokens":100000,)"
                                 + R"("tokenKvBytes":1000,"linkMbps":1000000}}],"limits":{})" + (tenants.empty() ? "" : R"(,"tenants":)" + tenants) + "}";
    fixture.onStandins([&] {
        fixture.store().put("keyed.op", "config", document);
    });
    if (version > 1) {
        fixture.gateway().waitForOutput("version=" + std::to_string(version) + " routes=");
    }
}

/// \brief Request with \a key that also claims to be another organisation's.
HttpRequest request(const std::string &target, const std::string &id, const std::string &key = KEY, http::verb method = http::verb::get)
{
    HttpRequest result = GatewayFixture::request(method, target, id, 15'000);
    result.set("X-Mimosatally-Tenant-Id", "forged");
    if (!key.empty()) {
        result.set(http::field::authorization, "Bearer " + key);
    }
    return result;
}

EndpointStandin::Script answerGood()
{
    return [](const HttpRequest &received) -> AnswerSteps {
        return {bytes(wholeAnswer(requestIdOf(received), "good"))};
    };
}

std::string organisationOf(const Arrival &arrival)
{
    return headerValue(arrival.request, "X-Mimosatally-Tenant-Id");
}

/// \brief Returns whether no field of a request that an endpoint received holds a key or the forged name.
bool isClean(const EndpointStandin &endpoint)
{
    for (const Arrival &arrival : endpoint.arrivals()) {
        for (const auto &field : arrival.request) {
            const std::string value(field.value());
            if (field.name() == http::field::authorization || value.find(KEY) != std::string::npos || value.find("forged") != std::string::npos) {
                return false;
            }
        }
    }
    return true;
}

void awaitArrivals(const EndpointStandin &endpoint, std::size_t count)
{
    waitUntil("the endpoint has received requests", [&] {
        return endpoint.arrivals().size() >= count;
    });
}

std::string metricsOf(GatewayFixture &fixture)
{
    return TestCall(fixture.metricsAddress(), makeHttpRequest(http::verb::get, "/metrics")).response().body();
}
} // namespace

// Guards against calls that are served without a key, keys and forged names at endpoints, and answers that tell strangers which routes exist.
TEST_CASE("Calls without a valid key get 401, except on public routes", "[gateway][organisation]")
{
    GatewayFixture fixture;
    EndpointStandin &endpoint = fixture.addEndpoint("i-1", "plain", answerGood());
    fixture.startGateway();
    CHECK(fixture.call(request("/safe/x", "r0", "unknown")).result_int() == 503);
    configure(fixture, 1, ALL_KEYS);
    fixture.awaitReady();
    for (const char *target : {"/safe/x", "/nowhere/x"}) {
        for (const std::string &key : {std::string(), std::string("unknown"), std::string(KEY) + "x", std::string(KEY) + " " + OTHER_KEY}) {
            CAPTURE(target, key);
            const HttpResponse response = fixture.call(request(target, "r1", key));
            CHECK(response.result_int() == 401);
            CHECK(headerValue(response, "WWW-Authenticate") == "Bearer");
            CHECK(nlohmann::json::parse(response.body())["mimosatally"]["reason"] == "unknown-key");
        }
    }
    HttpRequest twice = request("/safe/x", "r1");
    twice.insert(http::field::authorization, std::string("Bearer ") + KEY);
    CHECK(fixture.call(twice).result_int() == 401);
    HttpRequest withoutId = request("/safe/x", "r1", "unknown");
    withoutId.erase("X-Mimosatally-Request-Id");
    CHECK(fixture.call(withoutId).result_int() == 400);
    CHECK(endpoint.arrivals().empty());
    CHECK(fixture.call(request("/nowhere/x", "r2")).result_int() == 404);
    CHECK(fixture.call(request("/safe/x", "r3")).body() == "good");
    CHECK(fixture.call(request("/open/x", "r4")).body() == "good");
    CHECK(fixture.call(request("/open/x", "r5", "unknown")).body() == "good");
    CHECK(fixture.call(request("/open/x", "r6", "")).body() == "good");
    REQUIRE(endpoint.arrivals().size() == 4);
    CHECK(organisationOf(endpoint.arrivals()[0]) == "huka270");
    CHECK(organisationOf(endpoint.arrivals()[1]) == "huka270");
    CHECK(organisationOf(endpoint.arrivals()[2]).empty());
    CHECK(endpoint.arrivals()[3].request.count("X-Mimosatally-Tenant-Id") == 0);
    CHECK(isClean(endpoint));
    fixture.gateway().waitForOutput("reason=unknown-key key=" + digestPrefix(KeyDigester().digest("unknown")));
}

// Guards against a key that some path forwards: prefill, run, repeat, resumed stream; and against keys in log lines, metrics and answers to peers.
TEST_CASE("A key reaches no endpoint, log line, metric or peer", "[gateway][organisation]")
{
    GatewayFixture fixture;
    std::atomic<int> runs = 0;
    std::vector<EndpointStandin *> endpoints;
    for (const char *id : {"i-1", "i-2", "i-3"}) {
        endpoints.push_back(&fixture.addEndpoint(id, "plain", [&](const HttpRequest &received) -> AnswerSteps {
            const bool isFirst = runs++ == 0;
            if (!std::string(received.target()).starts_with("/resume/")) {
                return {bytes(isFirst ? rejection() : wholeAnswer(requestIdOf(received), "good"))};
            }
            if (headerValue(received, "Last-Event-Id").empty()) {
                return {bytes(streamHead(requestIdOf(received)) + chunk("id: 1\ndata: a\n\n")), pauseFor(50), resetting()};
            }
            return {bytes(streamHead(requestIdOf(received)) + chunk("id: 2\ndata: b\n\n") + lastChunk())};
        }));
    }
    for (const auto &[id, phase] : std::map<std::string, std::string> {{"e-1", "prefill"}, {"e-2", "decode"}}) {
        const auto engine = [](const HttpRequest &received) -> AnswerSteps {
            if (headerValue(received, "X-Mimosatally-Serving-Stage") == "prefill") {
                return {bytes(wholeAnswer(requestIdOf(received), R"({"kvHandle":"abc","tokens":9000,"version":1})"))};
            }
            return {bytes(streamHead(requestIdOf(received)) + chunk("id: 1\ndata: a\n\n") + lastChunk())};
        };
        endpoints.push_back(&fixture.addEndpoint(id, "model", engine, R"(,"phase":")" + phase + '"'));
    }
    configure(fixture, 1, ALL_KEYS);
    const std::string peerAddress = freeAddress();
    // Each call of this test is repeated.
    fixture.startGateway("retry_ratio = 1.0\npeer_listen = \"" + peerAddress + "\"\n");
    fixture.awaitReady();
    CHECK(fixture.call(request("/safe/x", "r1")).body() == "good");
    CHECK(runs == 2);
    CHECK(fixture.call(request("/resume/x", "r2", KEY, http::verb::post)).body() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    HttpRequest generate = request("/generate/x", "r3", KEY, http::verb::post);
    generate.set("X-Mimosatally-Token-Counts", "9000,10");
    generate.set("X-Mimosatally-Prefix-Hash", "aa:9000");
    CHECK(fixture.call(generate).result_int() == 200);
    std::size_t arrivals = 0;
    for (const EndpointStandin *endpoint : endpoints) {
        CHECK(isClean(*endpoint));
        for (const Arrival &arrival : endpoint->arrivals()) {
            CHECK(organisationOf(arrival) == "huka270");
            ++arrivals;
        }
    }
    CHECK(arrivals == 6);
    CHECK(fixture.call(request("/safe/x", "r4", std::string(KEY) + "x")).result_int() == 401);
    fixture.gateway().waitForOutput("request=r4 reason=unknown-key");
    CHECK(fixture.gateway().hasOutput("organisation=huka270"));
    CHECK_FALSE(fixture.gateway().hasOutput(KEY));
    const std::string metrics = metricsOf(fixture);
    CHECK(metrics.find(KEY) == std::string::npos);
    CHECK(metrics.find(R"(mimosatally_organisation_calls_total{organisation="huka270",result="answered"} 3)") != std::string::npos);
    boost::asio::io_context io;
    RpcContext rpc(io);
    runCoroutine(io, [&]() -> boost::asio::awaitable<void> {
        const internal::NewestRecords records = co_await internal::fetchPeerRecords(rpc, peerAddress, {});
        REQUIRE(records.configuration);
        const std::string text = records.configuration->record.value.value_or("");
        CHECK(text.find("huka270") != std::string::npos);
        CHECK(text.find(KEY) == std::string::npos);
    });
}

// Guards against a connection that keeps the rights of its first request, and against a version of before that comes back.
TEST_CASE("A key that a new version removes gives 401 on a kept connection", "[gateway][organisation]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", answerGood());
    configure(fixture, 1, ALL_KEYS);
    fixture.startGateway();
    fixture.awaitReady();
    CallerConnection caller(fixture.callerAddress());
    const auto statusOf = [&](const std::string &id, const std::string &key) {
        caller.send(request("/safe/x", id, key));
        return caller.response().result_int();
    };
    CHECK(statusOf("r1", KEY) == 200);
    configure(fixture, 2, WITHOUT_KEY);
    CHECK(statusOf("r2", KEY) == 401);
    CHECK(statusOf("r3", OTHER_KEY) == 200);
    fixture.onStandins([&] {
        fixture.store().put("keyed.op", "config", R"({"version":9,"routes":[],"services":[],"tenants":[{"name":"a","apiKeys":"7yx5x42q492cqf75rjvz"}]})");
    });
    fixture.gateway().waitForOutput("ServingConfigurationUnreadable");
    CHECK(statusOf("r3", OTHER_KEY) == 200);
    configure(fixture, 3, "[]");
    CHECK(statusOf("r4", OTHER_KEY) == 401);
    configure(fixture, 4, "");
    CHECK(statusOf("r5", "unknown") == 200);
}

namespace
{
/// \brief One call in progress whose key loses its validity: a call that waits for its prefill, one that runs, and two streams.
struct CallsInProgress {
    explicit CallsInProgress(bool strict)
    {
        for (const auto &[id, phase] : std::map<std::string, std::string> {{"e-1", "prefill"}, {"e-2", "decode"}}) {
            endpoints.push_back(&fixture.addEndpoint(id, "model", answer(), R"(,"phase":")" + phase + '"'));
        }
        endpoints.push_back(&fixture.addEndpoint("i-1", "plain", answer()));
        configure(fixture, 1, ALL_KEYS);
        fixture.startGateway(strict ? "strict_revoke = true\n" : "");
        fixture.awaitReady();
        HttpRequest generate = request("/generate/x", "r1", KEY, http::verb::post);
        generate.set("X-Mimosatally-Token-Counts", "9000,10");
        generate.set("X-Mimosatally-Prefix-Hash", "aa:9000");
        waiting = fixture.start(generate);
        running = fixture.start(request("/post/x", "r2", KEY, http::verb::post));
        stream = fixture.start(request("/resume/x", "r3", KEY, http::verb::post));
        unread = fixture.start(request("/resume/flood", "r4", KEY, http::verb::post));
        other = fixture.start(request("/post/x", "r5", OTHER_KEY, http::verb::post));
        stream->readUntil("id: 1");
        awaitArrivals(*endpoints[0], 1);
        awaitArrivals(*endpoints[2], 4);
    }

    /// \brief Answers that go on for three seconds, except for the one that is too long to be buffered on its way to a caller that does not read.
    static EndpointStandin::Script answer()
    {
        constexpr int workMs = 3000;
        return [](const HttpRequest &received) -> AnswerSteps {
            const std::string target(received.target());
            if (target == "/resume/flood") {
                return {bytes(streamHead(requestIdOf(received))), flooding(chunk("data: " + std::string(1000, 'x') + "\n\n"))};
            }
            if (target.starts_with("/resume/")) {
                return {bytes(streamHead(requestIdOf(received)) + chunk("id: 1\ndata: a\n\n")), pauseFor(workMs), bytes(lastChunk())};
            }
            if (headerValue(received, "X-Mimosatally-Serving-Stage") == "prefill") {
                return {pauseFor(workMs), bytes(wholeAnswer(requestIdOf(received), R"({"kvHandle":"abc","tokens":9000,"version":1})"))};
            }
            if (target.starts_with("/generate/")) {
                return {bytes(streamHead(requestIdOf(received)) + chunk("id: 1\ndata: a\n\n") + lastChunk())};
            }
            return {pauseFor(workMs), bytes(wholeAnswer(requestIdOf(received), "good"))};
        };
    }

    GatewayFixture fixture;
    std::vector<EndpointStandin *> endpoints;
    std::unique_ptr<CallerConnection> waiting;
    std::unique_ptr<CallerConnection> running;
    std::unique_ptr<CallerConnection> stream;
    std::unique_ptr<CallerConnection> unread;
    std::unique_ptr<CallerConnection> other;
};
} // namespace

// Guards against calls that go on under a key that was taken away, a 401 for a call that has run, and a stream that ends as if it were complete.
TEST_CASE("With strict_revoke, calls in progress end when their key is removed or given to another organisation", "[gateway][organisation]")
{
    const auto *tenants = GENERATE(WITHOUT_KEY, KEY_MOVED);
    CallsInProgress calls(true);
    const Time before = MilliClock::now();
    configure(calls.fixture, 2, tenants);
    const HttpResponse refused = calls.waiting->response();
    CHECK(refused.result_int() == 401);
    CHECK(headerValue(refused, "WWW-Authenticate") == "Bearer");
    CHECK(calls.running->response().result_int() == 502);
    CHECK(calls.stream->readUntilClosed().find("0\r\n\r\n") == std::string::npos);
    calls.fixture.gateway().waitForOutput("version=2 calls=4");
    // The call whose caller does not read.
    calls.fixture.gateway().waitForOutput("request=r4 route=resume organisation=huka270 status=0 reason=key-revoked");
    // revoke_ms is 5,000.
    CHECK(MilliClock::now() - before < Duration(5000));
    CHECK(calls.other->response().body() == "good");
}

// Guards against calls that a new version of the configuration ends although nobody has asked for that.
TEST_CASE("Without strict_revoke, calls in progress go on when their key is removed", "[gateway][organisation]")
{
    CallsInProgress calls(false);
    configure(calls.fixture, 2, WITHOUT_KEY);
    CHECK(calls.waiting->response().result_int() == 200);
    CHECK(calls.running->response().body() == "good");
    CHECK(calls.stream->readUntil("0\r\n\r\n").find("0\r\n\r\n") != std::string::npos);
    CHECK(calls.other->response().body() == "good");
}

// Guards against a change for deployments that have no organisations: their endpoints may authenticate callers themselves.
TEST_CASE("Without organisations the fields of callers are forwarded as they are", "[gateway][organisation]")
{
    GatewayFixture fixture;
    EndpointStandin &endpoint = fixture.addEndpoint("i-1", "plain", answerGood());
    configure(fixture, 1, "");
    fixture.startGateway("strict_revoke = true\n");
    fixture.awaitReady();
    CHECK(fixture.call(request("/safe/x", "r1")).body() == "good");
    CHECK(fixture.call(request("/nowhere/x", "r2")).result_int() == 404);
    REQUIRE(endpoint.arrivals().size() == 1);
    CHECK(headerValue(endpoint.arrivals()[0].request, "Authorization") == std::string("Bearer ") + KEY);
    CHECK(organisationOf(endpoint.arrivals()[0]) == "forged");
}
