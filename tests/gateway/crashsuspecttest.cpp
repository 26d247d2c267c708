#include "gatewaygroup.h"

#include <catch2/catch.hpp>

#include <functional>
#include <utility>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
constexpr const char *FIRST_PART = "a1:100";
constexpr const char *BAD_PART = "bad:50";

constexpr const char *BAD_TARGET = "/safe/bad";

/// \brief Endpoints that crash on a request with the bad part or to the bad target, and a new one for each that has ended.
class CrashingEndpoints
{
public:
    /// \param answer what an endpoint sends before it crashes.
    CrashingEndpoints(GatewayFixture &fixture, int count, std::function<std::string(const std::string &requestId)> answer = {})
        : fixture_(fixture)
        , answer_(std::move(answer))
    {
        for (int i = 0; i < count; ++i) {
            add();
        }
    }

    /// \brief Number of bad requests that have reached endpoints.
    [[nodiscard]] int badArrivals() const
    {
        return crashes_;
    }

    /// \brief Removes the entries of endpoints that have crashed, starts a new one, with a new id and address, for each, and waits until the gateways
    /// can know them.
    void replaceEnded()
    {
        const std::set<std::string> ended = fixture_.onStandins([this] {
            return std::exchange(ended_, {});
        });
        for (const std::string &id : ended) {
            fixture_.onStandins([&] {
                fixture_.store().put("keyed.servers", id, "");
            });
            add();
        }
        constexpr auto noticeTime = std::chrono::milliseconds(1300);
        std::this_thread::sleep_for(ended.empty() ? std::chrono::milliseconds(0) : noticeTime);
    }

    static constexpr int COUNT = 3;

private:
    void add()
    {
        const std::string id = "i-" + std::to_string(++started_);
        fixture_.addEndpoint(id, "plain", [this, id](const HttpRequest &request) -> AnswerSteps {
            if (headerValue(request, "X-Mimosatally-Prefix-Hash").find(BAD_PART) != std::string::npos || request.target() == BAD_TARGET) {
                ++crashes_;
                ended_.insert(id);
                return answer_ ? AnswerSteps {bytes(answer_(requestIdOf(request))), pauseFor(20), crashing()} : AnswerSteps {pauseFor(20), crashing()};
            }
            if (request.target().starts_with("/safe/")) {
                return {bytes(wholeAnswer(requestIdOf(request), "good"))};
            }
            return {bytes(streamHead(requestIdOf(request)) + chunk("id: 1\ndata: a\n\n") + lastChunk())};
        });
    }

    GatewayFixture &fixture_;
    std::function<std::string(const std::string &)> answer_;
    int started_ = 0;
    /// \brief Crashed since the last replacement; used on the thread of the stand-ins.
    std::set<std::string> ended_;
    std::atomic<int> crashes_ = 0;
};

/// \brief Sends a streaming request whose prompt has the first part, \a part unless it is empty, and a part of its own.
/// \return status 0 if the answer was cut off.
HttpResponse send(const GatewayGroup &group, const std::string &part, int number)
{
    HttpRequest request = GatewayFixture::request(http::verb::post, "/resume/x", "r" + std::to_string(number));
    const std::string shared = std::string(FIRST_PART) + (part.empty() ? "" : "," + part);
    request.set("X-Mimosatally-Prefix-Hash", shared + ",f" + std::to_string(number) + ":10");
    CallerConnection connection(group.callerAddress(static_cast<std::size_t>(number) % group.size()));
    connection.send(std::move(request));
    try {
        return connection.response();
    } catch (const boost::system::system_error &) {
        HttpResponse cutOff;
        cutOff.result(0);
        return cutOff;
    }
}

/// \brief Beginning of a stream with \a count events.
std::string eventsOf(const std::string &requestId, int count)
{
    std::string answer = streamHead(requestId);
    for (int i = 1; i <= count; ++i) {
        answer += chunk("id: " + std::to_string(i) + "\ndata: a\n\n");
    }
    return answer;
}

/// \brief Checks that requests with the bad part reach endpoints at most three times later than the contact time after five crashes, and that sound requests
/// are answered. \return the numbers of requests with the part that reached endpoints before and after.
std::pair<int, int> checkBadPartStops(GatewayFixture &fixture, CrashingEndpoints &endpoints)
{
    GatewayGroup group(fixture, 2);
    group.awaitPeers();
    int number = 0;
    for (int i = 0; i < 10; ++i) {
        CHECK(send(group, "", ++number).result_int() == 200);
    }
    constexpr int maxCrashes = 5;
    for (int i = 0; i < 10 && endpoints.badArrivals() < maxCrashes; ++i) {
        CHECK(send(group, BAD_PART, ++number).result_int() != 200);
        endpoints.replaceEnded();
    }
    constexpr auto contact = std::chrono::milliseconds(4000);
    std::this_thread::sleep_for(contact);
    const int before = endpoints.badArrivals();
    for (int i = 0; i < 10; ++i) {
        CHECK(send(group, BAD_PART, ++number).result_int() != 200);
        endpoints.replaceEnded();
        CHECK(send(group, "", ++number).result_int() == 200);
    }
    constexpr int allowedAfterContact = 3;
    CHECK(endpoints.badArrivals() - before <= allowedAfterContact);
    return {before, endpoints.badArrivals() - before};
}

/// \brief Sends a plain request without prompt to one of the gateways in turn.
HttpResponse sendPlain(const GatewayGroup &group, const std::string &target, int number)
{
    CallerConnection connection(group.callerAddress(static_cast<std::size_t>(number) % group.size()));
    connection.send(GatewayFixture::request(http::verb::get, target, "p" + std::to_string(number)));
    return connection.response();
}
} // namespace

// Guards against a request of a plain service that ends each endpoint that runs it, and that its caller sends again and again to any gateway: crashes were
// counted only against parts of prompts, which such a request does not have.
TEST_CASE("A request that crashes endpoints reaches them at most three times more once three have ended", "[gateway][crash]")
{
    GatewayFixture fixture;
    CrashingEndpoints endpoints(fixture, CrashingEndpoints::COUNT);
    fixture.configure();
    GatewayGroup group(fixture, 3);
    group.awaitPeers();
    int number = 0;
    constexpr int crashes = 3;
    for (int i = 0; i < 10 && endpoints.badArrivals() < crashes; ++i) {
        CHECK(sendPlain(group, BAD_TARGET, ++number).result_int() != 200);
        endpoints.replaceEnded();
    }
    constexpr auto contact = std::chrono::milliseconds(4000);
    std::this_thread::sleep_for(contact);
    const int before = endpoints.badArrivals();
    for (int i = 0; i < 9; ++i) {
        CHECK(sendPlain(group, BAD_TARGET, ++number).result_int() != 200);
        endpoints.replaceEnded();
        CHECK(sendPlain(group, "/safe/x", ++number).result_int() == 200);
    }
    constexpr int allowedAfterContact = 3;
    CHECK(endpoints.badArrivals() - before <= allowedAfterContact);
    WARN(before << " bad requests reached endpoints first, " << endpoints.badArrivals() - before << " later");
}

// Guards against requests with one part in their prompts that end endpoint after endpoint: each gateway took a crash for the fault of the endpoint
// and sent the next such request to the next one. Sound requests with the same first part go on.
TEST_CASE("Requests with a part that crashes endpoints no longer reach them after five crashes", "[gateway][crash]")
{
    GatewayFixture fixture;
    CrashingEndpoints endpoints(fixture, CrashingEndpoints::COUNT);
    fixture.configure();
    const auto [before, after] = checkBadPartStops(fixture, endpoints);
    WARN(before << " requests with the part reached endpoints first, " << after << " later");
}

// Guards against a part that ends each endpoint after it has begun to write: a crash counted only if no event had come, so no gateway ever blamed the part, and
// nearly all endpoints were down.
TEST_CASE("Requests with a part that crashes endpoints after their first event no longer reach them", "[gateway][crash]")
{
    GatewayFixture fixture;
    CrashingEndpoints endpoints(fixture, CrashingEndpoints::COUNT, [](const std::string &id) {
        return eventsOf(id, 1);
    });
    fixture.configure();
    const auto [before, after] = checkBadPartStops(fixture, endpoints);
    WARN(before << " requests with the part reached endpoints first, " << after << " later");
}

// Guards against the same crash further on in the answer, and within an event.
TEST_CASE("Requests with a part that crashes endpoints within a later event no longer reach them", "[gateway][crash]")
{
    GatewayFixture fixture;
    CrashingEndpoints endpoints(fixture, CrashingEndpoints::COUNT, [](const std::string &id) {
        constexpr int events = 12;
        return eventsOf(id, events) + chunk("id: 13\nda");
    });
    fixture.configure();
    const auto [before, after] = checkBadPartStops(fixture, endpoints);
    WARN(before << " requests with the part reached endpoints first, " << after << " later");
}

// Guards against sound callers that are refused because connections are reset or endpoints leave: neither is a crash.
TEST_CASE("Resets of connections and endpoints that leave make no part suspected", "[gateway][crash]")
{
    const auto leaves = GENERATE(false, true);
    GatewayFixture fixture;
    std::atomic<int> failing = 0;
    const auto script = [&failing, leaves](const HttpRequest &request) -> AnswerSteps {
        if (failing > 0) {
            --failing;
            return leaves ? AnswerSteps {bytes("HTTP/1.1 200 OK\r\nX-Mimosatally-Request-Id: " + requestIdOf(request)
                                               + "\r\nX-Mimosatally-Response-Seal: s\r\nServer-Leaving: 1\r\nContent-Length: 9\r\n\r\n"),
                                         pauseFor(20),
                                         crashing()}
                          : AnswerSteps {pauseFor(20), resetting()};
        }
        return {bytes(streamHead(requestIdOf(request)) + chunk("id: 1\ndata: a\n\n") + lastChunk())};
    };
    constexpr int count = 6;
    for (int i = 1; i <= count; ++i) {
        fixture.addEndpoint("i-" + std::to_string(i), "plain", script);
    }
    fixture.configure();
    GatewayGroup group(fixture, 1);
    for (int number = 1; number < count; ++number) {
        failing = 1;
        CHECK(send(group, "b1:50", number).result_int() != 503);
    }
    failing = 0;
    CHECK(send(group, "b1:50", count).result_int() == 200);
    CHECK_FALSE(group.gateway(0).hasOutput("PromptPartBlocked"));
}

// Guards against a part that is blocked without a trace for the people on call: log, metrics and the line of a refused call name it.
TEST_CASE("A blocked part is named in the log, the metrics and the line of a refused call", "[gateway][crash]")
{
    GatewayFixture fixture;
    CrashingEndpoints endpoints(fixture, CrashingEndpoints::COUNT + 1);
    fixture.configure();
    GatewayGroup group(fixture, 1);
    constexpr int crashes = 3;
    for (int number = 1; number <= crashes; ++number) {
        CHECK(send(group, BAD_PART, number).result_int() == 502);
    }
    const HttpResponse refused = send(group, BAD_PART, crashes + 1);
    CHECK(refused.result_int() == 503);
    CHECK(std::stod(headerValue(refused, "Retry-After")) >= 25);
    group.gateway(0).waitForOutput("PromptPartBlocked");
    group.gateway(0).waitForOutput("reason=crash-suspect");
    waitUntil("the metrics name the part", [&] {
        return get(group.metricsAddress(0), "/metrics").body().find("mimosatally_blocked_part_crashes{part=\"bad\"} 3") != std::string::npos;
    });
}
