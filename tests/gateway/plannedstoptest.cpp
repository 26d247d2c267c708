#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
constexpr auto GRACE_TIME = std::chrono::milliseconds(3000);

/// \brief Outcome of one request that a caller sent during a planned stop.
struct StopCall {
    std::string id;
    /// \brief Tenth of the grace time in which it was sent.
    int tenth = 0;
    std::future<unsigned> status;
};

/// \brief Status of the answer; 0 if the connection was refused or ended without one.
unsigned statusOf(CallerConnection &connection)
{
    try {
        return connection.response().result_int();
    } catch (const boost::system::system_error &) {
        return 0;
    }
}

/// \brief Endpoint that takes a short time, or longer than the grace time if the id says so.
AnswerSteps answerSlowly(const HttpRequest &request)
{
    const std::string id = requestIdOf(request);
    const bool isLong = id.find("long") != std::string::npos;
    const int milliseconds = isLong ? 2 * static_cast<int>(GRACE_TIME.count()) : 40;
    if (request.target().starts_with("/stream/")) {
        return {bytes(streamHead(id)), pauseFor(milliseconds), bytes(chunk("id: 1\ndata: a\n\n") + lastChunk())};
    }
    return {pauseFor(milliseconds), bytes(wholeAnswer(id, "good"))};
}
} // namespace

// Guards against requests that are taken late in the grace time of a planned stop and cut off without an answer at its end, among them such that may not be
// repeated: in each tenth of the grace time, on kept and new connections, short and long, each that reaches an endpoint is answered, and a refusal is true.
TEST_CASE("A request that arrives during a planned stop is answered, or refused as not run", "[gateway][stop]")
{
    GatewayFixture fixture;
    EndpointStandin &endpoint = fixture.addEndpoint("i-1", "plain", answerSlowly);
    fixture.configure(1, 20'000);
    fixture.startGateway();
    fixture.awaitReady();
    constexpr int tenths = 10;
    std::vector<std::unique_ptr<CallerConnection>> kept;
    for (int i = 0; i < 2 * tenths; ++i) {
        kept.push_back(fixture.start(GatewayFixture::request(http::verb::get, "/safe/x", "before" + std::to_string(i))));
        CHECK(kept.back()->response().result_int() == 200);
    }
    const auto started = std::chrono::steady_clock::now();
    fixture.gateway().send(SIGTERM);
    std::vector<StopCall> calls;
    const auto send = [&](CallerConnection *connection, const std::string &target, const std::string &id, int tenth) {
        std::promise<unsigned> done;
        calls.push_back({id, tenth, done.get_future()});
        std::thread([&fixture, connection, target, id, done = std::move(done)]() mutable {
            try {
                constexpr int deadlineMs = 20'000;
                const HttpRequest request = GatewayFixture::request(http::verb::post, target, id, deadlineMs);
                if (connection != nullptr) {
                    connection->send(request);
                    done.set_value(statusOf(*connection));
                } else {
                    done.set_value(statusOf(*fixture.start(request)));
                }
            } catch (const boost::system::system_error &) {
                done.set_value(0);
            }
        }).detach();
    };
    for (int tenth = 0; tenth < tenths; ++tenth) {
        const std::string number = std::to_string(tenth);
        send(kept[static_cast<std::size_t>(2 * tenth)].get(), "/post/x", "kept-short-" + number, tenth);
        send(kept[static_cast<std::size_t>(2 * tenth + 1)].get(), "/post/x", "kept-long-" + number, tenth);
        send(nullptr, "/safe/x", "new-short-" + number, tenth);
        send(nullptr, "/post/x", "new-long-" + number, tenth);
        std::this_thread::sleep_until(started + GRACE_TIME * (tenth + 1) / tenths);
    }
    CHECK(fixture.gateway().wait() == 0);
    CHECK(std::chrono::steady_clock::now() - started < GRACE_TIME + std::chrono::milliseconds(300));
    std::set<std::string> reached;
    for (const Arrival &arrival : endpoint.arrivals()) {
        reached.insert(requestIdOf(arrival.request));
    }
    for (StopCall &call : calls) {
        const unsigned status = call.status.get();
        CAPTURE(call.id, call.tenth, status);
        if (reached.contains(call.id)) {
            // 502 and 504 promise nothing; a short call is answered as a whole.
            CHECK((call.id.find("short") != std::string::npos ? status == 200 : status == 504));
        } else {
            CHECK((status == 503 || status == 0));
        }
    }
}

namespace
{
/// \brief Freezes a gateway in a step of its planned stop, so that requests arrive while it does not run.
class FrozenStop
{
public:
    /// \param whileFrozen sends the requests.
    template<class Function>
    static void run(GatewayFixture &fixture, Function whileFrozen)
    {
        fixture.gateway().send(SIGSTOP);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        whileFrozen();
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
        fixture.gateway().send(SIGCONT);
    }
};

bool isListening(const std::string &address)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    boost::system::error_code error;
    socket.connect(parseAddress(address), error);
    return !error;
}

/// \brief Sends a request on each of \a connections.
void sendAll(const std::vector<std::unique_ptr<CallerConnection>> &connections, const std::string &id)
{
    for (std::size_t i = 0; i < connections.size(); ++i) {
        connections[i]->send(GatewayFixture::request(http::verb::get, "/safe/x", id + std::to_string(i), 700));
    }
}

/// \brief Number of \a connections that end without an answer.
int countUnanswered(const std::vector<std::unique_ptr<CallerConnection>> &connections)
{
    int unanswered = 0;
    for (const auto &connection : connections) {
        unanswered += statusOf(*connection) == 0 ? 1 : 0;
    }
    return unanswered;
}
} // namespace

// Guards against a process that ends as soon as no call is running, although requests have come on kept connections while it had no processor time.
TEST_CASE("A stalled process that is about to end answers the requests that have come on kept connections", "[gateway][stop]")
{
    // The process may end before it is frozen; what happens then says nothing.
    constexpr int maxTrials = 8;
    bool frozenInTime = false;
    for (int trial = 0; trial < maxTrials && !frozenInTime; ++trial) {
        GatewayFixture fixture;
        fixture.addEndpoint("i-1", "plain", answerSlowly);
        fixture.configure(1, 20'000);
        fixture.startGateway();
        fixture.awaitReady();
        constexpr int count = 20;
        std::vector<std::unique_ptr<CallerConnection>> kept;
        for (int i = 0; i < count; ++i) {
            kept.push_back(fixture.start(GatewayFixture::request(http::verb::get, "/safe/x", "before" + std::to_string(i))));
            CHECK(kept.back()->response().result_int() == 200);
        }
        fixture.gateway().send(SIGTERM);
        while (isListening(fixture.callerAddress())) {
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        // The process ends 100 ms after it has closed its listener, at the second look for calls in progress.
        std::this_thread::sleep_for(std::chrono::milliseconds(60));
        FrozenStop::run(fixture, [&] {
            frozenInTime = !fixture.gateway().hasOutput("ProcessStopped");
            if (frozenInTime) {
                sendAll(kept, "late");
            }
        });
        if (frozenInTime) {
            CHECK(countUnanswered(kept) == 0);
        }
        CHECK(fixture.gateway().wait() == 0);
    }
    CHECK(frozenInTime);
}

// Guards against connections that the system has accepted for the process and that are reset with their requests when the listener is closed.
TEST_CASE("A stalled process that stops accepting answers the requests of connections that are already established", "[gateway][stop]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", answerSlowly);
    fixture.configure(1, 20'000);
    fixture.startGateway();
    fixture.awaitReady();
    fixture.gateway().send(SIGTERM);
    // The listener is closed after three eighths of the grace time.
    std::this_thread::sleep_for(GRACE_TIME * 3 / 8 - std::chrono::milliseconds(60));
    constexpr int count = 20;
    std::vector<std::unique_ptr<CallerConnection>> established;
    FrozenStop::run(fixture, [&] {
        for (int i = 0; i < count; ++i) {
            established.push_back(std::make_unique<CallerConnection>(fixture.callerAddress()));
        }
        sendAll(established, "new");
    });
    CHECK(countUnanswered(established) == 0);
    CHECK(fixture.gateway().wait() == 0);
}

// Guards against a process that ends while a request is being received that its caller began to send before.
TEST_CASE("A process that is about to end awaits the rest of a request that has begun", "[gateway][stop]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", answerSlowly);
    fixture.configure(1, 20'000);
    fixture.startGateway();
    fixture.awaitReady();
    fixture.gateway().send(SIGTERM);
    std::this_thread::sleep_for(GRACE_TIME * 3 / 8 - std::chrono::milliseconds(200));
    CallerConnection connection(fixture.callerAddress());
    connection.sendText(
        "POST /post/x HTTP/1.1\r\nHost: h\r\nX-Mimosatally-Request-Id: parts\r\nX-Mimosatally-Request-Deadline: 700\r\nContent-Length: 4\r\n\r\nbo");
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CHECK_FALSE(isListening(fixture.callerAddress()));
    connection.sendText("dy");
    CHECK(statusOf(connection) == 200);
    CHECK(fixture.gateway().wait() == 0);
}
