#include "gatewayfixture.h"
#include "unit/coroutinerunner.h"

#include "gateway/endpointhistory.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
const ServiceId MODEL("model");
const SoftwareVersion OLD("v1");

/// \brief Reader of the history of a store stand-in, in the state of a process that has just started.
struct HistoryFixture {
    HistoryFixture()
        : gateway(io, settingsFor(fixture.store().address()))
        , history(gateway)
    {
        const Time now = MilliClock::now();
        gateway.streams.versions().observe(MODEL, OLD, now);
        gateway.streams.versions().recordRead(false, now);
    }

    static GatewaySettings settingsFor(const std::string &store)
    {
        GatewaySettings settings;
        settings.store = store;
        settings.heartbeatInterval = Duration(1200);
        return settings;
    }

    void writeHeartbeats(const std::string &endpoint, const std::string &version, int first, int last)
    {
        fixture.onStandins([&] {
            for (int number = first; number <= last; ++number) {
                fixture.announce(endpoint, "model", "127.0.0.1:9", "ready", R"(,"version":")" + version + R"(","seqNum":)" + std::to_string(number));
            }
        });
    }

    /// \brief Reads with \a concurrent calls at once. \return the calls that the store has received for them.
    int cover(int concurrent = 1)
    {
        const int before = storeCalls();
        for (int i = 1; i < concurrent; ++i) {
            boost::asio::co_spawn(io, history.cover(), boost::asio::detached);
        }
        runCoroutine(io, [this] {
            return history.cover();
        });
        io.restart();
        return storeCalls() - before;
    }

    int storeCalls()
    {
        return fixture.onStandins([this] {
            return fixture.store().calls();
        });
    }

    std::optional<SoftwareVersion> onlyVersion()
    {
        return gateway.streams.versions().onlyVersion(MODEL, MilliClock::now());
    }

    GatewayFixture fixture;
    boost::asio::io_context io;
    internal::GatewayState gateway;
    internal::EndpointHistory history;
};
} // namespace

// Guards against a process that has just started and joins no stream for the lifetime of an origin, and against a read of the store for each call.
TEST_CASE("A history from the first record on shows the only version with one read", "[gateway]")
{
    HistoryFixture fixture;
    fixture.writeHeartbeats("i-1", "v1", 1, 2);
    CHECK_FALSE(fixture.onlyVersion());
    CHECK(fixture.cover(5) == 1);
    CHECK(fixture.onlyVersion() == OLD);
    CHECK(fixture.cover() == 0);
}

// Guards against a version that has left before the process started and whose streams are joined to the one that is left.
TEST_CASE("A history shows a version whose endpoint is gone", "[gateway]")
{
    HistoryFixture fixture;
    fixture.writeHeartbeats("i-1", "v1", 1, 2);
    fixture.writeHeartbeats("i-2", "v2", 1, 1);
    fixture.fixture.onStandins([&] {
        fixture.fixture.store().put("keyed.servers", "i-2", "");
        fixture.fixture.store().put("keyed.servers", "i-3", "no record of an endpoint");
    });
    fixture.cover();
    CHECK_FALSE(fixture.onlyVersion());
    CHECK(fixture.gateway.streams.versions().isMixed(MODEL, MilliClock::now()));
}

// Guards against a history that reaches back less far than streams that are taken up, and counts as complete.
TEST_CASE("A history whose first records were deleted covers as many heartbeats as it has", "[gateway]")
{
    const int heartbeats = GENERATE(0, 5, 13, 14);
    HistoryFixture fixture;
    fixture.writeHeartbeats("i-1", "v1", 1, 100);
    fixture.fixture.onStandins([&] {
        fixture.fixture.store().dropHistory("keyed.servers");
    });
    fixture.writeHeartbeats("i-1", "v1", 101, 100 + heartbeats);
    CHECK(fixture.cover() == 2);
    // 13 intervals of 1.2 s are more than the 15 s of the lifetime.
    CHECK(fixture.onlyVersion().has_value() == (heartbeats == 14));
}

// Guards against a conclusion without the store, and against calls to a failing store for each lookup.
TEST_CASE("A store that fails is asked for the history at most once a second", "[gateway]")
{
    HistoryFixture fixture;
    fixture.writeHeartbeats("i-1", "v1", 1, 2);
    fixture.fixture.onStandins([&] {
        fixture.fixture.store().setMode(StoreMode::Unavailable);
    });
    CHECK(fixture.cover() == 1);
    CHECK(fixture.cover() == 0);
    CHECK_FALSE(fixture.onlyVersion());
    fixture.fixture.onStandins([&] {
        fixture.fixture.store().setMode(StoreMode::Serving);
    });
    waitUntil("the history is read", [&] {
        fixture.cover();
        return fixture.onlyVersion().has_value();
    });
    CHECK(fixture.onlyVersion() == OLD);
}
