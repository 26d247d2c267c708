#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
constexpr const char *KEY = "7yx5x42q492cqf75rjvz";

/// \brief What a version of the configuration changes for a call that is in progress.
enum class Change {
    Timeout,
    Service,
    Priorities,
    Key,
    Organisation,
    NoOrganisations,
    Route,
    ServiceGone,
};

const std::map<Change, std::string> CHANGES = {
    {Change::Timeout, "a timeout of 50 ms"},
    {Change::Service, "another service"},
    {Change::Priorities, "other priorities"},
    {Change::Key, "the key goes"},
    {Change::Organisation, "the organisation goes"},
    {Change::NoOrganisations, "all organisations go"},
    {Change::Route, "the route goes"},
    {Change::ServiceGone, "the service goes"},
};

/// \brief Where a call is when the configuration changes.
enum class Stage {
    Receiving,
    Waiting,
    Prefilled,
    BetweenAttempts,
    Buffered,
    Streaming,
    TakenUp,
};

const std::map<Stage, std::string> STAGES = {
    {Stage::Receiving, "being received"},
    {Stage::Waiting, "waiting for room"},
    {Stage::Prefilled, "between prefill and run"},
    {Stage::BetweenAttempts, "between attempts"},
    {Stage::Buffered, "running"},
    {Stage::Streaming, "streaming"},
    {Stage::TakenUp, "taken up"},
};

std::string routeText(const std::string &name, const std::string &kind, const std::string &service, std::optional<Change> change)
{
    const bool moves = change == Change::Service || change == Change::ServiceGone;
    return R"({"name":")" + name + R"(","host":"h","pathPrefix":"/)" + name + R"(/","kind":")" + kind + R"(","timeoutMs":)"
           + (change == Change::Timeout ? "50" : "20000") + R"(,"targetLatencyMs":3000,"priority":)" + (change == Change::Priorities ? "9" : "1")
           + R"(,"service":")" + (moves ? "other" : service) + R"(","maxAttempts":3,"resumable":)" + (name == "resume" ? "true" : "false") + "}";
}

std::string organisationsText(std::optional<Change> change)
{
    const std::string own = R"({"name":"own","priority":)" + std::string(change == Change::Priorities ? "7" : "2") + R"(,"apiKeys":[)"
                            + (change == Change::Key ? "" : '"' + std::string(KEY) + '"') + "]}";
    const std::string other = R"({"name":"other","priority":3,"apiKeys":["48wuakn2ftimaj3nr26t"]})";
    return "[" + (change == Change::Organisation ? "" : own + ",") + other + "]";
}

std::string documentText(int version, std::optional<Change> change)
{
    const std::string engine = R"(,"engine":{"slots":8,"kvCacheTokens":100000,"tokenKvBytes":1000,"linkMbps":1000000}})";
    const std::string services = change == Change::ServiceGone ? ""
                                                               : R"({"name":"plain","maxConns":50},{"name":"room","maxConns":50)" + engine
                                                                     + R"(,{"name":"model","maxConns":50)" + engine + ",";
    const std::string routes = routeText("safe", "safe", "plain", change) + "," + routeText("resume", "streaming", "plain", change) + ","
                               + routeText("room", "streaming", "room", change) + "," + routeText("generate", "streaming", "model", change);
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + (change == Change::Route ? routeText("left", "safe", "plain", {}) : routes)
           + R"(],"services":[)" + services + R"({"name":"other","maxConns":50}],"limits":{})"
           + (change == Change::NoOrganisations ? "" : R"(,"tenants":)" + organisationsText(change)) + "}";
}

AnswerSteps answerPlain(const HttpRequest &request)
{
    const std::string id = requestIdOf(request);
    constexpr int untilChanged = 400;
    if (!std::string(request.target()).starts_with("/resume/")) {
        return {pauseFor(id.starts_with("running") ? untilChanged : 0), bytes(wholeAnswer(id, "good"))};
    }
    if (id.starts_with("taken")) {
        return {pauseFor(untilChanged), bytes(streamHead(id) + chunk("id: 2\ndata: b\n\n") + lastChunk())};
    }
    return {bytes(streamHead(id) + chunk("id: 1\ndata: a\n\n")), pauseFor(untilChanged), bytes(chunk("id: 2\ndata: b\n\n") + lastChunk())};
}

/// \brief Engine whose load reports leave no room for long prompts.
AnswerSteps answerFull(const HttpRequest &request)
{
    std::string head = streamHead(requestIdOf(request));
    head.insert(head.find("\r\n") + 2, "X-Mimosatally-Server-Load: 8,0,8\r\n");
    return {pauseFor(100), bytes(head + chunk("id: 1\ndata: a\n\n") + lastChunk())};
}

AnswerSteps answerEngine(const HttpRequest &request)
{
    const std::string id = requestIdOf(request);
    if (headerValue(request, "X-Mimosatally-Serving-Stage") == "prefill") {
        return {pauseFor(400), bytes(wholeAnswer(id, R"({"kvHandle":"abc","tokens":9000,"version":1})"))};
    }
    return {bytes(streamHead(id) + chunk("id: 1\ndata: a\n\n") + lastChunk())};
}

/// \brief A gateway whose configuration changes beside calls.
class ChangingGateway
{
public:
    ChangingGateway()
    {
        fixture_.addEndpoint("p-1", "plain", [this](const HttpRequest &request) -> AnswerSteps {
            return answerOrReject(request);
        });
        fixture_.addEndpoint("p-2", "plain", [this](const HttpRequest &request) -> AnswerSteps {
            return answerOrReject(request);
        });
        room_ = &fixture_.addEndpoint("r-1", "room", answerFull, R"(,"phase":"decode")");
        fixture_.addEndpoint("e-1", "model", answerEngine, R"(,"phase":"prefill")");
        fixture_.addEndpoint("e-2", "model", answerEngine, R"(,"phase":"decode")");
        fixture_.addEndpoint("o-1", "other", answerPlain);
        change({});
        fixture_.startGateway("retry_ratio = 1.0\n");
        fixture_.awaitReady();
        fixture_.gateway().waitForOutput("endpoint=o-1");
    }

    /// \brief Puts the next version in force.
    void change(std::optional<Change> what)
    {
        ++version_;
        fixture_.onStandins([&] {
            fixture_.store().put("keyed.op", "config", documentText(version_, what));
        });
        if (version_ > 1) {
            fixture_.gateway().waitForOutput("ServingConfigurationInForce process=g1 version=" + std::to_string(version_) + " ");
        }
    }

    /// \return statuses of calls that are in \a stage when \a what changes; 0 if a connection ends without a complete answer.
    std::vector<unsigned> statusesAcross(Stage stage, Change what)
    {
        rejected_ = false;
        std::atomic<bool> done = false;
        std::vector<std::future<void>> background;
        if (stage == Stage::Waiting) {
            startShortCalls(background, done);
        } else if (stage == Stage::BetweenAttempts) {
            earnRetries();
        }
        std::vector<std::unique_ptr<CallerConnection>> connections = startCalls(stage);
        std::this_thread::sleep_for(std::chrono::milliseconds(60));
        if (stage == Stage::Waiting) {
            waitedAtChange_ += longCallsStarted_ - longCallsArrived();
        }
        change(what);
        std::vector<unsigned> statuses;
        for (const auto &connection : connections) {
            if (stage == Stage::Receiving) {
                connection->sendText("dy");
            }
            statuses.push_back(statusOf(*connection));
        }
        done = true;
        background.clear();
        longCallsStarted_ = longCallsArrived();
        change({});
        return statuses;
    }

    /// \brief Number of calls that waited for room when the configuration changed.
    [[nodiscard]] long waitedAtChange() const
    {
        return waitedAtChange_;
    }

private:
    static unsigned statusOf(CallerConnection &connection)
    {
        try {
            return connection.response().result_int();
        } catch (const boost::system::system_error &) {
            return 0;
        }
    }

    std::vector<std::unique_ptr<CallerConnection>> startCalls(Stage stage)
    {
        // The engine has room for one of them.
        const int count = stage == Stage::Waiting ? 4 : 1;
        std::vector<std::unique_ptr<CallerConnection>> connections;
        for (int i = 0; i < count; ++i) {
            const std::string id = idOf(stage) + std::to_string(version_) + '-' + std::to_string(i);
            if (stage != Stage::Receiving) {
                connections.push_back(fixture_.start(requestFor(stage, id)));
                continue;
            }
            connections.push_back(std::make_unique<CallerConnection>(fixture_.callerAddress()));
            connections.back()->sendText("POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Mimosatally-Request-Id: " + id + "\r\nAuthorization: Bearer " + KEY
                                         + "\r\nContent-Length: 4\r\n\r\nbo");
        }
        longCallsStarted_ += stage == Stage::Waiting ? count : 0;
        return connections;
    }

    [[nodiscard]] long longCallsArrived() const
    {
        const std::vector<Arrival> arrivals = room_->arrivals();
        return std::ranges::count_if(arrivals, [](const Arrival &arrival) {
            return requestIdOf(arrival.request).starts_with("waiting");
        });
    }

    void startShortCalls(std::vector<std::future<void>> &calls, const std::atomic<bool> &done)
    {
        constexpr int callers = 3;
        for (int i = 0; i < callers; ++i) {
            calls.push_back(std::async(std::launch::async, [this, &done] {
                sendShortCalls(done);
            }));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(800));
    }

    static std::string idOf(Stage stage)
    {
        std::string name = STAGES.at(stage) + '-';
        std::ranges::replace(name, ' ', '-');
        return name;
    }

    AnswerSteps answerOrReject(const HttpRequest &request)
    {
        if (requestIdOf(request).starts_with("between-attempts") && !rejected_.exchange(true)) {
            return {pauseFor(400), bytes(wholeAnswer(requestIdOf(request), "", 503, "X-Mimosatally-Not-Executed: 1\r\n"))};
        }
        return answerPlain(request);
    }

    static HttpRequest requestFor(Stage stage, const std::string &id)
    {
        const std::map<Stage, std::string> targets = {
            {Stage::Waiting, "/room/x"}, {Stage::Prefilled, "/generate/x"}, {Stage::Streaming, "/resume/x"}, {Stage::TakenUp, "/resume/x"}};
        const auto target = targets.find(stage);
        HttpRequest request = GatewayFixture::request(http::verb::post, target == targets.end() ? "/safe/x" : target->second, id, 10'000);
        request.set(http::field::authorization, std::string("Bearer ") + KEY);
        if (stage == Stage::Waiting || stage == Stage::Prefilled) {
            request.set("X-Mimosatally-Token-Counts", "9000,10");
            // No other prompt is alike, so no decode engine has it.
            request.set("X-Mimosatally-Prefix-Hash", id + ":9000");
        }
        if (stage == Stage::TakenUp) {
            request.set("Last-Event-Id", "1");
            request.set("Resumes", "root");
        }
        return request;
    }

    static HttpRequest shortRequest()
    {
        HttpRequest request = GatewayFixture::request(http::verb::post, "/room/x", "short");
        request.set(http::field::authorization, std::string("Bearer ") + KEY);
        request.set("X-Mimosatally-Token-Counts", "100,10");
        return request;
    }

    /// \brief Sends short calls, for which slots are kept, until \a done.
    void sendShortCalls(const std::atomic<bool> &done)
    {
        while (!done) {
            static_cast<void>(fixture_.call(shortRequest()).result_int());
        }
    }

    void earnRetries()
    {
        constexpr int requestsPerRetry = 4;
        for (int i = 0; i < requestsPerRetry; ++i) {
            CHECK(fixture_.call(requestFor(Stage::Buffered, "earns" + std::to_string(i))).result_int() == 200);
        }
    }

    GatewayFixture fixture_;
    EndpointStandin *room_ = nullptr;
    std::atomic<bool> rejected_ = false;
    int version_ = 0;
    long longCallsStarted_ = 0;
    long waitedAtChange_ = 0;
};

/// \brief Statuses that a call in \a stage may end with when \a change comes in force.
std::set<unsigned> allowedStatuses(Stage stage, Change change)
{
    if (stage == Stage::Waiting) {
        // Without room, a call that waits is refused in any case.
        return {200, 503};
    }
    if (stage != Stage::Receiving) {
        return {200};
    }
    // A request that is still being received is handled by the configuration in force at its last byte.
    if (change == Change::Key || change == Change::Organisation) {
        return {401};
    }
    return change == Change::Route ? std::set<unsigned> {404} : std::set<unsigned> {200};
}
} // namespace

// Guards against calls that a change of the configuration ends, with or without an answer, although they were allowed when they began. Each cell of the table
// in docs/design/configuration-changes.md is one check.
TEST_CASE("A call in progress keeps the configuration with which it began", "[gateway][configuration]")
{
    ChangingGateway gateway;
    for (const auto &[stage, stageName] : STAGES) {
        for (const auto &[change, changeName] : CHANGES) {
            for (const unsigned status : gateway.statusesAcross(stage, change)) {
                CAPTURE(stageName, changeName, status);
                CHECK(allowedStatuses(stage, change).contains(status));
            }
        }
    }
    // If no call waited, the stage was not reached.
    CHECK(gateway.waitedAtChange() > 0);
}

// Guards against a kept connection whose next request is refused with 413 by the limit of a version that was in force when the connection began to wait.
TEST_CASE("A request on a kept connection has the limits in force when it comes", "[gateway][configuration]")
{
    const auto documentOf = [](int version, int maxBodyBytes) {
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routeText("safe", "safe", "plain", {})
               + R"(],"services":[{"name":"plain","maxConns":50}],"limits":{"maxBodyBytes":)" + std::to_string(maxBodyBytes) + "}}";
    };
    GatewayFixture fixture;
    fixture.addEndpoint("p-1", "plain", answerPlain);
    fixture.onStandins([&] {
        fixture.store().put("keyed.op", "config", documentOf(1, 1000));
    });
    fixture.startGateway();
    fixture.awaitReady();
    const std::unique_ptr<CallerConnection> connection = fixture.start(GatewayFixture::request(http::verb::post, "/safe/x", "small"));
    CHECK(connection->response().result_int() == 200);
    fixture.onStandins([&] {
        fixture.store().put("keyed.op", "config", documentOf(2, 10'000));
    });
    fixture.gateway().waitForOutput("ServingConfigurationInForce process=g1 version=2 ");
    HttpRequest large = GatewayFixture::request(http::verb::post, "/safe/x", "large");
    large.body() = std::string(5000, 'x');
    connection->send(std::move(large));
    CHECK(connection->response().result_int() == 200);
}
