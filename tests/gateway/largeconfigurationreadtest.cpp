#include "configuration/servingconfigurationsample.h"
#include "gatewayfixture.h"
#include "slowrelay.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
constexpr const char *OPERATORS = "keyed.op";
constexpr const char *CONFIGURATION_KEY = "config";
/// \brief 8 Mbit/s: the configuration of LARGE_CONFIGURATION takes more than the time for which a read waits for a new version and its answer.
constexpr std::size_t SLOW_BYTES_PER_SECOND = 1'000'000;
constexpr const char *CONFIGURATION_LOST = "StoreLost process=g1 topic=configuration";

/// \brief A gateway's surroundings with a large configuration, and a link to the store.
class LargeConfiguration
{
public:
    explicit LargeConfiguration(GatewayFixture &fixture, samples::ServingConfigurationSize size = samples::LARGE_CONFIGURATION)
        : fixture_(fixture)
        , size_(size)
    {
        fixture.addEndpoint("i-1", "plain", [](const HttpRequest &request) -> AnswerSteps {
            return {bytes(wholeAnswer(requestIdOf(request), "good"))};
        });
        put(1);
        relay_ = &addRelay(fixture.store().address());
    }

    SlowRelay &addRelay(const std::string &server)
    {
        return fixture_.onStandins([&]() -> SlowRelay & {
            relays_.push_back(std::make_unique<SlowRelay>(fixture_.io(), server));
            return *relays_.back();
        });
    }

    SlowRelay &storeLink()
    {
        return *relay_;
    }

    void put(int version)
    {
        const std::string text = samples::servingConfigurationText(size_, version);
        fixture_.onStandins([&] {
            fixture_.store().put(OPERATORS, CONFIGURATION_KEY, text);
        });
    }

    void setRate(SlowRelay &relay, std::size_t bytesPerSecond)
    {
        fixture_.onStandins([&] {
            relay.setRate(bytesPerSecond);
        });
    }

    std::size_t delivered(SlowRelay &relay)
    {
        return fixture_.onStandins([&] {
            return relay.delivered();
        });
    }

private:
    GatewayFixture &fixture_;
    samples::ServingConfigurationSize size_;
    SlowRelay *relay_ = nullptr;
    std::vector<std::unique_ptr<SlowRelay>> relays_;
};

void awaitVersion(GatewayFixture &fixture, int version)
{
    fixture.gateway().waitForOutput("ServingConfigurationInForce process=g1 version=" + std::to_string(version) + " ");
}
} // namespace

// Guards against a gateway that never becomes ready because the snapshot of a large configuration takes longer than the timeout of an answer.
TEST_CASE("A gateway that starts behind a slow link gets a large configuration", "[gateway][largeconfiguration]")
{
    GatewayFixture fixture;
    LargeConfiguration configuration(fixture);
    configuration.setRate(configuration.storeLink(), SLOW_BYTES_PER_SECOND);
    fixture.startGateway({}, configuration.storeLink().address());
    awaitVersion(fixture, 1);
    fixture.awaitReady();
    CHECK_FALSE(fixture.gateway().hasOutput(CONFIGURATION_LOST));
}

// Guards against a version that a running gateway never reads because its text takes longer than the poll and the timeout of an answer.
TEST_CASE("A running gateway behind a slow link gets a large version", "[gateway][largeconfiguration]")
{
    GatewayFixture fixture;
    LargeConfiguration configuration(fixture);
    fixture.startGateway({}, configuration.storeLink().address());
    awaitVersion(fixture, 1);
    configuration.setRate(configuration.storeLink(), SLOW_BYTES_PER_SECOND);
    configuration.put(2);
    awaitVersion(fixture, 2);
    CHECK_FALSE(fixture.gateway().hasOutput(CONFIGURATION_LOST));
}

// Guards against a gateway that stays with the configuration of before a restore of the store, because the snapshot takes longer than the timeout.
TEST_CASE("A gateway behind a slow link gets a large configuration after a restore", "[gateway][largeconfiguration][restore]")
{
    GatewayFixture fixture;
    LargeConfiguration configuration(fixture);
    const StoreStandin::Copy copy = fixture.onStandins([&] {
        fixture.store().stateEra(1);
        return fixture.store().copy();
    });
    configuration.put(2);
    fixture.startGateway({}, configuration.storeLink().address());
    awaitVersion(fixture, 2);
    configuration.setRate(configuration.storeLink(), SLOW_BYTES_PER_SECOND);
    fixture.onStandins([&] {
        fixture.store().restore(copy);
    });
    configuration.put(3);
    awaitVersion(fixture, 3);
    CHECK_FALSE(fixture.gateway().hasOutput(CONFIGURATION_LOST));
}

// Guards against a configuration that running gateways have in force and a gateway that starts cannot read, because its base64 exceeds a bound.
TEST_CASE("A gateway that starts reads a configuration of more than 3 MB", "[gateway][largeconfiguration]")
{
    GatewayFixture fixture;
    constexpr samples::ServingConfigurationSize size = {16'800, 2'400, 2};
    LargeConfiguration configuration(fixture, size);
    fixture.startGateway({}, configuration.storeLink().address());
    awaitVersion(fixture, 1);
    CHECK_FALSE(fixture.gateway().hasOutput(CONFIGURATION_LOST));
}

// Guards against a gateway without the store that never becomes ready, because the configuration of a peer exceeds the bound of a message or takes longer
// than the timeout of an answer.
TEST_CASE("A gateway without the store gets a large configuration of a peer over a slow link", "[gateway][largeconfiguration]")
{
    GatewayFixture fixture;
    LargeConfiguration configuration(fixture);
    SlowRelay &peer = configuration.addRelay(fixture.startPeer());
    configuration.setRate(peer, SLOW_BYTES_PER_SECOND);
    fixture.startGateway("peers = [\"" + peer.address() + "\"]\n", "127.0.0.1:1");
    awaitVersion(fixture, 1);
    fixture.awaitReady();
}

// Guards against a whole configuration that is fetched again with each failure of the store although it is in force.
TEST_CASE("A gateway without the store fetches the configuration of a peer once", "[gateway][largeconfiguration]")
{
    GatewayFixture fixture;
    LargeConfiguration configuration(fixture);
    SlowRelay &peer = configuration.addRelay(fixture.startPeer());
    fixture.startGateway("peers = [\"" + peer.address() + "\"]\n", "127.0.0.1:1");
    awaitVersion(fixture, 1);
    const std::size_t before = configuration.delivered(peer);
    constexpr auto severalFailures = std::chrono::seconds(4);
    std::this_thread::sleep_for(severalFailures);
    constexpr std::size_t severalAnswersWithoutConfiguration = 100'000;
    CHECK(configuration.delivered(peer) - before < severalAnswersWithoutConfiguration);
    configuration.put(2);
    awaitVersion(fixture, 2);
}

// Guards against endpoints that get no calls, or go on getting them, for the seconds that a configuration of a peer takes.
TEST_CASE("A gateway without the store applies the endpoints of a peer before its configuration", "[gateway][largeconfiguration]")
{
    GatewayFixture fixture;
    LargeConfiguration configuration(fixture);
    SlowRelay &peer = configuration.addRelay(fixture.startPeer());
    fixture.startGateway("peers = [\"" + peer.address() + "\"]\n", "127.0.0.1:1");
    awaitVersion(fixture, 1);
    constexpr std::size_t almostCut = 1;
    configuration.setRate(peer, almostCut);
    fixture.gateway().waitForOutput("PeerUnreachable");
    configuration.put(2);
    fixture.addEndpoint("i-2", "plain", [](const HttpRequest &) -> AnswerSteps {
        return {};
    });
    constexpr auto peerReadsBoth = std::chrono::seconds(3);
    std::this_thread::sleep_for(peerReadsBoth);
    configuration.setRate(peer, SLOW_BYTES_PER_SECOND);
    awaitVersion(fixture, 2);
    const std::string output = fixture.gateway().output();
    CHECK(output.find("EndpointChanged process=g1 endpoint=i-2") < output.find("ServingConfigurationInForce process=g1 version=2"));
}
