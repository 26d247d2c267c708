#include "process/testfleet.h"

#include "mimosatally.capnp.h"

#include <mimosatally/Authority>
#include <mimosatally/Rpc>

#include <boost/asio/co_spawn.hpp>
#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;
using boost::asio::awaitable;

namespace
{
const LeaseScope SCOPE("model-a/region-1");
constexpr Duration ORDER_LIFETIME = Duration(400);
constexpr Duration ANSWER_TIMEOUT = Duration(20000);
constexpr std::size_t MAX_MESSAGE_BYTES = 1 << 20;

/// \brief Appends a lease acquisition for the test's scope. \return its epoch.
Epoch acquireLease(TestFleet &fleet, const std::string &holder)
{
    AcquireRecord record;
    record.id = RecordId(newUniqueId());
    record.scope = SCOPE;
    record.holder = ProcessId(holder);
    record.incarnation = IncarnationId(newUniqueId());
    record.ttl = Duration(6000);
    return Epoch(fleet.append("authority", toJson(record)).count());
}

awaitable<std::string> sendOrder(boost::asio::io_context &io, schema::Agent::Client agent, std::string incarnation, Epoch epoch, std::string role)
{
    auto request = agent.orderRequest();
    auto order = request.initOrder();
    order.setId(newUniqueId());
    order.setKind(schema::OrderKind::CHANGE_ROLE);
    order.setArgument(role);
    order.setEpoch(epoch.count());
    order.setScope(SCOPE.value());
    order.setAgentIncarnation(incarnation);
    order.setLifetimeMs(ORDER_LIFETIME.count());
    using Response = capnp::Response<schema::Agent::OrderResults>;
    const Response response = co_await awaitPromise(io, kj::Promise<Response>(request.send()), ANSWER_TIMEOUT);
    co_return response.getVerdict().getAccepted() ? "accepted" : std::string(response.getVerdict().getReason().cStr());
}

/// \brief Sends one order on a connection of its own. \return `accepted` or the reason of the refusal.
std::string sendOrderOnce(const std::string &address, Epoch epoch, const std::string &role)
{
    boost::asio::io_context io;
    RpcContext context(io);
    std::string result;
    std::exception_ptr failure;
    const auto run = [&]() -> awaitable<void> {
        const auto connection = co_await RpcConnection::connect(context, parseAddress(address), ANSWER_TIMEOUT, MAX_MESSAGE_BYTES);
        schema::Agent::Client agent = connection->bootstrap().castAs<schema::Agent>();
        using Response = capnp::Response<schema::Agent::ExchangeResults>;
        const Response exchange = co_await awaitPromise(io, kj::Promise<Response>(agent.exchangeRequest().send()), ANSWER_TIMEOUT);
        result = co_await sendOrder(io, agent, exchange.getPeer().getIncarnation().cStr(), epoch, role);
    };
    boost::asio::co_spawn(io, run, [&](std::exception_ptr error) {
        failure = error;
        io.stop();
    });
    io.run();
    if (failure) {
        std::rethrow_exception(failure);
    }
    return result;
}

/// \brief Repeats an order until the agent has read back the engine's state and executes no other order.
/// \return `accepted` or the reason of the refusal.
std::string orderUntilDecided(const std::string &address, Epoch epoch, const std::string &role)
{
    std::string result;
    waitUntil("the agent decides an order", [&] {
        result = sendOrderOnce(address, epoch, role);
        return result != "read-back-pending" && result != "busy";
    });
    return result;
}

/// \brief Starts the agent of `engine-1` and waits until it knows the scopes of its engine; before that it refuses every order as `unknown-scope`.
void startAgentWithScopes(TestFleet &fleet)
{
    fleet.startAgent("engine-1", "longest_order_lifetime = \"500ms\"\n").waitForOutput("ConfigurationAccepted");
}

std::vector<std::string> orderedRoles(TestFleet &fleet)
{
    std::vector<std::string> roles;
    const nlohmann::json ledger = jsonOf(get(fleet.standinAddress("engine-1"), "/ledger"));
    CHECK(ledger.at("conflicts") == 0);
    for (const auto &item : ledger.at("orders")) {
        roles.push_back(item.at("argument"));
    }
    return roles;
}

void checkOldEpochsHaveNoEffect(const std::string &checksFencing)
{
    TestFleet fleet;
    fleet.addEngine("engine-1", {"--checks-fencing", checksFencing, "--order-ms", "50"});
    fleet.addCustomer("parkland", "100%", "30s");
    fleet.publish();
    startAgentWithScopes(fleet);
    const std::string &address = fleet.agentAddress("engine-1");

    const Epoch first = acquireLease(fleet, "entry-1");
    CHECK(orderUntilDecided(address, first, "decode") == "accepted");
    const Epoch second = acquireLease(fleet, "entry-2");
    CHECK(orderUntilDecided(address, first, "prefill") == "old-epoch");
    CHECK(orderUntilDecided(address, second, "mixed") == "accepted");
    CHECK(orderUntilDecided(address, first, "prefill") == "old-epoch");
    CHECK(orderedRoles(fleet) == std::vector<std::string> {"decode", "mixed"});
}
} // namespace

// Guards against an order of a former lease holder that takes effect after an order of its successor.
TEST_CASE("Orders under an old epoch have no effect on an engine that ignores fencing tokens", "[orders]")
{
    checkOldEpochsHaveNoEffect("0");
}

TEST_CASE("Orders under an old epoch have no effect on an engine that checks fencing tokens", "[orders]")
{
    checkOldEpochsHaveNoEffect("1");
}

// Guards against an order that is accepted although its authority cannot be confirmed.
TEST_CASE("Without the log an agent accepts no order", "[orders]")
{
    TestFleet fleet;
    fleet.addEngine("engine-1", {"--order-ms", "50"});
    fleet.addCustomer("parkland", "100%", "30s");
    fleet.publish();
    startAgentWithScopes(fleet);
    const Epoch epoch = acquireLease(fleet, "entry-1");
    CHECK(orderUntilDecided(fleet.agentAddress("engine-1"), epoch, "decode") == "accepted");
    fleet.controlLog({{"down", true}});
    CHECK(orderUntilDecided(fleet.agentAddress("engine-1"), epoch, "mixed") == "authority-unread");
    CHECK(orderedRoles(fleet) == std::vector<std::string> {"decode"});
}
