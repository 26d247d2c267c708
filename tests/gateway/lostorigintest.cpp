#include "takeupchecks.h"

#include <future>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
/// \brief Pause between events, so that a stream lasts as long as the trouble.
constexpr int SLOW_PAUSE_MS = 250;
constexpr auto STREAM_AGE = std::chrono::milliseconds(700);
constexpr int STREAMS = 48;
/// \brief Endpoints write their first heartbeats before the streams begin.
constexpr int HEARTBEATS = 3;

/// \brief What makes the origin of a stream ambiguous, and when.
enum class Ambiguity {
    TwoVersions,
    SecondVersionJoins,
    SplitRoute,
    SplitAndTwoVersions,
};

enum class Loss {
    OneGateway,
    TwoGateways,
    /// \brief All, which start again.
    AllGateways,
};

/// \brief Gateways and engines of one cell of the table in docs/stream-versions.md.
class LostOrigins
{
public:
    LostOrigins(Ambiguity ambiguity, Loss loss)
        : ambiguity_(ambiguity)
        , loss_(loss)
        , engines_(fixture_)
    {
        const bool split = ambiguity == Ambiguity::SplitRoute || ambiguity == Ambiguity::SplitAndTwoVersions;
        const bool mixed = ambiguity == Ambiguity::TwoVersions || ambiguity == Ambiguity::SplitAndTwoVersions;
        engines_.configure(split);
        for (int i = 0; i < ENGINES_OF_VERSION; ++i) {
            add("v1-" + std::to_string(i), "v1", "plain");
            if (mixed) {
                add("v2-" + std::to_string(i), "v2", "plain");
            }
            if (split) {
                // The service is told by its version, which no endpoint of the other one has.
                add("other-" + std::to_string(i), "other", "other");
            }
        }
        for (int beat = 0; beat < HEARTBEATS; ++beat) {
            for (const std::string &id : ids_) {
                engines_.announce(id);
            }
        }
        group_.emplace(fixture_, GATEWAYS_OF_CELL);
        group_->awaitPeers();
    }

    StreamTotals run()
    {
        std::promise<void> lost;
        const std::shared_future<void> settled = lost.get_future().share();
        std::thread trouble([&] {
            std::this_thread::sleep_for(STREAM_AGE);
            lose();
            lost.set_value();
        });
        const auto outcomes = runCallers(STREAMS, STREAMS, [&](int number) {
            // With one or two lost gateways all streams run there; the others take them up.
            const int first = number % lostGateways();
            const int later = loss_ == Loss::AllGateways ? number + 1 : lostGateways() + number % (GATEWAYS_OF_CELL - lostGateways());
            return ResumingCaller(idOf("s", number), fromTo(*group_, first, later))
                .pause(SLOW_PAUSE_MS)
                .beforeTakeUp([&](const StreamOutcome &) {
                    settled.wait();
                })
                .run();
        });
        trouble.join();
        return totalsOf(outcomes);
    }

private:
    static constexpr int ENGINES_OF_VERSION = 3;
    static constexpr int GATEWAYS_OF_CELL = 4;

    [[nodiscard]] int lostGateways() const
    {
        return loss_ == Loss::OneGateway ? 1 : loss_ == Loss::TwoGateways ? 2 : GATEWAYS_OF_CELL;
    }

    void add(const std::string &id, const std::string &version, const std::string &service)
    {
        engines_.start(id, version, service);
        ids_.push_back(id);
    }

    void lose()
    {
        if (loss_ == Loss::AllGateways) {
            group_->killAll();
        } else {
            for (int i = 0; i < lostGateways(); ++i) {
                group_->kill(static_cast<std::size_t>(i));
            }
        }
        if (ambiguity_ == Ambiguity::SecondVersionJoins) {
            engines_.start("v2-0", "v2", "plain");
        }
        if (loss_ == Loss::AllGateways) {
            group_->restartAll();
        }
        // Longer than the pause between two reads of the endpoints.
        std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    }

    Ambiguity ambiguity_;
    Loss loss_;
    GatewayFixture fixture_;
    VersionedEngines engines_;
    std::vector<std::string> ids_;
    std::optional<GatewayGroup> group_;
};

void checkCell(Ambiguity ambiguity, Loss loss, int percent)
{
    LostOrigins cell(ambiguity, loss);
    const StreamTotals totals = cell.run();
    CAPTURE(static_cast<int>(ambiguity), static_cast<int>(loss));
    checkVersions(totals);
    checkShareThatWentOn(totals, percent);
}
} // namespace

// Guards against streams that are lost with all gateways because only their memory held which of two versions began each.
TEST_CASE("Streams go on after all gateways were lost while two versions serve", "[gateway][takeup][lostorigin]")
{
    checkCell(Ambiguity::TwoVersions, Loss::AllGateways, NEARLY_ALL);
}

// Guards against streams that are lost with their gateways because a second version joins before they are taken up.
TEST_CASE("Streams of lost gateways go on although a second version joins before they are taken up", "[gateway][takeup][lostorigin]")
{
    const Loss loss = GENERATE(Loss::OneGateway, Loss::TwoGateways, Loss::AllGateways);
    checkCell(Ambiguity::SecondVersionJoins, loss, HALF);
}

// Guards against streams of a split route that are lost with their gateways, because any of its services may have begun them.
TEST_CASE("Streams of a split route go on after their gateways were lost", "[gateway][takeup][lostorigin]")
{
    const Loss loss = GENERATE(Loss::OneGateway, Loss::TwoGateways, Loss::AllGateways);
    checkCell(Ambiguity::SplitRoute, loss, NEARLY_ALL);
}

// Guards against the same where one of the services has two versions.
TEST_CASE("Streams of a split route with two versions go on after all gateways were lost", "[gateway][takeup][lostorigin]")
{
    checkCell(Ambiguity::SplitAndTwoVersions, Loss::AllGateways, NEARLY_ALL);
}
