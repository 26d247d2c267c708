#include "rolecontroller.h"

#include "entrystate.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
const std::string AUTHORITY_STREAM = "authority";
/// \brief A sixth of the lease's ttl, as LeaseHolder requires.
constexpr Duration TICK_INTERVAL = Duration(1000);
constexpr Duration LOG_TIMEOUT = Duration(1000);
constexpr int MAX_RECORDS_PER_READ = 500;
/// \brief Bounds the time after sending in which an order can still be written to the engine.
constexpr Duration ORDER_LIFETIME = Duration(20000);
/// \brief Time allowed for the agent's answer after the order's lifetime has ended.
constexpr Duration ORDER_GRACE = Duration(2000);

std::int64_t toMilliseconds(double seconds)
{
    return static_cast<std::int64_t>(seconds * 1000);
}

void fillOrder(schema::Order::Builder message, const Order &order)
{
    message.setId(order.id.value());
    message.setKind(schema::OrderKind::CHANGE_ROLE);
    message.setArgument(order.argument);
    message.setEpoch(order.epoch.count());
    message.setScope(order.scope.value());
    message.setAgentIncarnation(order.agentIncarnation.value());
    message.setLifetimeMs(order.lifetime.count());
}

/// \brief Sends one order. \return the result for the log: `done`, the reason of a refusal, or `unknown: ` and the error.
awaitable<std::string> sendOrder(boost::asio::io_context &io, std::shared_ptr<AgentLink> link, Order order)
{
    std::string failure;
    try {
        auto request = link->agent().orderRequest();
        fillOrder(request.initOrder(), order);
        using Response = capnp::Response<schema::Agent::OrderResults>;
        const Response response = co_await awaitPromise(io, kj::Promise<Response>(request.send()), order.lifetime + ORDER_GRACE);
        const auto verdict = response.getVerdict();
        co_return verdict.getAccepted() ? "done" : std::string(verdict.getReason().cStr());
    } catch (const Error &error) {
        failure = error.what();
    }
    co_return "unknown: " + failure;
}

awaitable<void> changeRole(EntryState &entry, std::shared_ptr<RoleScope> scope, std::shared_ptr<AgentLink> link, Order order)
{
    const std::string result = co_await sendOrder(entry.io, link, order);
    logEvent(LogEvent::RoleChangeEnded, {{"scope", scope->id()}, {"endpoint", link->endpoint().id}, {"order", order.id}, {"result", result}});
    entry.metrics.increment("mimosatally_role_changes_total", result == "done" ? R"(result="done")" : R"(result="not_done")");
    scope->setOrderPending(false);
}
} // namespace

RoleController::RoleController(EntryState &entry)
    : entry_(entry)
{
}

awaitable<void> RoleController::run(TaskContext &context)
{
    // g++ 12 miscompiles some coroutines that await in a loop condition.
    bool running = co_await context.sleep(TICK_INTERVAL);
    while (running) {
        updateScopes();
        if (!scopes_.empty()) {
            co_await runRound();
        }
        running = co_await context.sleep(TICK_INTERVAL);
    }
}

awaitable<void> RoleController::runRound()
{
    const bool isUpToDate = co_await readAuthority();
    tick(MilliClock::now());
    for (const auto &[id, scope] : std::map(scopes_)) {
        co_await perform(*scope, std::exchange(actions_[id], {}));
        if (isUpToDate) {
            plan(*scope, MilliClock::now());
        }
    }
}

void RoleController::updateScopes()
{
    const std::vector<LeaseScope> current = scopesOf(entry_.configuration.state().configuration, entry_.settings.region);
    std::erase_if(scopes_, [&](const auto &item) {
        return std::ranges::find(current, item.first) == current.end();
    });
    for (const LeaseScope &id : current) {
        if (!scopes_.contains(id)) {
            scopes_.emplace(id, std::make_shared<RoleScope>(id, entry_.settings.process, entry_.incarnation));
        }
    }
}

void RoleController::tick(Time now)
{
    for (const auto &[id, scope] : scopes_) {
        std::ranges::move(scope->lease().tick(now), std::back_inserter(actions_[id]));
    }
}

/// \brief Reads the stream once for all scopes, from the lowest offset that any of them needs next.
/// \return true if the end of the stream was reached.
awaitable<bool> RoleController::readAuthority()
{
    const Time readStart = MilliClock::now();
    try {
        while (true) {
            Offset from = scopes_.begin()->second->lease().nextOffset();
            for (const auto &[id, scope] : scopes_) {
                from = std::min(from, scope->lease().nextOffset());
            }
            const LogReadResult read = co_await entry_.log.read(AUTHORITY_STREAM, from, MAX_RECORDS_PER_READ, LOG_TIMEOUT);
            for (const auto &[id, scope] : scopes_) {
                std::vector<LeaseAction> &actions = actions_[id];
                for (const LogRecord &record : read.records) {
                    std::ranges::move(scope->lease().apply(record.offset, record.payload, MilliClock::now()), std::back_inserter(actions));
                }
                if (read.records.empty()) {
                    std::ranges::move(scope->lease().endOfStream(readStart, MilliClock::now()), std::back_inserter(actions));
                }
            }
            if (read.records.empty()) {
                co_return true;
            }
        }
    } catch (const UnreachableError &) {
        // A lease that cannot be renewed expires by the holder's own clock.
        co_return false;
    }
}

awaitable<void> RoleController::perform(RoleScope &scope, std::vector<LeaseAction> actions)
{
    for (LeaseAction &action : actions) {
        switch (action.kind) {
        case LeaseActionKind::Held:
            logEvent(LogEvent::LeaseHeld, {{"scope", scope.id()}, {"epoch", action.epoch}});
            scope.reset();
            continue;
        case LeaseActionKind::Lost:
            logEvent(LogEvent::LeaseLost, {{"scope", scope.id()}, {"epoch", action.epoch}});
            continue;
        case LeaseActionKind::AppendAcquire:
        case LeaseActionKind::AppendRenew:
            break;
        }
        try {
            std::vector<std::string> payloads;
            payloads.push_back(std::move(action.payload));
            co_await entry_.log.append(AUTHORITY_STREAM, std::move(payloads), LOG_TIMEOUT);
        } catch (const UnreachableError &) {
            // LeaseHolder learns from the stream whether the record was appended, so the failure needs no other handling.
            entry_.metrics.increment("mimosatally_lease_append_failures_total");
        }
    }
}

std::vector<ScopeEngine> RoleController::enginesOf(const LeaseScope &scope, Time now) const
{
    std::vector<ScopeEngine> engines;
    for (const Endpoint &endpoint : entry_.configuration.state().configuration.endpoints) {
        const std::shared_ptr<AgentLink> link = entry_.fleet.find(endpoint.id);
        if (link != nullptr && isInScope(endpoint, scope)) {
            const bool usable = entry_.endpointDirectory.availability(endpoint.id, now) == EndpointAvailability::Usable;
            engines.push_back({endpoint, link, usable && link->load().has_value()});
        }
    }
    return engines;
}

void RoleController::plan(RoleScope &scope, Time now)
{
    const std::optional<Epoch> epoch = scope.lease().epoch(now);
    if (!epoch || scope.hasPendingOrder()) {
        return;
    }
    if (const auto change = scope.plan(enginesOf(scope.id(), now), entry_.configuration.state().configuration.rolePolicy, now)) {
        start(scope, *change, *epoch);
    }
}

void RoleController::start(RoleScope &scope, const RoleChange &change, Epoch epoch)
{
    const std::shared_ptr<AgentLink> link = entry_.fleet.find(change.engine);
    if (link == nullptr || !link->isConnected()) {
        return;
    }
    Order order;
    order.id = OrderId(newUniqueId());
    order.kind = OrderKind::ChangeRole;
    order.argument = toString(change.role);
    order.scope = scope.id();
    order.epoch = epoch;
    order.agentIncarnation = link->incarnation();
    order.lifetime = ORDER_LIFETIME;
    logEvent(LogEvent::RoleChangePlanned,
             {{"scope", scope.id()},
              {"endpoint", change.engine},
              {"role", order.argument},
              {"reason", change.reason},
              {"epoch", epoch},
              {"gain_ms", toMilliseconds(change.figures.gain)},
              {"price_ms", toMilliseconds(change.figures.price)},
              {"configuration", entry_.configuration.state().version}});
    scope.setOrderPending(true);
    boost::asio::co_spawn(entry_.io, changeRole(entry_, scopes_.at(scope.id()), link, std::move(order)), boost::asio::detached);
}

} // namespace mimosatally::internal
