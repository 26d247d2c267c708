#include "agentnode.h"

#include <boost/asio/use_awaitable.hpp>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
/// \brief Minimum time between updates of remote service; they change the order of service slowly, and each one is an audit record.
constexpr Duration REMOTE_SERVICE_INTERVAL(2000);

bool isSameService(const std::vector<CustomerService> &left, const std::vector<CustomerService> &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](const CustomerService &a, const CustomerService &b) {
        return a.customer == b.customer && a.weightedTokens == b.weightedTokens;
    });
}
} // namespace

boost::asio::io_context &AgentNode::io()
{
    return io_;
}

ConfigurationVersion AgentNode::version() const
{
    return configuration_.state().version;
}

void AgentNode::applyPeerState(const std::vector<ConfigurationRecord> &records, ConfigurationVersion peerVersion, std::vector<CustomerService> served)
{
    configuration_.applyFromPeer(records, peerVersion);
    checkConfirmation();
    applyRemoteService(std::move(served));
}

void AgentNode::applyRemoteService(std::vector<CustomerService> served)
{
    const Time now = MilliClock::now();
    if (served.empty() || now < remoteServiceAt_ + REMOTE_SERVICE_INTERVAL || isSameService(served, lastRemoteService_)) {
        return;
    }
    lastRemoteService_ = served;
    remoteServiceAt_ = now;
    queue_.setRemoteService(std::move(served), now);
}

std::vector<ConfigurationRecord> AgentNode::recordsFor(ConfigurationVersion peerVersion) const
{
    return configuration_.recordsFor(peerVersion);
}

namespace
{
void describe(schema::PhaseWork::Builder message, const PhaseWork &work)
{
    message.setPromptTokens(work.uncachedPrompt.count());
    message.setOutputTokens(work.output.count());
}
} // namespace

void AgentNode::describe(schema::Peer::Builder peer) const
{
    peer.setProcess(settings_.process.value());
    peer.setIncarnation(incarnation_.value());
    peer.setConfigurationVersion(version().count());
    peer.setLeaving(shuttingDown_);
    peer.setRole("agent");
}

void AgentNode::describe(schema::Load::Builder load) const
{
    const QueueLoad queue = queue_.load();
    load.setWaitingRequests(static_cast<std::uint32_t>(queue.waitingRequests));
    load.setRunningRequests(static_cast<std::uint32_t>(queue.runningRequests));
    load.setWaitingTokens(queue.waitingTokens.count());
    load.setRunningTokens(queue.runningTokens.count());
    internal::describe(load.initArrived(), queue_.arrived().arrived);
    internal::describe(load.initArrivedPrefillHeavy(), queue_.arrived().prefillHeavy.value_or(PhaseWork()));
    load.setPrefillTokensPerSecond(report_.prefillTokensPerSecond);
    load.setDecodeTokensPerSecond(report_.decodeTokensPerSecond);
    load.setFreeCacheBlocks(report_.freeCacheBlocks);
    load.setRole(report_.role);
    load.setHealthy(report_.healthy);
    load.setReportAgeMs(static_cast<std::uint32_t>((MilliClock::now() - report_.receivedAt + report_.age).count()));
    auto models = load.initModels(static_cast<unsigned>(report_.models.size()));
    for (unsigned i = 0; i < models.size(); ++i) {
        models.set(i, report_.models[i].value());
    }
    std::vector<CustomerService> service = queue_.service();
    // A customer that is left out counts as unchanged; with 1,200 customers a list of zeros would be 24 KB.
    std::erase_if(service, [](const CustomerService &item) {
        return item.weightedTokens == 0;
    });
    auto served = load.initCustomerServed(static_cast<unsigned>(service.size()));
    for (unsigned i = 0; i < served.size(); ++i) {
        served[i].setCustomer(service[i].customer.value());
        served[i].setWeightedTokens(service[i].weightedTokens);
    }
}

awaitable<void> AgentNode::serve(std::shared_ptr<AgentRequest> request, std::shared_ptr<AnswerWriter> writer, std::shared_ptr<RequestOutcome> outcome)
{
    try {
        *outcome = co_await requests_.serve(request, std::move(writer));
    } catch (const InvariantViolation &violation) {
        escalate(violation);
        throw;
    }
    const char *kind = outcome->kind == OutcomeKind::Answered ? "answered" : outcome->kind == OutcomeKind::NotRun ? "not_run" : "unknown";
    metrics_.increment("mimosatally_agent_requests_total", std::string("outcome=\"") + kind + '"');
    metrics_.observe("mimosatally_agent_queue_wait_seconds", {}, std::chrono::duration<double>(outcome->queueWait).count());
}

void AgentNode::handleDisconnect(const std::shared_ptr<AgentRequest> &request)
{
    if (request->state == RequestState::Ended) {
        return;
    }
    try {
        requests_.handleDisconnect(request, MilliClock::now());
    } catch (const InvariantViolation &violation) {
        escalate(violation);
    }
}

CancelWord AgentNode::cancel(const RequestId &id, const IncarnationId &targetIncarnation)
{
    return requests_.cancel(id, targetIncarnation, MilliClock::now());
}

awaitable<void> AgentNode::execute(Order order, std::shared_ptr<OrderResult> result)
{
    if (shuttingDown_) {
        result->reason = "leaving";
        co_return;
    }
    try {
        *result = co_await orders_.execute(std::move(order));
    } catch (const InvariantViolation &violation) {
        escalate(violation);
        throw;
    }
}

awaitable<void> AgentNode::answerStatus(HttpExchange &exchange)
{
    const std::string target(exchange.request().target());
    if (target == "/metrics") {
        updateMetrics();
        co_await exchange.respond(makeHttpResponse(200, "text/plain; version=0.0.4", metrics_.exposition()));
    } else if (target == "/healthz") {
        co_await exchange.respond(makeHttpResponse(200, "text/plain", "ok\n"));
    } else if (target == "/readyz") {
        const bool ready = !shuttingDown_ && queue_.isConfigured() && report_.healthy;
        co_await exchange.respond(makeHttpResponse(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n"));
    } else {
        co_await exchange.respond(makeHttpResponse(404, "text/plain", "not found\n"));
    }
}

void AgentNode::updateMetrics()
{
    const QueueLoad load = queue_.load();
    metrics_.set("mimosatally_agent_waiting_requests", {}, static_cast<double>(load.waitingRequests));
    metrics_.set("mimosatally_agent_running_requests", {}, static_cast<double>(load.runningRequests));
    metrics_.set("mimosatally_agent_prompt_tokens", {}, static_cast<double>(requests_.counts().promptTokens));
    metrics_.set("mimosatally_agent_output_tokens", {}, static_cast<double>(requests_.counts().outputTokens));
    metrics_.set("mimosatally_agent_pending_outcomes", {}, static_cast<double>(outcomes_.pending()));
    metrics_.set("mimosatally_agent_audit_buffered_bytes", {}, static_cast<double>(chain_.bufferedBytes().count()));
    metrics_.set("mimosatally_agent_audit_failures", {}, static_cast<double>(shipper_.failures()));
    metrics_.set("mimosatally_agent_configuration_version", {}, static_cast<double>(version().count()));
    metrics_.set("mimosatally_agent_endpoint_healthy", {}, report_.healthy ? 1 : 0);
}

} // namespace mimosatally::internal
