#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: part " + std::to_string(id) + "\n\n";
}

/// \brief Returns whether a chunked answer has its last chunk.
bool looksComplete(const std::string &answer)
{
    return answer.find("\r\n0\r\n") != std::string::npos;
}

HttpRequest streamRequest(const std::string &target, const std::string &id, unsigned version = 11)
{
    constexpr int deadlineMs = 20'000;
    HttpRequest request = GatewayFixture::request(http::verb::post, target, id, deadlineMs);
    request.version(version);
    request.keep_alive(false);
    return request;
}

AnswerStep breakingOff(const std::string &how)
{
    if (how == "crash") {
        return crashing();
    }
    return how == "reset" ? resetting() : closing();
}

/// \brief Begins a stream of four events, one in each chunk, and breaks it off between two chunks; continues it after the request's last event.
EndpointStandin::Script breaksBetweenChunks(const std::string &how, int writtenEvents)
{
    return [how, writtenEvents](const HttpRequest &request) -> AnswerSteps {
        constexpr int lastOfStream = 4;
        const std::string resumedAfter = headerValue(request, "Last-Event-Id");
        const int first = resumedAfter.empty() ? 1 : std::stoi(resumedAfter) + 1;
        AnswerSteps steps = {bytes(streamHead(requestIdOf(request)))};
        for (int id = first; id <= (resumedAfter.empty() ? writtenEvents : lastOfStream); ++id) {
            steps.push_back(bytes(chunk(event(id))));
            steps.push_back(pauseFor(20));
        }
        steps.push_back(resumedAfter.empty() ? breakingOff(how) : bytes(lastChunk()));
        return steps;
    };
}
} // namespace

namespace
{
/// \brief Sends \a signal to the gateway when the first event of a stream has reached a caller of HTTP/1.1 or 1.0, and checks that the stream does not look
/// complete.
void checkCutBy(int signal, unsigned version)
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", [](const HttpRequest &request) -> AnswerSteps {
        return {bytes(streamHead(requestIdOf(request)) + chunk(event(1))), pauseFor(8000), bytes(chunk(event(2)) + lastChunk())};
    });
    fixture.configure(1, 20'000);
    fixture.startGateway();
    fixture.awaitReady();
    const auto caller = fixture.start(streamRequest("/stream/x", "r1", version));
    caller->readUntil(event(1));
    fixture.gateway().send(signal);
    const std::string rest = caller->readUntilClosed();
    CHECK(rest.find(event(2)) == std::string::npos);
    CHECK_FALSE(looksComplete("\r\n" + rest));
    // A caller of HTTP/1.0 sees no chunks, so only a reset differs from the end of the answer.
    CHECK((version != 10 || caller->wasReset()));
}
} // namespace

// Guards against a stream that is still running when the gateway ends and that its caller takes for complete: after the grace time of a planned stop, and when
// the process is killed.
TEST_CASE("A stream that the gateway's own end cuts off never ends as complete", "[gateway][cut]")
{
    const auto [signal, version] = GENERATE(table<int, unsigned>({{SIGTERM, 11U}, {SIGTERM, 10U}, {SIGKILL, 11U}}));
    CAPTURE(signal, version);
    checkCutBy(signal, version);
}

// Guards against the same for a caller of HTTP/1.0: the end of a killed process closes the connection in an orderly way, like the end of the stream.
TEST_CASE("A stream to a caller of HTTP/1.0 ends with a reset when the gateway is killed", "[gateway][cut]")
{
    checkCutBy(SIGKILL, 10);
}

// Guards against a stream that its endpoint breaks off between two chunks, where neither an event nor a chunk is partial, and that ends as complete.
TEST_CASE("A chunked stream whose endpoint closes between two chunks is cut", "[gateway][cut]")
{
    const auto how = GENERATE(as<std::string>(), "close", "reset", "crash");
    const auto target = GENERATE(as<std::string>(), "/stream/x", "/resume/x");
    const int written = GENERATE(1, 3, 4);
    CAPTURE(how, target, written);
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", breaksBetweenChunks(how, written));
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    const std::string answer = fixture.start(streamRequest(target, "r1"))->readUntilClosed();
    const bool goesOn = target == "/resume/x" && looksComplete(answer);
    CHECK(answer.find(event(written)) != std::string::npos);
    // A resumed stream may end complete, but only with its last event.
    CHECK((!goesOn || answer.find(event(4)) != std::string::npos));
    CHECK((goesOn || !looksComplete(answer)));
}

// Guards against the same where the stream may be resumed: an event that is missing at the place where it broke off, or comes twice.
TEST_CASE("A chunked stream whose endpoint closes between two chunks resumes with the next event", "[gateway][cut]")
{
    const auto how = GENERATE(as<std::string>(), "close", "reset", "crash");
    const int written = GENERATE(1, 3, 4);
    CAPTURE(how, written);
    GatewayFixture fixture;
    for (const char *id : {"i-1", "i-2"}) {
        fixture.addEndpoint(id, "plain", breaksBetweenChunks(how, written));
    }
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    CHECK(fixture.call(streamRequest("/resume/x", "r1")).body() == event(1) + event(2) + event(3) + event(4));
}

// Guards against a stream that is judged by the reads in which it arrives: events and chunks that arrive in one read, and each cut into two reads.
TEST_CASE("A chunked stream of several events is delivered whole at whatever byte its reads are cut", "[gateway][cut]")
{
    const std::string stream = event(1) + event(2) + event(3);
    const std::string head = streamHead("r0");
    const std::string framed = head + chunk(event(1) + event(2).substr(0, 5)) + chunk(event(2).substr(5)) + chunk(event(3)) + lastChunk();
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", [&framed](const HttpRequest &request) -> AnswerSteps {
        const std::size_t cut = std::stoul(headerValue(request, "Test-Cut"));
        std::string answer = framed;
        answer.replace(answer.find("r0"), 2, requestIdOf(request));
        return {bytes(answer.substr(0, cut)), pauseFor(3), bytes(answer.substr(cut))};
    });
    fixture.configure();
    fixture.startGateway();
    fixture.awaitReady();
    CallerConnection caller(fixture.callerAddress());
    for (std::size_t cut = 1; cut < framed.size(); ++cut) {
        HttpRequest request = GatewayFixture::request(http::verb::post, "/stream/x", "c" + std::to_string(cut));
        request.set("Test-Cut", std::to_string(cut));
        caller.send(request);
        CAPTURE(cut);
        CHECK(caller.response().body() == stream);
    }
}
