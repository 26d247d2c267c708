#include "configuration/sampleconfiguration.h"
#include "standins/logstore.h"
#include "standins/platformstandin.h"

#include <catch2/catch.hpp>
#include <mimosatally/LogService>

using namespace mimosatally;
using boost::asio::awaitable;
using samples::SampleOperator;

namespace
{
/// \brief Log service in the test's own process, with a switch that makes it fail.
class TestLog
{
public:
    explicit TestLog(boost::asio::io_context &io)
        : server(io, {boost::asio::ip::make_address("127.0.0.1"), 0}, HttpLimits(), [this](HttpExchange &exchange) {
            return handle(exchange);
        })
    {
    }

    void append(const std::string &payload)
    {
        store.append("configuration", {{"records", {{{"value", standin::LogStore::Json::parse(payload)}}}}});
    }

    standin::LogStore store = standin::LogStore(0);
    bool isDown = false;
    std::size_t requests = 0;
    HttpServer server;

private:
    awaitable<void> handle(HttpExchange &exchange)
    {
        ++requests;
        if (isDown) {
            co_await exchange.respond(makeHttpResponse(503, "application/json", "{}"));
            co_return;
        }
        const HttpRequest &request = exchange.request();
        const bool isRead = request.method() == boost::beast::http::verb::get;
        const standin::LogStore::Json answer =
            isRead ? store.read("configuration", std::stoll(standin::queryParameter(request, "offset")), std::stoll(standin::queryParameter(request, "count")))
                   : store.append("configuration", standin::LogStore::Json::parse(request.body()));
        co_await exchange.respond(makeHttpResponse(200, "application/json", answer.dump()));
    }
};

ConfigurationFollower::Options quickOptions()
{
    ConfigurationFollower::Options options;
    options.pollInterval = Duration(5);
    options.maxBackoff = Duration(20);
    options.snapshotJitter = Duration(1);
    return options;
}

/// \brief Runs the loop until the condition holds; the deadline only ends a hanging test.
template<class Condition>
void runUntil(boost::asio::io_context &io, Condition condition)
{
    const Time deadline = MilliClock::now() + Duration(30'000);
    while (!condition() && MilliClock::now() < deadline) {
        io.run_one_for(Duration(10));
    }
    REQUIRE(condition());
}

std::string firstRecord(const SampleOperator &signer)
{
    return signer.publishRecord("first", -1, formatConfiguration(samples::sampleConfiguration(signer.description(), 2, 2)));
}
} // namespace

// Guards against a process that ends or stops following when the log is down.
TEST_CASE("A follower survives an outage of the log and continues afterwards", "[platform]")
{
    boost::asio::io_context io;
    const SampleOperator signer;
    TestLog log(io);
    log.isDown = true;
    ConfigurationFollower follower(io, log.server.address(), {signer.description()}, quickOptions());
    std::vector<ConfigurationVersion> versions;
    follower.onChange([&versions](const ConfigurationState &state) {
        versions.push_back(state.version);
    });
    follower.start();
    runUntil(io, [&] {
        return log.requests > 3;
    });
    CHECK_FALSE(follower.isConfirmed(MilliClock::now()));
    CHECK(follower.unconfirmedSince(MilliClock::now()).has_value());
    log.isDown = false;
    log.append(firstRecord(signer));
    log.append(signer.instanceRecord("drain", InstanceAction::Drain, "i1"));
    runUntil(io, [&] {
        return follower.state().version == ConfigurationVersion(1) && follower.isConfirmed(MilliClock::now());
    });
    CHECK(versions.back() == ConfigurationVersion(1));
    CHECK_FALSE(follower.isConfirmed(MilliClock::now() + Duration(60'000)));
}

// Guards against a stream whose first configuration is removed by retention before a snapshot contains it.
TEST_CASE("An entry writes a snapshot from which a new process starts after retention", "[platform]")
{
    boost::asio::io_context io;
    const SampleOperator signer;
    TestLog log(io);
    ConfigurationFollower::Options options = quickOptions();
    options.snapshotEvery = 4;
    ConfigurationFollower follower(io, log.server.address(), {signer.description()}, options);
    log.append(firstRecord(signer));
    for (int i = 0; i < 5; ++i) {
        log.append(signer.instanceRecord("drain" + std::to_string(i), InstanceAction::Drain, "i1"));
    }
    follower.start();
    runUntil(io, [&] {
        return log.store.appendCount() > 6;
    });
    log.append(signer.instanceRecord("withdraw", InstanceAction::Withdraw, "i0"));
    log.store.setRetention(2);
    ConfigurationFollower late(io, log.server.address(), {signer.description()}, quickOptions());
    late.start();
    runUntil(io, [&] {
        return late.state().version == ConfigurationVersion(7);
    });
    CHECK(late.state().stateOf(InstanceId("i1")) == InstanceState::Draining);
    CHECK(late.state().configuration == follower.state().configuration);
}

// Guards against thousands of agents that all read the log although entries keep them current.
TEST_CASE("An agent's follower reads the log only while no peer confirms the version", "[platform]")
{
    boost::asio::io_context io;
    const SampleOperator signer;
    TestLog log(io);
    log.append(firstRecord(signer));
    ConfigurationFollower entry(io, log.server.address(), {signer.description()}, quickOptions());
    entry.start();
    runUntil(io, [&] {
        return entry.isConfirmed(MilliClock::now());
    });
    entry.stop();
    ConfigurationFollower::Options options = quickOptions();
    options.mode = ConfigurationFollower::Mode::ReadWhenUnconfirmed;
    options.peerTimeout = Duration(60'000);
    ConfigurationFollower agent(io, log.server.address(), {signer.description()}, options);
    agent.applyFromPeer(entry.recordsFor(agent.state().version), entry.state().version);
    CHECK(agent.state().version == ConfigurationVersion(0));
    CHECK(agent.isConfirmed(MilliClock::now()));
    const std::size_t requests = log.requests;
    agent.start();
    io.run_for(Duration(50));
    CHECK(log.requests == requests);
}
