#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
constexpr const char *ENDPOINTS = "keyed.servers";
constexpr const char *OPERATORS = "keyed.op";

EndpointStandin::Script answerGood()
{
    return [](const HttpRequest &request) -> AnswerSteps {
        return {bytes(wholeAnswer(requestIdOf(request), "good"))};
    };
}

/// \brief Further fields of the heartbeat with this number within the lifetime of its endpoint.
std::string heartbeatNumber(int number)
{
    return R"(,"seqNum":)" + std::to_string(number);
}

/// \brief Two endpoints with some heartbeats, and a copy of the store from before the last ones.
class RestoredStore
{
public:
    explicit RestoredStore(GatewayFixture &fixture, bool statesEra = true)
        : fixture_(fixture)
        , leaving_(fixture.addEndpoint("i-1", "plain", answerGood(), heartbeatNumber(1)))
        , staying_(fixture.addEndpoint("i-2", "plain", answerGood(), heartbeatNumber(1)))
    {
        fixture.configure();
        copy_ = fixture.onStandins([&] {
            if (statesEra) {
                fixture.store().stateEra(1);
            }
            return fixture.store().copy();
        });
    }

    EndpointStandin &leaving()
    {
        return leaving_;
    }

    EndpointStandin &staying()
    {
        return staying_;
    }

    /// \brief Writes \a count heartbeats of both endpoints, numbered from 2 on.
    void beat(int count)
    {
        fixture_.onStandins([&] {
            for (int i = 0; i < count; ++i) {
                ++number_;
                fixture_.announce("i-1", "plain", leaving_.address(), "ready", heartbeatNumber(number_));
                fixture_.announce("i-2", "plain", staying_.address(), "ready", heartbeatNumber(number_));
            }
        });
    }

    /// \brief Returns to the copy; what \a rewrite writes is in the store before the next read.
    void restore(const std::function<void()> &rewrite = [] {})
    {
        fixture_.onStandins([&] {
            fixture_.store().restore(copy_);
            rewrite();
        });
    }

    /// \brief Returns the number of calls that reach the endpoint that is leaving, of ten calls that are all answered.
    std::size_t callsToLeaving()
    {
        const std::size_t before = leaving_.arrivals().size();
        for (int i = 0; i < 10; ++i) {
            CHECK(fixture_.call(GatewayFixture::request(http::verb::get, "/safe/x", "r" + std::to_string(++calls_))).result_int() == 200);
        }
        return leaving_.arrivals().size() - before;
    }

private:
    GatewayFixture &fixture_;
    EndpointStandin &leaving_;
    EndpointStandin &staying_;
    StoreStandin::Copy copy_;
    int number_ = 1;
    int calls_ = 0;
};
} // namespace

// Guards against an endpoint that goes on getting calls after it has said that it is leaving, because the offset of that record is smaller than those
// that were read before the store returned from an older copy. Without a stated era, the smaller end of the log shows that it went back.
TEST_CASE("An endpoint that leaves after a restore of the store gets no new calls", "[gateway][restore]")
{
    const auto statesEra = GENERATE(true, false);
    GatewayFixture fixture;
    RestoredStore store(fixture, statesEra);
    store.beat(10);
    fixture.startGateway();
    fixture.awaitReady();
    store.restore([&] {
        fixture.announce("i-1", "plain", store.leaving().address(), "draining", heartbeatNumber(12));
    });
    fixture.gateway().waitForOutput("state=leaving");
    CHECK(store.callsToLeaving() == 0);
}

// Guards against a configuration that is never read because others have written up to the reading position before the next read, so that the store
// does not report the position as unavailable.
TEST_CASE("A configuration is read after a restore although the reading position is in range again", "[gateway][restore]")
{
    GatewayFixture fixture;
    RestoredStore store(fixture);
    fixture.onStandins([&] {
        for (int i = 0; i < 5; ++i) {
            fixture.store().put(OPERATORS, "other", "x");
        }
    });
    fixture.startGateway();
    fixture.awaitReady();
    store.restore([&] {
        fixture.store().setMode(StoreMode::Unavailable);
    });
    fixture.gateway().waitForOutput("StoreLost");
    fixture.configure(2);
    fixture.onStandins([&] {
        for (int i = 0; i < 9; ++i) {
            fixture.store().put(OPERATORS, "other", "x");
        }
        fixture.store().setMode(StoreMode::Serving);
    });
    fixture.gateway().waitForOutput("version=2");
}

// Guards against an endpoint that is served again because the copy is older than its leaving and its removal.
TEST_CASE("An endpoint that left in the lost seconds is not served again", "[gateway][restore]")
{
    const auto announces = GENERATE(true, false);
    GatewayFixture fixture;
    RestoredStore store(fixture);
    fixture.startGateway();
    fixture.awaitReady();
    if (announces) {
        fixture.onStandins([&] {
            fixture.announce("i-1", "plain", store.leaving().address(), "draining", heartbeatNumber(2));
        });
        fixture.gateway().waitForOutput("state=leaving");
    }
    fixture.onStandins([&] {
        fixture.store().put(ENDPOINTS, "i-1", "");
    });
    fixture.gateway().waitForOutput("EndpointGone");
    store.restore();
    fixture.gateway().waitForOutput("StoreEraChanged");
    constexpr auto gracePeriod = std::chrono::milliseconds(2500);
    std::this_thread::sleep_for(gracePeriod);
    CHECK(store.callsToLeaving() == 0);
}

// Guards against a gateway that starts between a restore and the operator's rewriting, and serves with an older configuration than the other gateways.
TEST_CASE("A gateway that starts after a restore takes the newer configuration of a peer", "[gateway][restore]")
{
    GatewayFixture fixture;
    RestoredStore store(fixture);
    fixture.configure(2);
    const std::string peer = fixture.startPeer();
    store.restore();
    fixture.startGateway("peers = [\"127.0.0.1:1\", \"" + peer + "\"]\n");
    fixture.awaitReady();
    fixture.gateway().waitForOutput("version=2");
}

// Guards against gateways that differ for good because an operator has written another text with the version of a lost one: the newest record counts.
TEST_CASE("Of two texts with the same version the one of the newer era is in force", "[gateway][restore]")
{
    GatewayFixture fixture;
    RestoredStore store(fixture);
    fixture.configure(2);
    fixture.startGateway();
    fixture.awaitReady();
    fixture.gateway().waitForOutput("version=2");
    store.restore();
    constexpr int otherTimeoutMs = 2500;
    fixture.configure(2, otherTimeoutMs);
    fixture.gateway().waitForOutput("ServingConfigurationReplaced");
}

// Guards against two holders of one fencing token: the store gives out the generation again that engines have seen before the restore.
TEST_CASE("The fencing token of orders grows over a restore that gives out the generation again", "[gateway][restore]")
{
    GatewayFixture fixture;
    std::mutex mutex;
    std::vector<std::int64_t> fences;
    std::map<std::string, std::string> addresses;
    const auto engine = [&](const std::string &id) {
        return [&, id](const HttpRequest &request) -> AnswerSteps {
            const std::lock_guard lock(mutex);
            if (request.target() == "/-/report") {
                return {bytes(wholeAnswer("", R"({"phase":"decode","busy":false,"seqNum":3})"))};
            }
            fences.push_back(nlohmann::json::parse(request.body())["fence"].get<std::int64_t>());
            fixture.announce(id, "model", addresses[id], "ready", R"(,"phase":"prefill")");
            return {bytes("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")};
        };
    };
    for (const char *id : {"i-1", "i-2"}) {
        EndpointStandin &endpoint = fixture.addEndpoint(id, "model", engine(id), R"(,"phase":"decode")");
        const std::lock_guard lock(mutex);
        addresses[id] = endpoint.address();
    }
    fixture.configure();
    const StoreStandin::Copy copy = fixture.onStandins([&] {
        fixture.store().stateEra(1);
        return fixture.store().copy();
    });
    fixture.startGateway();
    fixture.awaitReady();
    fixture.gateway().waitForOutput("result=accepted");
    fixture.onStandins([&] {
        fixture.store().restore(copy);
        // Both engines have started again and decode, so that another order is due.
        for (const char *id : {"i-1", "i-2"}) {
            fixture.announce(id, "model", addresses[id], "ready", R"(,"phase":"decode","born":900)");
        }
    });
    waitUntil("a second order is given", [&] {
        const std::lock_guard lock(mutex);
        return fences.size() >= 2;
    });
    const std::lock_guard lock(mutex);
    CHECK(fences[1] > fences[0]);
}
