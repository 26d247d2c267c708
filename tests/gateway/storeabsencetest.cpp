#include "gatewayfixture.h"
#include "peerstandin.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
constexpr auto HEARTBEAT_INTERVAL = std::chrono::milliseconds(200);
constexpr const char *REGAINED = "StoreRegained process=g1 topic=endpoints";
constexpr auto CUT_TIME = std::chrono::milliseconds(2500);

/// \brief Two endpoints that write heartbeats from a thread of their own, one of which can leave without an announcement.
class BeatingEndpoints
{
public:
    explicit BeatingEndpoints(GatewayFixture &fixture)
        : fixture_(fixture)
        , leaving_(fixture.addEndpoint("i-1", "plain", answer(), R"(,"seqNum":1)"))
        , staying_(fixture.addEndpoint("i-2", "plain", answer(), R"(,"seqNum":1)"))
        , thread_([this] {
            auto next = std::chrono::steady_clock::now();
            while (!stopped_) {
                next += HEARTBEAT_INTERVAL;
                std::this_thread::sleep_until(next);
                beat();
            }
        })
    {
        fixture.configure();
    }

    ~BeatingEndpoints()
    {
        stopped_ = true;
        thread_.join();
    }

    BeatingEndpoints(const BeatingEndpoints &) = delete;
    BeatingEndpoints &operator=(const BeatingEndpoints &) = delete;

    /// \brief While set, the store gets no heartbeats.
    void setPaused(bool paused)
    {
        paused_ = paused;
    }

    /// \brief Removes the entry of the first endpoint. It writes no heartbeats any more, but still answers calls.
    void removeFirst()
    {
        hasLeft_ = true;
        fixture_.onStandins([this] {
            fixture_.store().put("keyed.servers", "i-1", "");
        });
    }

    void registerFirstAgain()
    {
        hasLeft_ = false;
    }

    /// \brief Returns the number of calls that reach the first endpoint, of ten calls that are all answered.
    std::size_t callsToFirst()
    {
        const std::size_t before = leaving_.arrivals().size();
        for (int i = 0; i < 10; ++i) {
            CHECK(fixture_.call(GatewayFixture::request(http::verb::get, "/safe/x", "r" + std::to_string(++calls_))).result_int() == 200);
        }
        return leaving_.arrivals().size() - before;
    }

private:
    static EndpointStandin::Script answer()
    {
        return [](const HttpRequest &request) -> AnswerSteps {
            return {bytes(wholeAnswer(requestIdOf(request), "good"))};
        };
    }

    void beat()
    {
        if (paused_) {
            return;
        }
        ++number_;
        fixture_.onStandins([this] {
            const std::string number = R"(,"seqNum":)" + std::to_string(number_);
            if (!hasLeft_) {
                fixture_.announce("i-1", "plain", leaving_.address(), "ready", number);
            }
            fixture_.announce("i-2", "plain", staying_.address(), "ready", number);
        });
    }

    GatewayFixture &fixture_;
    EndpointStandin &leaving_;
    EndpointStandin &staying_;
    int number_ = 1;
    int calls_ = 0;
    std::atomic<bool> paused_ = false;
    std::atomic<bool> hasLeft_ = false;
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

void setMode(GatewayFixture &fixture, StoreMode mode)
{
    fixture.onStandins([&] {
        fixture.store().setMode(mode);
    });
}

int endpointReadFailures(const GatewayFixture &fixture)
{
    const std::string name = "mimosatally_store_failures_total{topic=\"endpoints\"} ";
    const std::string text = get(fixture.metricsAddress(), "/metrics").body();
    const std::size_t start = text.find(name);
    return start == std::string::npos ? 0 : std::stoi(text.substr(start + name.size()));
}

std::string heartbeatSetting()
{
    return "heartbeat_interval = \"" + std::to_string(HEARTBEAT_INTERVAL.count()) + "ms\"\n";
}
} // namespace

// Guards against calls to an endpoint that left while the gateway, and nobody else, was cut off from the store: its entry was kept for two seconds after the
// gateway's first read.
TEST_CASE("An endpoint that left while only the gateway was cut off gets no calls after the next read", "[gateway][absence]")
{
    GatewayFixture fixture;
    BeatingEndpoints endpoints(fixture);
    fixture.startGateway(heartbeatSetting());
    fixture.awaitReady();
    fixture.gateway().waitForOutput("endpoint=i-2");
    setMode(fixture, StoreMode::Unresponsive);
    std::this_thread::sleep_for(CUT_TIME / 2);
    endpoints.removeFirst();
    std::this_thread::sleep_for(CUT_TIME / 2);
    setMode(fixture, StoreMode::Serving);
    fixture.gateway().waitForOutput(REGAINED);
    constexpr auto settleTime = std::chrono::milliseconds(200);
    std::this_thread::sleep_for(settleTime);
    CHECK(endpoints.callsToFirst() == 0);
}

// Guards against a gateway that drops live endpoints because their entries lapsed while the store was away for all.
TEST_CASE("An endpoint whose entry lapsed while the store was away for all still gets calls", "[gateway][absence]")
{
    GatewayFixture fixture;
    BeatingEndpoints endpoints(fixture);
    fixture.startGateway(heartbeatSetting());
    fixture.awaitReady();
    fixture.gateway().waitForOutput("endpoint=i-2");
    endpoints.setPaused(true);
    setMode(fixture, StoreMode::Unresponsive);
    std::this_thread::sleep_for(CUT_TIME);
    endpoints.removeFirst();
    setMode(fixture, StoreMode::Serving);
    fixture.gateway().waitForOutput(REGAINED);
    CHECK(endpoints.callsToFirst() > 0);
    endpoints.registerFirstAgain();
    endpoints.setPaused(false);
    constexpr auto graceTime = std::chrono::milliseconds(3000);
    std::this_thread::sleep_for(graceTime);
    CHECK(endpoints.callsToFirst() > 0);
}

// Guards against a gateway that, after a cut, goes on with its old view of the endpoints for the seconds of its back-off although its peers are heard again.
TEST_CASE("A datagram after a silence of all peers lets the endpoints be read at once", "[gateway][absence]")
{
    internal::PeerDatagram datagram;
    datagram.region = RegionId("r");
    const std::string bytes = internal::encodeDatagram(datagram);
    GatewayFixture fixture;
    BeatingEndpoints endpoints(fixture);
    PeerStandin peer("127.0.0.2");
    fixture.startGateway(heartbeatSetting() + "notices = \"127.0.0.1:" + std::to_string(peer.port()) + "\"\npeers = [\"127.0.0.2:1\"]\n");
    fixture.awaitReady();
    peer.sendTo("127.0.0.1", bytes);
    setMode(fixture, StoreMode::Unresponsive);
    // After the third failure the pause is a second or longer.
    constexpr int longPauseFailures = 3;
    waitUntil("the gateway waits long before its next read", [&] {
        return endpointReadFailures(fixture) >= longPauseFailures;
    });
    setMode(fixture, StoreMode::Serving);
    const auto healed = std::chrono::steady_clock::now();
    peer.sendTo("127.0.0.1", bytes);
    fixture.gateway().waitForOutput(REGAINED);
    constexpr auto maxTime = std::chrono::milliseconds(700);
    CHECK(std::chrono::steady_clock::now() - healed < maxTime);
}
