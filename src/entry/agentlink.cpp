#include "agentlink.h"

#include "entrystate.h"

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
constexpr Duration CONNECT_TIMEOUT = Duration(1000);
constexpr Duration EXCHANGE_INTERVAL = Duration(1000);
constexpr Duration INITIAL_RECONNECT_BACKOFF = Duration(100);
/// \brief Bounds the time until a recovered agent gets work again, and limits the connection attempts to a lost one.
constexpr Duration MAX_RECONNECT_BACKOFF = Duration(2000);

PhaseWork readWork(schema::PhaseWork::Reader message)
{
    return {Tokens(message.getPromptTokens()), Tokens(message.getOutputTokens())};
}

std::vector<ConfigurationRecord> readRecords(capnp::List<schema::StreamRecord>::Reader list)
{
    std::vector<ConfigurationRecord> records;
    for (const auto record : list) {
        records.push_back({Offset(record.getOffset()), record.getPayload().cStr()});
    }
    return records;
}
} // namespace

AgentLink::AgentLink(EntryState &entry, Endpoint endpoint)
    : entry_(entry)
    , endpoint_(std::move(endpoint))
{
}

awaitable<void> AgentLink::run(TaskContext &context)
{
    if (!co_await connect(context)) {
        co_return;
    }
    std::exception_ptr failure;
    try {
        co_await exchangeUntilStopped(context);
    } catch (const std::exception &) {
        failure = std::current_exception();
    }
    disconnect();
    if (failure && !context.isStopping()) {
        std::rethrow_exception(failure);
    }
}

/// \return true if connected, false if the task was stopped.
awaitable<bool> AgentLink::connect(TaskContext &context)
{
    Duration backoff = INITIAL_RECONNECT_BACKOFF;
    bool failureLogged = false;
    while (!context.isStopping()) {
        std::string failure;
        try {
            connection_ = co_await RpcConnection::connect(entry_.rpc, parseAddress(endpoint_.agentAddress), CONNECT_TIMEOUT, MAX_RPC_MESSAGE_BYTES);
            agent_ = connection_->bootstrap().castAs<schema::Agent>();
            co_return true;
        } catch (const Error &error) {
            failure = error.what();
        }
        if (!std::exchange(failureLogged, true)) {
            logEvent(LogEvent::AgentUnreachable, {{"endpoint", endpoint_.id}, {"error", failure}});
        }
        co_await context.sleep(backoff);
        backoff = std::min(backoff * 2, MAX_RECONNECT_BACKOFF);
    }
    co_return false;
}

awaitable<void> AgentLink::exchangeUntilStopped(TaskContext &context)
{
    // g++ 12 lays out the coroutine frame wrongly if the coroutine awaits in a loop condition and has no local variable.
    bool running = true;
    while (running) {
        co_await exchangeOnce();
        // Sends the missing records to a peer with an older configuration without waiting for the next interval.
        if (peerVersion_ < entry_.configuration.state().version) {
            co_await exchangeOnce();
        }
        running = co_await context.sleep(EXCHANGE_INTERVAL);
    }
}

awaitable<void> AgentLink::exchangeOnce()
{
    if (!agent_) {
        throw DisconnectedError("the connection to the agent was closed");
    }
    auto request = agent_->exchangeRequest();
    fillRequest(request);
    const ExchangeResponse answer = co_await awaitPromise(entry_.io, kj::Promise<ExchangeResponse>(request.send()), EndpointDirectory::MAX_SILENCE);
    if (agent_) {
        applyAnswer(answer);
    }
}

void AgentLink::fillRequest(schema::Agent::ExchangeParams::Builder params) const
{
    auto peer = params.initPeer();
    peer.setProcess(entry_.settings.process.value());
    peer.setIncarnation(entry_.incarnation.value());
    peer.setConfigurationVersion(entry_.configuration.state().version.count());
    peer.setLeaving(entry_.shuttingDown);
    peer.setRole("entry");
    if (isConnected()) {
        const auto records = entry_.configuration.recordsFor(peerVersion_);
        auto list = params.initRecords(static_cast<unsigned>(records.size()));
        for (unsigned i = 0; i < records.size(); ++i) {
            list[i].setOffset(records[i].offset.count());
            list[i].setPayload(records[i].payload);
        }
    }
    const auto served = entry_.serviceTotals.servedElsewhere(endpoint_);
    auto servedList = params.initServed(static_cast<unsigned>(served.size()));
    for (unsigned i = 0; i < served.size(); ++i) {
        servedList[i].setCustomer(served[i].customer.value());
        servedList[i].setWeightedTokens(served[i].weightedTokens);
    }
}

void AgentLink::applyAnswer(schema::Agent::ExchangeResults::Reader answer)
{
    const auto peer = answer.getPeer();
    const IncarnationId incarnation(peer.getIncarnation().cStr());
    if (incarnation_ != incarnation) {
        logEvent(LogEvent::AgentConnected, {{"endpoint", endpoint_.id}, {"incarnation", incarnation}});
        incarnation_ = incarnation;
    }
    peerVersion_ = ConfigurationVersion(peer.getConfigurationVersion());
    entry_.endpointDirectory.observeAnswer(endpoint_.id, incarnation, peer.getLeaving(), MilliClock::now());
    applyLoad(answer.getLoad(), incarnation);
    entry_.fleet.refreshAvailability(endpoint_.id);
    entry_.configuration.applyFromPeer(readRecords(answer.getRecords()), peerVersion_);
}

void AgentLink::applyLoad(schema::Load::Reader load, const IncarnationId &incarnation)
{
    EndpointLoad report;
    report.waitingRequests = load.getWaitingRequests();
    report.runningRequests = load.getRunningRequests();
    report.waitingTokens = Tokens(load.getWaitingTokens());
    report.runningTokens = Tokens(load.getRunningTokens());
    report.prefillTokensPerSecond = load.getPrefillTokensPerSecond();
    report.decodeTokensPerSecond = load.getDecodeTokensPerSecond();
    report.role = parseEngineRole(load.getRole().cStr()).value_or(EngineRole::Mixed);
    report.healthy = load.getHealthy();
    report.reportAge = Duration(load.getReportAgeMs());
    entry_.router.reportLoad(endpoint_.id, report, MilliClock::now());
    load_ = QueueLoad {report.waitingRequests, report.runningRequests, report.waitingTokens, report.runningTokens};
    arrivedWork_.arrived = readWork(load.getArrived());
    arrivedWork_.prefillHeavy = readWork(load.getArrivedPrefillHeavy());
    role_ = load.getRole().cStr();
    std::vector<CustomerService> served;
    for (const auto item : load.getCustomerServed()) {
        served.push_back({CustomerId(item.getCustomer().cStr()), item.getWeightedTokens()});
    }
    entry_.serviceTotals.addReport(endpoint_, incarnation, served);
}

void AgentLink::disconnect()
{
    if (!connection_) {
        return;
    }
    agent_.reset();
    connection_.reset();
    const IncarnationId lostIncarnation = std::exchange(incarnation_, {});
    entry_.endpointDirectory.observeConnectionLost(endpoint_.id, lostIncarnation);
    entry_.fleet.refreshAvailability(endpoint_.id);
}

bool AgentLink::isConnected() const
{
    return !incarnation_.empty();
}

schema::Agent::Client AgentLink::agent()
{
    if (!agent_ || !isConnected()) {
        throw DisconnectedError("the agent is not connected");
    }
    return *agent_;
}

void AgentLink::addWatch(const std::shared_ptr<SubmitWatch> &watch)
{
    std::erase_if(watches_, [](const std::weak_ptr<SubmitWatch> &item) {
        return item.expired();
    });
    watches_.push_back(watch);
}

void AgentLink::reportUnresponsive()
{
    for (const std::weak_ptr<SubmitWatch> &item : watches_) {
        if (const std::shared_ptr<SubmitWatch> watch = item.lock()) {
            watch->recordAgentUnresponsive(incarnation_);
        }
    }
    watches_.clear();
}

const IncarnationId &AgentLink::incarnation() const
{
    return incarnation_;
}

const Endpoint &AgentLink::endpoint() const
{
    return endpoint_;
}

void AgentLink::setEndpoint(Endpoint endpoint)
{
    endpoint_ = std::move(endpoint);
}

const DemandReport &AgentLink::arrivedWork() const
{
    return arrivedWork_;
}

const std::optional<QueueLoad> &AgentLink::load() const
{
    return load_;
}

const std::string &AgentLink::role() const
{
    return role_;
}

} // namespace mimosatally::internal
