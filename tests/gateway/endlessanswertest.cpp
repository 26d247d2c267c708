#include "gatewayfixture.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
/// \brief Answer of an endpoint that never ends, at one place of the protocol.
struct EndlessAnswer {
    const char *place;
    const char *target;
    std::function<AnswerSteps(const std::string &requestId)> steps;
};

std::string identifiedHead(const std::string &requestId, const std::string &framing)
{
    return "HTTP/1.1 200 OK\r\nX-Mimosatally-Request-Id: " + requestId + "\r\nX-Mimosatally-Response-Seal: s\r\n" + framing;
}

/// \brief Bytes without end that are neither a head nor the framing of a body.
std::vector<EndlessAnswer> endlessFraming()
{
    return {
        {"status line",
         "/stream/x",
         [](const std::string &) -> AnswerSteps {
             return {bytes("HTTP/1.1 200 "), flooding("x")};
         }},
        {"field",
         "/post/x",
         [](const std::string &id) -> AnswerSteps {
             return {bytes(identifiedHead(id, "X-Field: ")), flooding("x")};
         }},
        {"interim answers",
         "/post/x",
         [](const std::string &) -> AnswerSteps {
             return {flooding("HTTP/1.1 103 Early Hints\r\n\r\n")};
         }},
        {"length of a chunk",
         "/stream/x",
         [](const std::string &id) -> AnswerSteps {
             return {bytes(streamHead(id)), flooding("x")};
         }},
        {"zeros before the length of a chunk",
         "/stream/x",
         [](const std::string &id) -> AnswerSteps {
             return {bytes(streamHead(id)), flooding("0")};
         }},
        {"extension of a chunk",
         "/stream/x",
         [](const std::string &id) -> AnswerSteps {
             return {bytes(streamHead(id) + "5;name="), flooding("x")};
         }},
        {"extension of a chunk of a plain answer",
         "/post/x",
         [](const std::string &id) -> AnswerSteps {
             return {bytes(identifiedHead(id, "Transfer-Encoding: chunked\r\n\r\n5;name=")), flooding("x")};
         }},
        {"trailer",
         "/stream/x",
         [](const std::string &id) -> AnswerSteps {
             return {bytes(streamHead(id) + "0\r\nX-Field: "), flooding("x")};
         }},
        {"fields of a trailer",
         "/stream/x",
         [](const std::string &id) -> AnswerSteps {
             return {bytes(streamHead(id) + "0\r\n"), flooding("X-F: x\r\n")};
         }},
        {"answer to another request",
         "/post/x",
         [](const std::string &) -> AnswerSteps {
             return {bytes(identifiedHead("another", "Content-Length: 99999999999\r\n\r\n")), flooding("x")};
         }},
        {"chunks of an answer to another request",
         "/post/x",
         [](const std::string &) -> AnswerSteps {
             return {bytes(identifiedHead("another", "Transfer-Encoding: chunked\r\n\r\n")), flooding("5\r\nxxxxx\r\n")};
         }},
    };
}

/// \brief Bodies that follow the protocol and have no end within FLOOD_BYTES, which is more than one answer may hold.
std::vector<EndlessAnswer> endlessBodies()
{
    return {
        {"body with a length",
         "/post/x",
         [](const std::string &id) -> AnswerSteps {
             return {bytes(identifiedHead(id, "Content-Length: 99999999999\r\n\r\n")), flooding("x")};
         }},
        {"body in one chunk",
         "/post/x",
         [](const std::string &id) -> AnswerSteps {
             return {bytes(identifiedHead(id, "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n")), flooding("x")};
         }},
        {"body that ends with its connection",
         "/post/x",
         [](const std::string &id) -> AnswerSteps {
             return {bytes(identifiedHead(id, "\r\n")), flooding("x")};
         }},
        {"line of an event",
         "/stream/x",
         [](const std::string &id) -> AnswerSteps {
             return {bytes(unframedStreamHead(id) + "data: "), flooding("x")};
         }},
        {"lines of an event",
         "/stream/x",
         [](const std::string &id) -> AnswerSteps {
             return {bytes(unframedStreamHead(id)), flooding("data: x\n")};
         }},
        {"id of an event",
         "/stream/x",
         [](const std::string &id) -> AnswerSteps {
             return {bytes(unframedStreamHead(id) + "id: 1"), flooding("1")};
         }},
    };
}

constexpr std::size_t MEGABYTE = std::size_t(1024) * 1024;
constexpr int MEMORY_LIMIT_MB = 64;
/// \brief docs/input-bounds.md: answers hold a quarter of the memory limit together.
constexpr std::size_t ALL_ANSWERS_BYTES = MEMORY_LIMIT_MB * MEGABYTE / 4;
/// \brief docs/input-bounds.md: what one answer holds besides its body.
constexpr std::size_t FRAMING_BYTES = std::size_t(72) * 1024;
constexpr int CALLS_AT_ONCE = 24;

double metricOf(const GatewayFixture &fixture, const std::string &name)
{
    const std::string page = get(fixture.metricsAddress(), "/metrics").body();
    const std::size_t found = page.find('\n' + name + ' ');
    return found == std::string::npos ? std::numeric_limits<double>::infinity() : std::stod(page.substr(found + name.size() + 2));
}

/// \brief Largest memory that a process has occupied, in megabytes.
std::size_t peakMemoryMb(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(line.find_first_of("0123456789"))) / 1024;
        }
    }
    return std::numeric_limits<std::size_t>::max();
}

/// \brief Starts a gateway with a small memory limit. The first endpoint answers requests with ids that begin with `sound`, the others get \a answer.
void startWithFaultyEndpoint(GatewayFixture &fixture, const EndlessAnswer &answer)
{
    fixture.addEndpoint("i-1", "plain", [steps = answer.steps](const HttpRequest &request) -> AnswerSteps {
        const std::string id = requestIdOf(request);
        return id.starts_with("sound") ? AnswerSteps {bytes(wholeAnswer(id, "good"))} : steps(id);
    });
    fixture.configure(1, 10'000);
    fixture.startGateway("memory_limit_mb = " + std::to_string(MEMORY_LIMIT_MB) + '\n');
    fixture.awaitReady();
}

/// \brief Status of the answer; 0 if the connection ended without a whole one.
unsigned statusOf(CallerConnection &connection)
{
    try {
        return connection.response().result_int();
    } catch (const boost::system::system_error &) {
        return 0;
    }
}
} // namespace

// Guards against a gateway that keeps bytes without end of a faulty endpoint until the time of the call is over and runs out of memory, with which the calls of
// all other callers end.
TEST_CASE("Bytes without end outside a body end the call at once and hold little memory", "[gateway][bounds]")
{
    for (const EndlessAnswer &answer : endlessFraming()) {
        CAPTURE(answer.place);
        GatewayFixture fixture;
        startWithFaultyEndpoint(fixture, answer);
        std::vector<std::unique_ptr<CallerConnection>> connections;
        for (int i = 0; i < CALLS_AT_ONCE; ++i) {
            connections.push_back(fixture.start(GatewayFixture::request(http::verb::post, answer.target, "r" + std::to_string(i), 10'000)));
        }
        for (const auto &connection : connections) {
            const unsigned status = statusOf(*connection);
            // 502 comes at once, 504 would come at the deadline; later calls find the endpoint ejected.
            CHECK((status == 502 || status == 503));
        }
        CHECK(metricOf(fixture, "mimosatally_answer_bytes_held_peak") <= static_cast<double>(CALLS_AT_ONCE * FRAMING_BYTES));
        CHECK(peakMemoryMb(fixture.gateway().id()) <= MEMORY_LIMIT_MB);
        waitUntil("the endpoint is used again", [&] {
            return fixture.call(GatewayFixture::request(http::verb::get, "/safe/x", "sound")).result_int() == 200;
        });
    }
}

// Guards against many answers that each keep within the limit of one answer and exceed the memory of the process together.
TEST_CASE("Bodies without end hold no more than a part of the memory together", "[gateway][bounds]")
{
    for (const EndlessAnswer &answer : endlessBodies()) {
        CAPTURE(answer.place);
        GatewayFixture fixture;
        startWithFaultyEndpoint(fixture, answer);
        std::vector<std::unique_ptr<CallerConnection>> connections;
        for (int i = 0; i < CALLS_AT_ONCE; ++i) {
            connections.push_back(fixture.start(GatewayFixture::request(http::verb::post, answer.target, "r" + std::to_string(i), 10'000)));
        }
        for (const auto &connection : connections) {
            const unsigned status = statusOf(*connection);
            CHECK((status == 502 || status == 503));
        }
        const double peak = metricOf(fixture, "mimosatally_answer_bytes_held_peak");
        CHECK(peak <= static_cast<double>(ALL_ANSWERS_BYTES + FRAMING_BYTES));
        waitUntil("the endpoint is used again", [&] {
            return fixture.call(GatewayFixture::request(http::verb::get, "/safe/x", "sound")).result_int() == 200;
        });
        CHECK(metricOf(fixture, "mimosatally_answer_bytes_held") <= static_cast<double>(FRAMING_BYTES));
    }
}

// Guards against a limit that ends the calls of others in place of the one that holds the most bytes.
TEST_CASE("An answer that holds many bytes is ended, and small ones beside it are delivered", "[gateway][bounds]")
{
    GatewayFixture fixture;
    constexpr std::size_t heldBytes = 5 * MEGABYTE;
    fixture.addEndpoint("i-1", "plain", [](const HttpRequest &request) -> AnswerSteps {
        const std::string id = requestIdOf(request);
        if (id.starts_with("sound")) {
            return {bytes(streamHead(id) + chunk("id: 1\ndata: a\n\n")), pauseFor(300), bytes(chunk("id: 2\ndata: b\n\n") + lastChunk())};
        }
        return {bytes(unframedStreamHead(id) + "data: " + std::string(heldBytes, 'x')), untilClosed()};
    });
    fixture.configure(1, 10'000);
    fixture.startGateway("memory_limit_mb = " + std::to_string(MEMORY_LIMIT_MB) + '\n');
    fixture.awaitReady();
    constexpr int large = 8;
    std::vector<std::unique_ptr<CallerConnection>> sound;
    std::vector<std::unique_ptr<CallerConnection>> held;
    for (int i = 0; i < large; ++i) {
        sound.push_back(fixture.start(GatewayFixture::request(http::verb::post, "/stream/x", "sound" + std::to_string(i), 10'000)));
        held.push_back(fixture.start(GatewayFixture::request(http::verb::post, "/stream/x", "r" + std::to_string(i), 2'000)));
    }
    for (const auto &connection : sound) {
        const HttpResponse response = connection->response();
        CHECK(response.result_int() == 200);
        CHECK(response.body() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    }
    for (const auto &connection : held) {
        CHECK(statusOf(*connection) != 200);
    }
    CHECK(metricOf(fixture, "mimosatally_answer_bytes_held_peak") <= static_cast<double>(ALL_ANSWERS_BYTES + FRAMING_BYTES));
    fixture.gateway().waitForOutput("ended=over-limit");
}

// Guards against limits that cut sound answers: large ones at the same time, chunks of one byte, and extensions and trailers of ordinary length.
TEST_CASE("Large answers and unusual but sound framing are delivered whole", "[gateway][bounds]")
{
    constexpr std::size_t largeBytes = 4 * MEGABYTE;
    constexpr std::size_t slicedBytes = std::size_t(64) * 1024;
    const std::string large(largeBytes, 'y');
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", [&large](const HttpRequest &request) -> AnswerSteps {
        const std::string id = requestIdOf(request);
        const std::string head = identifiedHead(id, "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n");
        if (id.starts_with("large")) {
            return {bytes(identifiedHead(id, "Content-Length: " + std::to_string(large.size()) + "\r\n\r\n") + large)};
        }
        std::string body;
        for (std::size_t i = 0; i < slicedBytes; ++i) {
            body += "1;name=\"value\"\r\nz\r\n";
        }
        return {bytes(head + body + "0;last\r\nX-Sum: " + std::string(1000, '7') + "\r\n\r\n")};
    });
    fixture.configure(1, 10'000);
    fixture.startGateway("memory_limit_mb = " + std::to_string(MEMORY_LIMIT_MB) + '\n');
    fixture.awaitReady();
    std::vector<std::unique_ptr<CallerConnection>> connections;
    for (const char *id : {"large1", "sliced1", "large2", "sliced2", "large3"}) {
        connections.push_back(fixture.start(GatewayFixture::request(http::verb::post, "/post/x", id, 10'000)));
    }
    for (std::size_t i = 0; i < connections.size(); ++i) {
        const HttpResponse response = connections[i]->response();
        CHECK(response.result_int() == 200);
        CHECK(response.body() == (i % 2 == 0 ? large : std::string(slicedBytes, 'z')));
    }
}

// Guards against a request that fails although another endpoint can run it: the endpoint that sends bytes without end is at fault, not the request.
TEST_CASE("An idempotent request is sent to another endpoint after bytes without end", "[gateway][bounds]")
{
    GatewayFixture fixture;
    std::atomic<int> floods = 0;
    fixture.addEndpoint("i-1", "plain", [&floods](const HttpRequest &request) -> AnswerSteps {
        ++floods;
        return {bytes(identifiedHead(requestIdOf(request), "Transfer-Encoding: chunked\r\n\r\n")), flooding("x")};
    });
    fixture.addEndpoint("i-2", "plain", [](const HttpRequest &request) -> AnswerSteps {
        return {bytes(wholeAnswer(requestIdOf(request), "good"))};
    });
    fixture.configure();
    fixture.startGateway("memory_limit_mb = " + std::to_string(MEMORY_LIMIT_MB) + '\n');
    fixture.awaitReady();
    constexpr int calls = 30;
    for (int i = 0; i < calls; ++i) {
        const HttpResponse response = fixture.call(GatewayFixture::request(http::verb::get, "/safe/x", "r" + std::to_string(i)));
        CHECK(response.result_int() == 200);
        CHECK(response.body() == "good");
    }
    CHECK(floods >= 1);
    // An endpoint that does so to each request is not tried by every one.
    CHECK(floods <= calls / 3);
}
