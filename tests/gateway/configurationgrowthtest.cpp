// A whole request that gets neither an answer nor a refusal beside a change of a large configuration.

#include "configuration/servingconfigurationsample.h"
#include "keptcallers.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::samples;
using namespace mimosatally::test;

namespace
{
constexpr const char *OPERATORS = "keyed.op";
constexpr ServingConfigurationSize SIZE = {8'000, 1'200, 2};
constexpr std::size_t GATEWAYS = 2;
constexpr std::size_t ENDPOINTS = 4;
constexpr std::size_t CALLERS = 120;
constexpr Duration TIGHTEST_LATENCY_TARGET = Duration(150);
/// \brief Longest time for which the event loop may stand still for a configuration.
constexpr Duration MOST_STALL = TIGHTEST_LATENCY_TARGET / 4;
/// \brief Time after a version is in force in which requests still count as beside it.
constexpr Duration AFTER_CHANGE = Duration(1000);
/// \brief A request that is sent to a gateway while that closes its connections at its end may be lost for so long, if no endpoint has got it.
constexpr Duration LOSS_SLACK = Duration(100);
constexpr Duration CALM = Duration(1500);

std::string routeFor(const std::string &name, const std::string &kind, const std::string &extraFields = {})
{
    return R"({"name":")" + name + R"(","host":"h","pathPrefix":"/)" + name + R"(/","kind":")" + kind
           + R"(","timeoutMs":5000,"targetLatencyMs":1000,"priority":1,"service":"plain","maxAttempts":2)" + extraFields + "},";
}

/// \brief Text of a version with \a added routes besides those that callers use. \param suffix tells routes of versions with the same number apart.
std::string versionText(std::int64_t version, std::size_t added, const std::string &suffix = {}, const ServingConfigurationSize &size = SIZE)
{
    std::string first = routeFor("safe", "safe") + routeFor("post", "unsafe") + routeFor("stream", "streaming", R"(,"resumable":false)")
                        + routeFor("resume", "streaming", R"(,"resumable":true)");
    for (std::size_t i = 0; i < added; ++i) {
        first += routeFor("added-" + std::to_string(i) + suffix, "safe");
    }
    return servingConfigurationText(size, version, first, static_cast<int>(KeptCallers::IDLE_TIMEOUT.count()));
}

/// \brief Answers within some tens of milliseconds, streams in three events.
AnswerSteps answerSoon(const HttpRequest &request)
{
    const std::string id = requestIdOf(request);
    const int milliseconds = 2 + static_cast<int>(std::hash<std::string>()(id) % 30);
    if (request.target().starts_with("/safe/") || request.target().starts_with("/post/")) {
        return {pauseFor(milliseconds), bytes(wholeAnswer(id, "good"))};
    }
    return {bytes(streamHead(id) + chunk("id: 1\ndata: a\n\n")),
            pauseFor(milliseconds),
            bytes(chunk("id: 2\ndata: b\n\n")),
            bytes(chunk("id: 3\ndata: good\n\n") + lastChunk())};
}

/// \brief Returns the number in field \a name of a log line; -1 if there is none.
std::int64_t fieldOf(const std::string &line, const std::string &name)
{
    const auto start = line.find(' ' + name + '=');
    return start == std::string::npos ? -1 : std::stoll(line.substr(start + name.size() + 2));
}

/// \brief Lines of \a gateway about configurations that it has put in force.
std::vector<std::string> configurationLines(const TestProgram &gateway)
{
    std::vector<std::string> result;
    std::istringstream text(gateway.output());
    for (std::string line; std::getline(text, line);) {
        if (line.find("ServingConfigurationInForce") != std::string::npos || line.find("ServingConfigurationReplaced") != std::string::npos) {
            result.push_back(line);
        }
    }
    return result;
}

/// \brief Span in which requests of one gateway count as beside a change.
struct ChangeSpan {
    std::size_t gateway = 0;
    Time begin = Time(Duration(0));
    Time end = Time(Duration(0));
};

/// \brief Two gateways with the large configuration in force, endpoints, and callers on kept connections.
class Deployment
{
public:
    explicit Deployment(unsigned seed, std::size_t callers = CALLERS)
    {
        fixture_.onStandins([this] {
            fixture_.store().stateEra(1);
        });
        for (std::size_t i = 0; i < ENDPOINTS; ++i) {
            endpoints_.push_back(&fixture_.addEndpoint(nameOf(i), "plain", answerSoon));
        }
        write(versionText(1, 0));
        copy_ = fixture_.onStandins([this] {
            return fixture_.store().copy();
        });
        group_ = std::make_unique<GatewayGroup>(fixture_, static_cast<int>(GATEWAYS));
        load_ = {callers, seed, {"/safe/x", "/post/x", "/stream/x", "/resume/x"}, {}};
        for (std::size_t i = 0; i < 20; ++i) {
            load_.keys.push_back("key-" + std::to_string(i * 59) + "-0-0-0123456789abcdef");
        }
        callers_ = std::make_unique<KeptCallers>(*group_, load_);
        std::this_thread::sleep_for(CALM);
    }

    static std::string nameOf(std::size_t endpoint)
    {
        return "i-" + std::to_string(endpoint);
    }

    GatewayFixture &fixture()
    {
        return fixture_;
    }

    GatewayGroup &group()
    {
        return *group_;
    }

    EndpointStandin &endpoint(std::size_t index)
    {
        return *endpoints_[index];
    }

    EndpointStandin &addEndpoint(const std::string &name)
    {
        endpoints_.push_back(&fixture_.addEndpoint(name, "plain", answerSoon));
        return *endpoints_.back();
    }

    void write(const std::string &text)
    {
        fixture_.onStandins([&] {
            fixture_.store().put(OPERATORS, "config", text);
        });
    }

    /// \brief Returns the store to what it held before the callers began, and writes \a text before the next read.
    void restoreStore(const std::string &text)
    {
        fixture_.onStandins([&] {
            fixture_.store().restore(copy_);
            fixture_.store().put(OPERATORS, "config", text);
        });
    }

    /// \brief Runs \a change, and waits until all gateways that run show \a line. \param beside further work while the gateways take up the change.
    void change(const std::string &line, const std::function<void()> &change, const std::function<void()> &beside = [] {})
    {
        const Time begin = MilliClock::now();
        change();
        beside();
        for (std::size_t i = 0; i < GATEWAYS; ++i) {
            if (i != stopped_) {
                group_->gateway(i).waitForOutput(line);
            }
            spans_.push_back({i, begin, MilliClock::now() + AFTER_CHANGE});
        }
        longestChange_ = std::max(longestChange_, MilliClock::now() - begin);
    }

    void changeTo(std::int64_t version, std::size_t added, const std::function<void()> &beside = [] {})
    {
        const std::string text = versionText(version, added);
        change(
            "version=" + std::to_string(version) + " routes=",
            [&] {
                write(text);
            },
            beside);
    }

    /// \brief Sends SIGTERM to a gateway. From now on it may close connections that a request crosses.
    void terminate(std::size_t gateway)
    {
        stopped_ = gateway;
        terminatedAt_ = MilliClock::now();
        group_->gateway(gateway).send(SIGTERM);
    }

    /// \brief Time that pieces of preparation and the step that puts a version in force took, on gateways that ran all the while.
    void checkStalls(const std::set<std::size_t> &heldUp = {})
    {
        for (std::size_t i = 0; i < GATEWAYS; ++i) {
            std::int64_t routes = 0;
            for (const std::string &line : configurationLines(group_->gateway(i))) {
                CAPTURE(line);
                if (!heldUp.contains(i)) {
                    CHECK(fieldOf(line, "longest_ms") >= 0);
                    CHECK(fieldOf(line, "longest_ms") <= MOST_STALL.count());
                    CHECK(fieldOf(line, "apply_ms") <= MOST_STALL.count());
                    longestPiece_ = std::max(longestPiece_, fieldOf(line, "longest_ms"));
                    longestApply_ = std::max(longestApply_, fieldOf(line, "apply_ms"));
                }
                // The first route is always decoded. A version that replaces one with the same number has other routes in place of all that were added.
                const bool replaces = line.find("ServingConfigurationReplaced") != std::string::npos;
                const std::int64_t changed = replaces ? fieldOf(line, "routes") - routesOfSize() : fieldOf(line, "routes") - routes;
                CHECK(fieldOf(line, "decoded_routes") <= changed + 1);
                routes = fieldOf(line, "routes");
            }
        }
    }

    /// \brief Ends the callers and checks that no request was lost, that no request with the promise not to have run has, and that all were served in the end.
    void finish()
    {
        std::this_thread::sleep_for(CALM);
        const std::vector<CallerAttempt> &attempts = callers_->finish();
        const std::multiset<std::string> arrived = arrivedIds();
        std::size_t lostBeside = 0;
        std::size_t lostOtherwise = 0;
        std::size_t refused = 0;
        Duration longest(0);
        for (const CallerAttempt &attempt : attempts) {
            longest = std::max(longest, attempt.ended - attempt.sent);
            refused += isRefusal(attempt.status) ? 1 : 0;
            CAPTURE(attempt.id, attempt.target, attempt.gateway, attempt.status);
            if (isRefusal(attempt.status) && arrived.contains(attempt.id)) {
                FAIL_CHECK("a request that was refused as not run has run");
            }
            if (attempt.target == "/post/x" && arrived.count(attempt.id) > 1) {
                FAIL_CHECK("a request that may run once has run twice");
            }
            if (isLost(attempt, arrived.contains(attempt.id))) {
                (isBesideChange(attempt) ? lostBeside : lostOtherwise) += 1;
            }
        }
        WARN(attempts.size() << " requests, lost " << lostBeside << " beside changes and " << lostOtherwise << " at other times, " << refused
                             << " refused; longest answer " << longest.count() << " ms, slowest change " << longestChange_.count() << " ms, longest piece "
                             << longestPiece_ << " ms, longest apply " << longestApply_ << " ms");
        CHECK(lostBeside == 0);
        CHECK(lostOtherwise == 0);
        CHECK(attempts.size() > 8 * load_.callers);
        REQUIRE(callers_->finalStatuses().size() >= load_.callers);
        for (const unsigned status : callers_->finalStatuses()) {
            CHECK(status == 200);
        }
    }

private:
    static std::int64_t routesOfSize()
    {
        return static_cast<std::int64_t>(SIZE.routes) + 4;
    }

    std::multiset<std::string> arrivedIds() const
    {
        std::multiset<std::string> result;
        for (const EndpointStandin *endpoint : endpoints_) {
            for (const Arrival &arrival : endpoint->arrivals()) {
                result.insert(requestIdOf(arrival.request));
            }
        }
        return result;
    }

    [[nodiscard]] bool isLost(const CallerAttempt &attempt, bool hasRun) const
    {
        if (attempt.complete || (attempt.restedTooLong && !hasRun)) {
            return false;
        }
        const bool stops = attempt.gateway == stopped_ && attempt.ended >= terminatedAt_;
        return !stops || hasRun || attempt.ended - attempt.sent > LOSS_SLACK;
    }

    [[nodiscard]] bool isBesideChange(const CallerAttempt &attempt) const
    {
        return std::ranges::any_of(spans_, [&](const ChangeSpan &span) {
            return span.gateway == attempt.gateway && attempt.ended >= span.begin && attempt.sent <= span.end;
        });
    }

    GatewayFixture fixture_;
    std::vector<EndpointStandin *> endpoints_;
    StoreStandin::Copy copy_;
    std::unique_ptr<GatewayGroup> group_;
    KeptCallers::Load load_;
    std::unique_ptr<KeptCallers> callers_;
    std::vector<ChangeSpan> spans_;
    /// \brief Gateway that has got SIGTERM; GATEWAYS if there is none.
    std::size_t stopped_ = GATEWAYS;
    Time terminatedAt_ = Time(Duration(0));
    Duration longestChange_ = Duration(0);
    std::int64_t longestPiece_ = 0;
    std::int64_t longestApply_ = 0;
};

/// \brief Lets the gateways of a group run for a tenth of the time only, in spans of 5 ms.
class ProcessorQuota
{
public:
    explicit ProcessorQuota(GatewayGroup &group)
        : group_(group)
        , thread_([this] {
            while (!ending_) {
                send(SIGSTOP);
                std::this_thread::sleep_for(std::chrono::milliseconds(45));
                send(SIGCONT);
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
        })
    {
    }

    ~ProcessorQuota()
    {
        ending_ = true;
        thread_.join();
    }

    ProcessorQuota(const ProcessorQuota &) = delete;
    ProcessorQuota &operator=(const ProcessorQuota &) = delete;

private:
    void send(int signal)
    {
        for (std::size_t i = 0; i < group_.size(); ++i) {
            group_.gateway(i).send(signal);
        }
    }

    GatewayGroup &group_;
    std::atomic<bool> ending_ = false;
    std::thread thread_;
};
} // namespace

// Guards against requests on kept connections that are closed without a status line, because the event loop stops while a grown configuration is read, and
// against routes that are decoded again although their text is the same.
TEST_CASE("No request is lost while versions add routes to a large configuration", "[gateway][growth]")
{
    Deployment deployment(1);
    for (std::int64_t version = 2; version <= 6; ++version) {
        deployment.changeTo(version, 100 * static_cast<std::size_t>(version - 1));
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    deployment.checkStalls();
    deployment.finish();
}

// Guards against versions in quick succession that are each decoded, and keep the event loop busy for their sum.
TEST_CASE("No request is lost while a large configuration changes ten times within a second", "[gateway][growth]")
{
    Deployment deployment(2);
    std::vector<std::string> texts;
    constexpr std::size_t versions = 10;
    for (std::size_t i = 1; i <= versions; ++i) {
        texts.push_back(versionText(static_cast<std::int64_t>(i) + 1, i));
    }
    deployment.change("version=" + std::to_string(versions + 1) + " routes=", [&] {
        for (const std::string &text : texts) {
            deployment.write(text);
            std::this_thread::sleep_for(std::chrono::milliseconds(90));
        }
    });
    deployment.checkStalls();
    deployment.finish();
}

// Guards against requests that are lost beside few of many changes.
TEST_CASE("No request is lost while a large configuration changes every two seconds", "[gateway][growth]")
{
    Deployment deployment(3);
    auto next = std::chrono::steady_clock::now();
    for (std::int64_t version = 2; version <= 7; ++version) {
        deployment.changeTo(version, static_cast<std::size_t>(version));
        next += std::chrono::seconds(2);
        std::this_thread::sleep_until(next);
    }
    deployment.checkStalls();
    deployment.finish();
}

// Guards against a replacement that is prepared in one step, or ends calls that began with the text before.
TEST_CASE("No request is lost while another text replaces a version after a restore of the store", "[gateway][growth]")
{
    Deployment deployment(4);
    deployment.changeTo(2, 3);
    const std::string other = versionText(2, 5, "-other");
    deployment.change("ServingConfigurationReplaced", [&] {
        deployment.restoreStore(other);
    });
    deployment.checkStalls();
    deployment.finish();
}

// Guards against a gateway that closes connections with requests that it has read, because a change and its planned stop coincide.
TEST_CASE("No request is lost while a large configuration changes beside a planned stop", "[gateway][growth]")
{
    Deployment deployment(5);
    deployment.changeTo(2, 100, [&] {
        deployment.terminate(0);
    });
    deployment.changeTo(3, 200);
    CHECK(deployment.group().gateway(0).wait() == 0);
    deployment.checkStalls();
    deployment.finish();
}

// Guards against a reload of the settings in the midst of a preparation that loses either, or requests.
TEST_CASE("No request is lost while a large configuration changes beside a reload of the settings", "[gateway][growth]")
{
    Deployment deployment(6);
    for (std::int64_t version = 2; version <= 4; ++version) {
        deployment.changeTo(version, 50 * static_cast<std::size_t>(version), [&] {
            for (std::size_t i = 0; i < GATEWAYS; ++i) {
                deployment.group().gateway(i).send(SIGHUP);
            }
        });
        deployment.group().gateway(0).waitForOutput("SettingsReloaded");
    }
    deployment.checkStalls();
    deployment.finish();
}

// Guards against calls that lose their endpoint, or their endpoint's replacement, because a change and a release coincide.
TEST_CASE("No request is lost while a large configuration changes beside a release of an endpoint", "[gateway][growth]")
{
    Deployment deployment(7);
    GatewayFixture &fixture = deployment.fixture();
    std::int64_t version = 2;
    for (const std::size_t released : {std::size_t(0), std::size_t(1)}) {
        const std::string name = Deployment::nameOf(released);
        const std::string address = deployment.endpoint(released).address();
        deployment.changeTo(version, static_cast<std::size_t>(version), [&] {
            deployment.addEndpoint("i-new-" + std::to_string(released));
            fixture.onStandins([&] {
                fixture.announce(name, "plain", address, "draining");
            });
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        deployment.changeTo(version + 1, static_cast<std::size_t>(version) + 1, [&] {
            fixture.onStandins([&] {
                fixture.store().put("keyed.servers", name, "");
            });
        });
        version += 2;
    }
    deployment.checkStalls();
    deployment.finish();
}

// Guards against timeouts that end connections with requests that came while the process was frozen.
TEST_CASE("No request is lost while a large configuration changes beside a freeze of a gateway", "[gateway][growth]")
{
    Deployment deployment(8);
    for (std::int64_t version = 2; version <= 4; ++version) {
        deployment.changeTo(version, 10 * static_cast<std::size_t>(version), [&] {
            deployment.group().gateway(0).send(SIGSTOP);
            std::this_thread::sleep_for(std::chrono::milliseconds(700));
            deployment.group().gateway(0).send(SIGCONT);
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
    deployment.checkStalls({0});
    deployment.finish();
}

// Guards against the same on machines with a small share of a processor: the gateways run for a tenth of the time.
TEST_CASE("No request is lost while a large configuration changes on gateways with a tenth of a processor", "[gateway][growth]")
{
    constexpr std::size_t callers = 24;
    Deployment deployment(9, callers);
    const ProcessorQuota quota(deployment.group());
    std::this_thread::sleep_for(CALM);
    for (std::int64_t version = 2; version <= 5; ++version) {
        deployment.changeTo(version, 100 * static_cast<std::size_t>(version));
    }
    deployment.checkStalls({0, 1});
    deployment.finish();
}

// Guards against a gateway that never reads a configuration again once its record has grown beyond what one answer of the store may have.
TEST_CASE("A configuration of some megabytes comes into force from a snapshot and as a change", "[gateway][growth]")
{
    constexpr ServingConfigurationSize size = {16'000, 1'200, 2};
    GatewayFixture fixture;
    fixture.addEndpoint("i-1", "plain", answerSoon);
    const auto write = [&](std::int64_t version) {
        const std::string text = versionText(version, 1, {}, size);
        fixture.onStandins([&] {
            fixture.store().put(OPERATORS, "config", text);
        });
    };
    write(1);
    fixture.startGateway();
    fixture.awaitReady();
    write(2);
    fixture.gateway().waitForOutput("version=2 routes=");
    CHECK_FALSE(fixture.gateway().hasOutput("StoreLost"));
}
