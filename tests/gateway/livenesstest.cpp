#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
constexpr const char *ONE_EVENT = "id: 1\ndata: a\n\n";

/// \brief Request whose connection the gateway closes after the answer, so that all of its bytes can be read.
HttpRequest closingRequest(const std::string &target, const std::string &id)
{
    HttpRequest request = GatewayFixture::request(http::verb::post, target, id);
    request.keep_alive(false);
    return request;
}

/// \brief Returns whether the caller takes the answer for complete: a stream with its last chunk, or a plain answer.
bool looksComplete(const std::string &answer)
{
    return answer.find("\r\n0\r\n\r\n") != std::string::npos || (answer.starts_with("HTTP/1.1 200") && answer.find("chunked") == std::string::npos);
}

std::string unframedHead(const std::string &id, bool leaving)
{
    std::string head = unframedStreamHead(id);
    if (leaving) {
        head.insert(head.size() - 2, "Server-Leaving: 1\r\n");
    }
    return head;
}

/// \brief Answer to a report whose process states its start.
std::string reportWithStart(int startedAt)
{
    return wholeAnswer("", R"({"phase":"decode","busy":false,"seqNum":0,"born":)" + std::to_string(startedAt) + "}");
}

/// \brief A gateway before one endpoint, which is registered with the start 5 and sends one event without framing before its last step.
class OneEndpoint
{
public:
    explicit OneEndpoint(const AnswerStep &last, bool leaving = false)
        : endpoint(fixture.addEndpoint("i-1", "plain", [last, leaving](const HttpRequest &request) -> AnswerSteps {
            return {bytes(unframedHead(requestIdOf(request), leaving) + ONE_EVENT), pauseFor(50), last};
        }))
    {
        fixture.configure();
        fixture.startGateway();
        fixture.awaitReady();
    }

    std::string answerTo(const std::string &target)
    {
        return fixture.start(closingRequest(target, "r1"))->readUntilClosed();
    }

    GatewayFixture fixture;
    EndpointStandin &endpoint;
};
} // namespace

// Guards against an accepted connection as proof that the process is there: the system accepts connections for a process that has been killed until its
// listening socket is closed, and all its streams had ended as complete.
TEST_CASE("An unframed answer of a process that is torn down while its listener accepts is not complete", "[gateway][liveness]")
{
    const auto target = GENERATE(as<std::string>(), "/stream/x", "/post/x");
    const auto acceptsForMs = GENERATE(20, 100, 2000);
    OneEndpoint one(tearingDown(acceptsForMs));
    const std::string answer = one.answerTo(target);
    CHECK_FALSE(looksComplete(answer));
    CHECK(answer.starts_with(target == "/post/x" ? "HTTP/1.1 502" : "HTTP/1.1 200"));
}

// Guards against a stream that is cut although it may go on: the endpoint's end shows only at the second connection.
TEST_CASE("An unframed stream of a process that is torn down resumes at another endpoint", "[gateway][liveness]")
{
    GatewayFixture fixture;
    std::atomic<int> arrived = 0;
    std::string resumedAfter;
    for (const char *id : {"i-1", "i-2"}) {
        fixture.addEndpoint(id, "plain", [&](const HttpRequest &request) -> AnswerSteps {
            if (++arrived == 1) {
                return {bytes(unframedStreamHead(requestIdOf(request)) + ONE_EVENT), pauseFor(50), tearingDown(100)};
            }
            resumedAfter = headerValue(request, "Last-Event-Id");
            return {bytes(unframedStreamHead(requestIdOf(request)) + "id: 2\ndata: b\n\n"), closing()};
        });
    }
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    CHECK(fixture.call(GatewayFixture::request(http::verb::post, "/resume/x", "r1")).body() == std::string(ONE_EVENT) + "id: 2\ndata: b\n\n");
    CHECK(resumedAfter == "1");
}

// Guards against a process that starts again at once: it answers, but not for the one whose stream ended.
TEST_CASE("An unframed answer is not complete because another process answers at the endpoint's address", "[gateway][liveness]")
{
    const auto target = GENERATE(as<std::string>(), "/stream/x", "/post/x");
    const auto report = GENERATE(as<std::string>(), reportWithStart(6), rejection(421), wholeAnswer("", "{}", 200, "X-Mimosatally-Instance-Id: i-2\r\n"));
    OneEndpoint one(restarting(report));
    CHECK_FALSE(looksComplete(one.answerTo(target)));
    CHECK(one.endpoint.reports() >= 1);
}

// Guards against whole answers that are cut: a process that still answers has ended them itself, also one that has no reports or refuses the request.
TEST_CASE("An unframed answer is complete if the process that sent it still answers", "[gateway][liveness]")
{
    const auto target = GENERATE(as<std::string>(), "/stream/x", "/post/x");
    const auto report = GENERATE(as<std::string>(), reportWithStart(5), wholeAnswer("", "", 404), rejection(400), rejection(503));
    OneEndpoint one(closing());
    one.endpoint.setReportAnswer(report);
    CHECK(looksComplete(one.answerTo(target)));
    CHECK(one.endpoint.reports() == 1);
}

// Guards against the announcement that an endpoint leaves as proof that its answer is whole: it can be killed within an answer.
TEST_CASE("An unframed answer of an endpoint that leaves is complete only if the endpoint still answers", "[gateway][liveness]")
{
    const auto target = GENERATE(as<std::string>(), "/stream/x", "/post/x");
    const auto [last, answers] = GENERATE(table<AnswerStep, bool>(
        {{crashing(), false}, {tearingDown(100), false}, {tearingDown(2000), false}, {restarting(reportWithStart(6)), false}, {closing(), true}}));
    OneEndpoint one(last, true);
    const std::string answer = one.answerTo(target);
    CHECK(looksComplete(answer) == answers);
    CHECK((answers || answer.starts_with(target == "/post/x" ? "HTTP/1.1 502" : "HTTP/1.1 200")));
}

// Guards against the same at an endpoint that resets connections because it has too many, and if packets are lost.
TEST_CASE("A request without an answer is repeated before an unframed answer counts as cut off", "[gateway][liveness]")
{
    const auto isReset = GENERATE(true, false);
    OneEndpoint one(closing());
    const auto caller = one.fixture.start(closingRequest("/stream/x", "r1"));
    waitUntil("the stream has begun", [&] {
        return one.endpoint.arrivals().size() == 1;
    });
    if (isReset) {
        one.endpoint.resetNext(2);
    } else {
        one.endpoint.ignoreNext(1);
    }
    CHECK(looksComplete(caller->readUntilClosed()));
}

// Guards against one request for each stream: all streams of an endpoint can end together.
TEST_CASE("Unframed streams of one endpoint that end together share a request", "[gateway][liveness]")
{
    constexpr std::size_t streams = 20;
    GatewayFixture fixture;
    EndpointStandin &endpoint = fixture.addEndpoint("i-1", "plain", [](const HttpRequest &request) -> AnswerSteps {
        return {bytes(unframedStreamHead(requestIdOf(request)) + ONE_EVENT), untilClosed()};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    std::vector<std::unique_ptr<CallerConnection>> callers;
    for (std::size_t i = 0; i < streams; ++i) {
        callers.push_back(fixture.start(closingRequest("/stream/x", "r" + std::to_string(i))));
    }
    waitUntil("all streams have begun", [&] {
        return endpoint.arrivals().size() == streams;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    fixture.onStandins([&] {
        endpoint.closeConnections();
    });
    for (const auto &caller : callers) {
        CHECK(looksComplete(caller->readUntilClosed()));
    }
    CHECK(endpoint.reports() <= 3);
}

// Guards against requests to an endpoint that has asked for none (Retry-After).
TEST_CASE("An endpoint that has asked for a pause gets no request for the proof of an answer", "[gateway][liveness]")
{
    GatewayFixture fixture;
    EndpointStandin &endpoint = fixture.addEndpoint("i-1", "plain", [](const HttpRequest &request) -> AnswerSteps {
        if (requestIdOf(request) == "busy") {
            return {bytes("HTTP/1.1 503 X\r\nX-Mimosatally-Not-Executed: 1\r\nRetry-After: 5\r\nContent-Length: 0\r\n\r\n")};
        }
        return {bytes(unframedStreamHead(requestIdOf(request)) + ONE_EVENT), pauseFor(500), closing()};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    const auto caller = fixture.start(closingRequest("/stream/x", "r1"));
    waitUntil("the stream has begun", [&] {
        return endpoint.arrivals().size() == 1;
    });
    CHECK(fixture.call(GatewayFixture::request(http::verb::post, "/post/x", "busy")).result_int() == 503);
    CHECK_FALSE(looksComplete(caller->readUntilClosed()));
    CHECK(endpoint.reports() == 0);
}
