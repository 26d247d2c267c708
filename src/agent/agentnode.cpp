#include "agentnode.h"

#include "rpcagent.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

namespace mimosatally::internal
{

using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

namespace
{
/// \brief Size limit of the decision records buffered during an outage of the log service (docs/design.md, section 5.4).
constexpr Bytes MAX_BUFFERED_DECISIONS(16LL * 1024 * 1024);
/// \brief Size limit of RPC messages, above the largest request body that entries accept; a longer message closes the connection.
constexpr std::size_t MAX_RPC_MESSAGE_BYTES = std::size_t(16) * 1024 * 1024;
constexpr Duration REPORT_INTERVAL(500);
constexpr Duration REPORT_TIMEOUT(1000);
constexpr Duration MAX_SLEEP(1000);
constexpr Duration SHUTDOWN_POLL_INTERVAL(10);
constexpr Duration OUTCOME_FLUSH_TIMEOUT(10000);
constexpr Duration AUDIT_FLUSH_TIMEOUT(5000);
/// \brief Time for sending the last answers before the connections are closed.
constexpr Duration LINGER(100);

std::uint64_t chooseSeed(std::uint64_t seed)
{
    return seed != 0 ? seed : std::random_device()();
}

ConfigurationFollower::Options followerOptions(std::uint64_t seed)
{
    ConfigurationFollower::Options options;
    options.mode = ConfigurationFollower::Mode::ReadWhenUnconfirmed;
    options.seed = seed;
    return options;
}

EndpointCapacity capacityOf(const Endpoint &endpoint)
{
    return {endpoint.maxConcurrentRequests, endpoint.prefillTokensPerSecond, endpoint.decodeTokensPerSecond};
}

std::set<LeaseScope> scopesOf(const Endpoint &endpoint)
{
    std::set<LeaseScope> scopes;
    for (const ModelId &model : endpoint.models) {
        scopes.insert(LeaseScope(model.value() + '/' + endpoint.region.value()));
    }
    return scopes;
}
} // namespace

AgentNode::AgentNode(boost::asio::io_context &io, const AgentSettings &settings)
    : io_(io)
    , settings_(settings)
    , seed_(chooseSeed(settings.seed))
    , incarnation_(newUniqueId())
    , rpc_(io)
    , log_(io, parseAddress(settings.logService))
    , chain_(settings.process, incarnation_, MAX_BUFFERED_DECISIONS)
    , shipper_(io, chain_, log_, seed_)
    , decisions_(chain_,
                 [this] {
                     shipper_.recordAppend();
                 })
    , queue_(settings.endpoint, decisions_, QueueLimits {settings.maxQueuedRequests, settings.maxQueuedBytes})
    , endpoint_(io, parseAddress(settings.endpointAddress))
    , outcomes_(io, log_, seed_)
    , requests_(io, incarnation_, queue_, endpoint_, outcomes_)
    , orders_(io, incarnation_, settings.longestOrderLifetime, log_, endpoint_, queue_, decisions_)
    , configuration_(io, parseAddress(settings.logService), settings.bootstrapOperators, followerOptions(seed_))
    , supervisor_(io,
                  seed_,
                  Supervisor::Options(),
                  [this] {
                      shutdownSignal_.cancel();
                  })
    , shutdownSignal_(io, boost::asio::steady_timer::time_point::max())
{
    chain_.start("agent", version(), MilliClock::now());
    configuration_.onChange([this](const ConfigurationState &state) {
        applyConfiguration(state);
    });
    orders_.onShutdown([this](const std::string &reason) {
        startShutdown(reason);
    });
    queue_.onQueued([this](Time deadline) {
        wakeForDeadline(deadline);
    });
}

AgentNode::~AgentNode() = default;

awaitable<void> AgentNode::run()
{
    server_ = std::make_unique<RpcServer>(rpc_, parseAddress(settings_.listen), kj::heap<RpcAgent>(*this), MAX_RPC_MESSAGE_BYTES);
    if (!settings_.statusListen.empty()) {
        statusServer_ = std::make_unique<HttpServer>(io_, parseAddress(settings_.statusListen), HttpLimits(), [this](HttpExchange &exchange) {
            return answerStatus(exchange);
        });
    }
    startTasks();
    logEvent(LogEvent::ProcessStarted, {{"version", MIMOSATALLY_VERSION}, {"incarnation", incarnation_}, {"listen", toString(server_->address())}});
    while (!shuttingDown_ && !supervisor_.hasEscalated()) {
        boost::system::error_code ignored;
        co_await shutdownSignal_.async_wait(redirect_error(use_awaitable, ignored));
    }
    if (!supervisor_.hasEscalated()) {
        co_await finishShutdown();
    }
}

void AgentNode::startTasks()
{
    configuration_.start();
    supervisor_.start(
        "audit",
        [this](TaskContext &) {
            return shipper_.run();
        },
        [this] {
            shipper_.stop();
        });
    supervisor_.start("outcomes", [this](TaskContext &context) {
        return outcomes_.run(context);
    });
    supervisor_.start("orders", [this](TaskContext &context) {
        return orders_.run(context);
    });
    deadlineTask_ = supervisor_.start("deadlines", [this](TaskContext &context) {
        return watchDeadlines(context);
    });
    supervisor_.start("endpoint", [this](TaskContext &context) {
        return pollEndpoint(context);
    });
}

void AgentNode::startShutdown(const std::string &reason)
{
    if (shuttingDown_) {
        return;
    }
    shuttingDown_ = true;
    requests_.setRefusal("leaving");
    logEvent(LogEvent::ProcessStopping, {{"reason", reason}});
    shutdownSignal_.cancel();
}

void AgentNode::escalate(const InvariantViolation &violation)
{
    supervisor_.escalate(violation);
}

bool AgentNode::hasEscalated() const
{
    return supervisor_.hasEscalated();
}

awaitable<void> AgentNode::finishShutdown()
{
    while ((requests_.active() > 0 || orders_.isBusy()) && !supervisor_.hasEscalated()) {
        co_await sleep(SHUTDOWN_POLL_INTERVAL);
    }
    server_->stopAccepting();
    co_await sleep(LINGER);
    // No decision may be added after the chain's closing record, so the RPC server is closed first; requests and orders have ended by now.
    server_.reset();
    configuration_.stop();
    stopped_ = true;
    co_await supervisor_.stop();
    const std::size_t lostOutcomes = co_await outcomes_.flush(OUTCOME_FLUSH_TIMEOUT);
    chain_.close(version(), MilliClock::now());
    const bool shipped = co_await shipper_.flush(AUDIT_FLUSH_TIMEOUT);
    if (lostOutcomes > 0 || !shipped) {
        logEvent(LogEvent::RecordsNotShipped, {{"outcomes", lostOutcomes}, {"audit_bytes", chain_.bufferedBytes()}});
    }
    logEvent(LogEvent::ProcessStopped, {});
}

awaitable<void> AgentNode::sleep(Duration duration)
{
    boost::asio::steady_timer timer(io_, duration);
    co_await timer.async_wait(use_awaitable);
}

void AgentNode::applyConfiguration(const ConfigurationState &state)
{
    if (stopped_) {
        return;
    }
    decisions_.setVersion(state.version);
    applyInstanceState(state);
    const Endpoint *endpoint = state.findEndpoint(settings_.endpoint);
    if (endpoint == nullptr) {
        logEvent(LogEvent::EndpointNotConfigured, {{"endpoint", settings_.endpoint}, {"configuration", state.version}});
        return;
    }
    orders_.setScopes(scopesOf(*endpoint));
    queue_.configure(state.configuration, capacityOf(*endpoint), MilliClock::now());
}

void AgentNode::applyInstanceState(const ConfigurationState &state)
{
    switch (state.stateOf(settings_.instance)) {
    case InstanceState::Active:
        return;
    case InstanceState::Draining:
        startShutdown("drain");
        return;
    case InstanceState::Withdrawn:
        startShutdown("withdraw");
        return;
    }
}

void AgentNode::checkConfirmation()
{
    const Time now = MilliClock::now();
    const auto unconfirmedSince = configuration_.unconfirmedSince(now);
    decisions_.setUnconfirmed(unconfirmedSince.has_value());
    if (!shuttingDown_) {
        const bool expired = unconfirmedSince && now - *unconfirmedSince > configuration_.state().configuration.unconfirmedLimit;
        requests_.setRefusal(expired ? "configuration-unconfirmed" : "");
    }
}

awaitable<void> AgentNode::pollEndpoint(TaskContext &context)
{
    bool running = true;
    while (running) {
        EndpointReport report;
        std::string failure;
        try {
            report = co_await endpoint_.report(REPORT_TIMEOUT);
        } catch (const Error &error) {
            failure = error.what();
        }
        if (!failure.empty()) {
            if (report_.healthy) {
                logEvent(LogEvent::EndpointUnreachable, {{"endpoint", settings_.endpoint}, {"error", failure}});
            }
            orders_.handleEndpointLoss();
        }
        updateReport(report);
        checkConfirmation();
        running = co_await context.sleep(REPORT_INTERVAL);
    }
}

void AgentNode::updateReport(const EndpointReport &report)
{
    if (report.healthy) {
        report_ = report;
    } else {
        report_.healthy = false;
    }
}

awaitable<void> AgentNode::watchDeadlines(TaskContext &context)
{
    bool running = true;
    while (running) {
        const Time now = MilliClock::now();
        queue_.advance(now);
        const Time deadline = queue_.nextDeadline().value_or(Time::max());
        // A request expires only after its deadline, so the wait ends one millisecond later.
        const Duration interval = deadline > now + MAX_SLEEP ? MAX_SLEEP : std::max(Duration(1), deadline - now + Duration(1));
        nextWake_ = now + interval;
        running = co_await context.sleep(interval);
    }
}

void AgentNode::wakeForDeadline(Time deadline)
{
    if (deadlineTask_ && deadline < nextWake_) {
        nextWake_ = deadline;
        deadlineTask_->wake();
    }
}

} // namespace mimosatally::internal
