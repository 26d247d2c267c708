#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;
using Clock = std::chrono::steady_clock;

namespace
{
EndpointStandin::Script alwaysAnswer(const std::string &body)
{
    return [body](const HttpRequest &request) -> AnswerSteps {
        return {bytes(wholeAnswer(requestIdOf(request), body))};
    };
}

/// \brief Answers the first request by \a first and every other one successfully.
EndpointStandin::Script firstThenSuccess(std::function<AnswerSteps(const HttpRequest &)> first)
{
    return [first, count = std::make_shared<int>(0)](const HttpRequest &request) -> AnswerSteps {
        return ++*count == 1 ? first(request) : AnswerSteps {bytes(wholeAnswer(requestIdOf(request), "good"))};
    };
}

double millisecondsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}
} // namespace

TEST_CASE("An endpoint's answer reaches the caller unchanged", "[gateway]")
{
    GatewayFixture fixture;
    EndpointStandin &endpoint = fixture.addEndpoint("i-1", "plain", [](const HttpRequest &request) -> AnswerSteps {
        return {bytes(wholeAnswer(requestIdOf(request), "answer", 201, "X-Own: kept\r\nKeep-Alive: timeout=9\r\n"))};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    HttpRequest request = GatewayFixture::request(http::verb::post, "/post/x?y=z", "r1");
    request.set("X-Mimosatally-Kv-Hold", "forged");
    const HttpResponse response = fixture.call(request);
    CHECK(response.result_int() == 201);
    CHECK(response.body() == "answer");
    CHECK(headerValue(response, "X-Mimosatally-Response-Seal") == "seal-r1");
    CHECK(headerValue(response, "X-Own") == "kept");
    CHECK(headerValue(response, "Keep-Alive").empty());
    const std::vector<Arrival> arrivals = endpoint.arrivals();
    REQUIRE(arrivals.size() == 1);
    CHECK(arrivals[0].request.target() == "/post/x?y=z");
    CHECK(arrivals[0].request.body() == "body");
    CHECK(headerValue(arrivals[0].request, "X-Mimosatally-Target-Instance") == "i-1");
    CHECK(headerValue(arrivals[0].request, "X-Mimosatally-Kv-Hold").empty());
    CHECK(std::stoi(headerValue(arrivals[0].request, "X-Mimosatally-Request-Deadline")) <= 3000);
}

// Guards against calls that are sent although their callers have disconnected: after a stall of half a second, the process reads requests together
// with the closes of their connections. Five such calls reached engines in one day of the bench, since a close was noticed only after sending.
TEST_CASE("Calls whose callers disconnected while the process was stalled reach no endpoint", "[gateway]")
{
    GatewayFixture fixture;
    EndpointStandin &endpoint = fixture.addEndpoint("i-1", "plain", alwaysAnswer("answer"));
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    CHECK(fixture.call(GatewayFixture::request(http::verb::get, "/safe/x", "r0")).body() == "answer");
    constexpr int callers = 20;
    std::vector<std::unique_ptr<CallerConnection>> connections;
    for (int caller = 0; caller < callers; ++caller) {
        connections.push_back(fixture.start(GatewayFixture::request(http::verb::get, "/safe/x", "before" + std::to_string(caller))));
        connections.back()->response();
    }
    fixture.gateway().send(SIGSTOP);
    for (int caller = 0; caller < callers; ++caller) {
        connections.at(caller)->send(GatewayFixture::request(http::verb::get, "/safe/x", "left" + std::to_string(caller)));
        connections.at(caller)->close();
    }
    fixture.gateway().send(SIGCONT);
    CHECK(fixture.call(GatewayFixture::request(http::verb::get, "/safe/x", "after")).body() == "answer");
    for (const Arrival &arrival : endpoint.arrivals()) {
        CHECK(requestIdOf(arrival.request).find("left") == std::string::npos);
    }
    fixture.gateway().waitForOutput("GatewayCallerGone");
}

// Guards against running a non-idempotent call twice, and against reporting "not run" without proof.
TEST_CASE("A call that may run once only is not sent again after a reset", "[gateway]")
{
    GatewayFixture fixture;
    int arrived = 0;
    for (const char *id : {"i-1", "i-2"}) {
        fixture.addEndpoint(id, "plain", [&arrived](const HttpRequest &) -> AnswerSteps {
            ++arrived;
            return {resetting()};
        });
    }
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    const HttpResponse response = fixture.call(GatewayFixture::request(http::verb::post, "/post/x", "r1"));
    CHECK(response.result_int() == 502);
    CHECK(arrived == 1);
}

TEST_CASE("An idempotent call goes to another endpoint after a reset", "[gateway]")
{
    GatewayFixture fixture;
    std::atomic<int> arrived = 0;
    for (const char *id : {"i-1", "i-2"}) {
        fixture.addEndpoint(id, "plain", [&arrived](const HttpRequest &request) -> AnswerSteps {
            return ++arrived == 1 ? AnswerSteps {resetting()} : AnswerSteps {bytes(wholeAnswer(requestIdOf(request), "second"))};
        });
    }
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    const HttpResponse response = fixture.call(GatewayFixture::request(http::verb::get, "/safe/x", "r1"));
    CHECK(response.result_int() == 200);
    CHECK(response.body() == "second");
}

// Guards against refusing a call that another endpoint could serve, and against a false "not run" after it.
TEST_CASE("A call that was provably not run goes to another endpoint", "[gateway]")
{
    GatewayFixture fixture;
    std::atomic<int> arrived = 0;
    for (const char *id : {"i-1", "i-2"}) {
        fixture.addEndpoint(id, "plain", [&arrived](const HttpRequest &request) -> AnswerSteps {
            return ++arrived == 1 ? AnswerSteps {bytes(rejection())} : AnswerSteps {bytes(wholeAnswer(requestIdOf(request), "second"))};
        });
    }
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    CHECK(fixture.call(GatewayFixture::request(http::verb::post, "/post/x", "r1")).body() == "second");
}

TEST_CASE("A call that all endpoints reject is refused as not run, with a retry delay", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", [](const HttpRequest &) -> AnswerSteps {
        return {bytes(rejection(421))};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    const HttpResponse response = fixture.call(GatewayFixture::request(http::verb::post, "/post/x", "r1"));
    CHECK(response.result_int() == 503);
    CHECK(std::stod(headerValue(response, "Retry-After")) > 0);
    CHECK(headerValue(response, "X-Mimosatally-Response-Seal").empty());
}

// Guards against delivering a second answer to the next caller whose request is sent on the same connection.
TEST_CASE("A second answer to the same request is not delivered", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", firstThenSuccess([](const HttpRequest &request) -> AnswerSteps {
                            const std::string answer = wholeAnswer(requestIdOf(request), "first");
                            return {bytes(answer + answer)};
                        }));
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    CHECK(fixture.call(GatewayFixture::request(http::verb::get, "/safe/x", "r1")).body() == "first");
    CHECK(fixture.call(GatewayFixture::request(http::verb::get, "/safe/x", "r2")).body() == "good");
}

// Guards against delivering a late answer as the answer to the next request.
TEST_CASE("A late answer to an earlier request is skipped", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", [](const HttpRequest &request) -> AnswerSteps {
        return {bytes(wholeAnswer("another", "wrong") + wholeAnswer(requestIdOf(request), "right"))};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    CHECK(fixture.call(GatewayFixture::request(http::verb::post, "/post/x", "r1")).body() == "right");
}

// Guards against truncated answers that look complete.
TEST_CASE("An answer that is cut off is not delivered as complete", "[gateway]")
{
    const auto broken = GENERATE(as<std::string>(), "length", "reset", "seal", "chunk", "nonsense");
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", [broken](const HttpRequest &request) -> AnswerSteps {
        const std::string id = requestIdOf(request);
        if (broken == "length") {
            return {bytes("HTTP/1.1 200 OK\r\nX-Mimosatally-Request-Id: " + id + "\r\nX-Mimosatally-Response-Seal: s\r\nContent-Length: 50\r\n\r\nhalf"),
                    closing()};
        }
        if (broken == "reset") {
            return {bytes("HTTP/1.1 200 OK\r\nX-Mimosatally-Request-Id: " + id + "\r\nX-Mimosatally-Response-Seal: s\r\n\r\nhalf"), pauseFor(50), resetting()};
        }
        if (broken == "seal") {
            return {bytes("HTTP/1.1 200 OK\r\nX-Mimosatally-Request-Id: " + id + "\r\nContent-Length: 2\r\n\r\nok")};
        }
        if (broken == "chunk") {
            return {bytes(streamHead(id) + chunk("half")), closing()};
        }
        return {bytes("nothing of the protocol\r\n\r\n"), closing()};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    CHECK(fixture.call(GatewayFixture::request(http::verb::post, "/post/x", "r1")).result_int() == 502);
}

TEST_CASE("An answer without a length that ends with its connection is complete", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", [](const HttpRequest &request) -> AnswerSteps {
        return {bytes("HTTP/1.1 200 OK\r\nX-Mimosatally-Request-Id: " + requestIdOf(request) + "\r\nX-Mimosatally-Response-Seal: s\r\n\r\nwhole"), closing()};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    CHECK(fixture.call(GatewayFixture::request(http::verb::post, "/post/x", "r1")).body() == "whole");
}

// Guards against joining the output of two runs at the wrong position, and against partial events.
TEST_CASE("A stream that is interrupted within an event resumes at another endpoint after the last complete event", "[gateway]")
{
    GatewayFixture fixture;
    std::atomic<int> arrived = 0;
    std::string resumedAfter;
    for (const char *id : {"i-1", "i-2"}) {
        fixture.addEndpoint(id, "plain", [&](const HttpRequest &request) -> AnswerSteps {
            const std::string requestId = requestIdOf(request);
            if (++arrived == 1) {
                return {bytes(streamHead(requestId, "one") + chunk("id: 1\ndata: a\n\nid: 2\nda")), pauseFor(50), resetting()};
            }
            resumedAfter = headerValue(request, "Last-Event-Id");
            return {bytes(streamHead(requestId, "two") + chunk("id: 2\ndata: b\n\n") + lastChunk())};
        });
    }
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    const HttpResponse response = fixture.call(GatewayFixture::request(http::verb::post, "/resume/x", "r1"));
    CHECK(response.body() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(headerValue(response, "X-Mimosatally-Response-Seal") == "one");
    CHECK(resumedAfter == "1");
}

TEST_CASE("A stream that may not be resumed is cut off without a partial event", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", [](const HttpRequest &request) -> AnswerSteps {
        return {bytes(streamHead(requestIdOf(request)) + chunk("id: 1\ndata: a\n\nid: 2\nda")), pauseFor(50), closing()};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    const std::string text = fixture.start(GatewayFixture::request(http::verb::post, "/stream/x", "r1"))->readUntilClosed();
    CHECK(text.find("data: a") != std::string::npos);
    CHECK(text.find("id: 2") == std::string::npos);
    CHECK(text.find("\r\n0\r\n") == std::string::npos);
}

// Guards against buffering events until the end of their stream.
TEST_CASE("Events are passed on as they arrive", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", [](const HttpRequest &request) -> AnswerSteps {
        return {bytes(streamHead(requestIdOf(request)) + chunk("id: 1\ndata: a\n\n")), untilClosed()};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    const auto caller = fixture.start(GatewayFixture::request(http::verb::post, "/stream/x", "r1"));
    CHECK(caller->readUntil("data: a").find("HTTP/1.1 200") == 0);
}

// Guards against endpoints that go on working for callers that have disconnected.
TEST_CASE("The work at the endpoint ends when the caller disconnects", "[gateway]")
{
    GatewayFixture fixture;
    EndpointStandin &endpoint = fixture.addEndpoint("i-1", "plain", [](const HttpRequest &) -> AnswerSteps {
        return {untilClosed()};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    const auto caller = fixture.start(GatewayFixture::request(http::verb::post, "/stream/x", "r1"));
    waitUntil("the call arrived", [&] {
        return endpoint.arrivals().size() == 1;
    });
    const auto disconnected = Clock::now();
    caller->close();
    waitUntil("the endpoint saw the disconnect", [&] {
        return endpoint.abandoned() == 1;
    });
    CHECK(millisecondsSince(disconnected) < 500);
}

// Guards against calls that get no answer when the route's timeout passes.
TEST_CASE("A call that is not answered in time gets its final answer at the route's timeout", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", [](const HttpRequest &) -> AnswerSteps {
        return {untilClosed()};
    });
    fixture.configure(1, 400);
    fixture.startGateway();
    fixture.awaitReady();
    const auto sent = Clock::now();
    const HttpResponse response = fixture.call(GatewayFixture::request(http::verb::post, "/post/x", "r1"));
    CHECK(response.result_int() == 504);
    CHECK(millisecondsSince(sent) >= 390);
    CHECK(millisecondsSince(sent) < 900);
}

TEST_CASE("Calls without an id or with an unreadable deadline are rejected as malformed", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", alwaysAnswer("x"));
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    HttpRequest noId = GatewayFixture::request(http::verb::get, "/safe/x", "r1");
    noId.erase("X-Mimosatally-Request-Id");
    CHECK(fixture.call(noId).result_int() == 400);
    HttpRequest badDeadline = GatewayFixture::request(http::verb::get, "/safe/x", "r1");
    badDeadline.set("X-Mimosatally-Request-Deadline", "soon");
    CHECK(fixture.call(badDeadline).result_int() == 400);
}

// Guards against requests that reach a leaving endpoint later than it allows, after it has announced in an answer that it is leaving. Its
// entry in the store stays ready here, as it does while the store is unreachable.
TEST_CASE("An endpoint that announces in an answer that it leaves gets no further call", "[gateway]")
{
    GatewayFixture fixture;
    EndpointStandin &leaving = fixture.addEndpoint("i-1", "plain", [](const HttpRequest &request) -> AnswerSteps {
        return {bytes(wholeAnswer(requestIdOf(request), "last", 200, "Server-Leaving: 1\r\n"))};
    });
    EndpointStandin &staying = fixture.addEndpoint("i-2", "plain", alwaysAnswer("good"));
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    constexpr int calls = 30;
    for (int call = 0; call < calls; ++call) {
        CHECK(fixture.call(GatewayFixture::request(http::verb::get, "/safe/x", "r" + std::to_string(call))).result_int() == 200);
    }
    CHECK(leaving.arrivals().size() <= 1);
    CHECK(staying.arrivals().size() >= calls - 1);
}

// Guards against calls to an endpoint within the pause that it asked for with Retry-After. It is the only endpoint, so calls are refused.
TEST_CASE("An endpoint that rejected a call with a pause gets no call until the pause ends", "[gateway]")
{
    GatewayFixture fixture;
    EndpointStandin &endpoint =
        fixture.addEndpoint("i-1", "plain", firstThenSuccess([](const HttpRequest &) -> AnswerSteps {
                                return {bytes("HTTP/1.1 503 X\r\nX-Mimosatally-Not-Executed: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n")};
                            }));
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    const Clock::time_point start = Clock::now();
    CHECK(fixture.call(GatewayFixture::request(http::verb::get, "/safe/x", "first")).result_int() == 503);
    for (int call = 0; call < 10; ++call) {
        const HttpResponse refused = fixture.call(GatewayFixture::request(http::verb::get, "/safe/x", "r" + std::to_string(call)));
        CHECK(refused.result_int() == 503);
        CHECK(std::stod(headerValue(refused, "Retry-After")) <= 1);
    }
    REQUIRE(millisecondsSince(start) < 900);
    CHECK(endpoint.arrivals().size() == 1);
    std::this_thread::sleep_for(std::chrono::milliseconds(1100));
    CHECK(fixture.call(GatewayFixture::request(http::verb::get, "/safe/x", "after")).body() == "good");
}

// Guards against a refusal that an endpoint writes again on a kept connection: its caller would be told "not run" for a call that the endpoint runs,
// or the call would run at a second endpoint.
TEST_CASE("A refusal that is written again is not taken for the answer to a later call", "[gateway]")
{
    const auto idOfCopy = GENERATE(as<std::string>(), "earlier", "none");
    const auto place = GENERATE(as<std::string>(), "before", "after", "late");
    GatewayFixture fixture;
    std::atomic<int> runs = 0;
    EndpointStandin &endpoint = fixture.addEndpoint("i-1", "plain", [&, idOfCopy, place](const HttpRequest &request) -> AnswerSteps {
        const auto refusal = [](const std::string &id) {
            return "HTTP/1.1 503 X\r\nX-Mimosatally-Not-Executed: 1\r\n" + (id.empty() ? "" : "X-Mimosatally-Request-Id: " + id + "\r\n")
                   + "Content-Length: 0\r\n\r\n";
        };
        const std::string id = requestIdOf(request);
        const std::string copy = refusal(idOfCopy == "none" ? "" : "r1");
        if (id == "r1") {
            // The copy arrives while the connection is idle.
            return place == "late" ? AnswerSteps {bytes(refusal(id)), pauseFor(100), bytes(copy)} : AnswerSteps {bytes(refusal(id))};
        }
        ++runs;
        const std::string answer = wholeAnswer(id, "good " + id);
        if (id == "r2" && place == "before") {
            return {bytes(copy), pauseFor(50), bytes(answer)};
        }
        if (id == "r2" && place == "after") {
            return {bytes(answer), pauseFor(50), bytes(copy)};
        }
        return {bytes(answer)};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    CHECK(fixture.call(GatewayFixture::request(http::verb::post, "/post/x", "r1")).result_int() == 503);
    std::this_thread::sleep_for(std::chrono::milliseconds(place == "late" ? 200 : 0));
    for (const char *id : {"r2", "r3", "r4"}) {
        const HttpResponse response = fixture.call(GatewayFixture::request(http::verb::post, "/post/x", id));
        CHECK(response.result_int() == 200);
        CHECK(response.body() == std::string("good ") + id);
    }
    CHECK(runs == 3);
    CHECK(std::ranges::count_if(endpoint.arrivals(),
                                [](const Arrival &arrival) {
                                    return requestIdOf(arrival.request) == "r1";
                                })
          == 1);
}
