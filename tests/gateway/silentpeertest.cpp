#include "gatewayfixture.h"
#include "slowrelay.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
/// \brief Time from the acknowledgement of a version until it is in force (`configApplyMs`).
constexpr Duration APPLY_TIME = Duration(2500);

/// \brief What the peers of a gateway do with its questions.
enum class PeerFault {
    SilentAtOnce,
    SilentAfterFirstAnswer,
    SilentWithinAnswer,
    Unreadable,
};

/// \brief A gateway whose peers fail in one way while the store refuses one read of the configuration.
class FailingPeers
{
public:
    FailingPeers(PeerFault fault, std::size_t failing)
        : fault_(fault)
    {
        fixture_.configure();
        fixture_.addEndpoint("i-1", "plain", [](const HttpRequest &request) -> AnswerSteps {
            return {bytes(wholeAnswer(requestIdOf(request), "good"))};
        });
        const std::string peer = fixture_.startPeer();
        std::string peers;
        for (std::size_t i = 0; i < PEERS; ++i) {
            peers += (peers.empty() ? "\"" : ", \"") + addRelay(i < failing && fault == PeerFault::Unreadable ? fixture_.store().address() : peer) + '"';
        }
        fixture_.startGateway("peers = [" + peers + "]\n");
        fixture_.gateway().waitForOutput(inForce(1));
        fixture_.awaitReady();
        std::this_thread::sleep_for(SETTLING_TIME);
        fixture_.onStandins([&] {
            for (std::size_t i = 0; i < failing; ++i) {
                fail(*relays_[i]);
            }
        });
    }

    /// \brief Lets one read of the store fail and, as soon as a peer is asked, puts a version in a sound store. \return time until it is in force.
    Duration applyVersion()
    {
        const std::size_t before = questions();
        fixture_.onStandins([this] {
            fixture_.store().setMode(StoreMode::Unavailable);
        });
        fixture_.gateway().waitForOutput("StoreLost process=g1 topic=configuration");
        const std::size_t whenStuck = before + (fault_ == PeerFault::SilentAfterFirstAnswer ? 2 : 1);
        waitUntil("a peer is asked", [&] {
            return questions() >= whenStuck;
        });
        fixture_.onStandins([this] {
            fixture_.store().setMode(StoreMode::Serving);
        });
        fixture_.configure(2);
        const Time acknowledged = MilliClock::now();
        fixture_.gateway().waitForOutput(inForce(2));
        return MilliClock::now() - acknowledged;
    }

private:
    static constexpr std::size_t PEERS = 3;
    /// \brief Longer than the questions that follow the first snapshot, one for each of the peers.
    static constexpr auto SETTLING_TIME = std::chrono::milliseconds(6000);

    static std::string inForce(int version)
    {
        return "ServingConfigurationInForce process=g1 version=" + std::to_string(version) + ' ';
    }

    void fail(SlowRelay &relay) const
    {
        if (fault_ == PeerFault::SilentAtOnce) {
            relay.fallSilentAfter(0);
        } else if (fault_ == PeerFault::SilentAfterFirstAnswer) {
            relay.fallSilentAfter(1);
        } else if (fault_ == PeerFault::SilentWithinAnswer) {
            constexpr std::size_t byteEachSecond = 1;
            relay.setRate(byteEachSecond);
        }
    }

    std::string addRelay(const std::string &server)
    {
        return fixture_.onStandins([&] {
            relays_.push_back(std::make_unique<SlowRelay>(fixture_.io(), server));
            return relays_.back()->address();
        });
    }

    std::size_t questions()
    {
        return fixture_.onStandins([this] {
            std::size_t sum = 0;
            for (const auto &relay : relays_) {
                sum += relay->accepted();
            }
            return sum;
        });
    }

    GatewayFixture fixture_;
    PeerFault fault_;
    std::vector<std::unique_ptr<SlowRelay>> relays_;
};
} // namespace

// Guards against a peer that falls silent after it has answered one question, and keeps a gateway from reading the store for 6 s.
TEST_CASE("A peer that falls silent after its first answer delays no version of the store", "[gateway][silentpeer]")
{
    const std::size_t failing = GENERATE(1U, 3U);
    FailingPeers peers(PeerFault::SilentAfterFirstAnswer, failing);
    CHECK(peers.applyVersion() <= APPLY_TIME);
}

// Guards against the same delay by peers that fail in other ways, and against an unreadable answer that ends the task which reads the store.
TEST_CASE("No fault of all peers delays a version of the store", "[gateway][silentpeer]")
{
    const PeerFault fault = GENERATE(PeerFault::SilentAtOnce, PeerFault::SilentWithinAnswer, PeerFault::Unreadable);
    FailingPeers peers(fault, 3);
    CHECK(peers.applyVersion() <= APPLY_TIME);
}
