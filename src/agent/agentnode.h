#pragma once

#include "mimosatally.capnp.h"
#include "orderrunner.h"
#include "requestservice.h"

#include <mimosatally/Audit>
#include <mimosatally/Config>
#include <mimosatally/Http>
#include <mimosatally/LogService>
#include <mimosatally/Rpc>
#include <mimosatally/Supervision>

namespace mimosatally::internal
{

/// \brief One agent process: owns queue, endpoint client, configuration, orders and audit, and shuts them down in order.
class AgentNode
{
public:
    AgentNode(boost::asio::io_context &io, const AgentSettings &settings);
    ~AgentNode();
    AgentNode(const AgentNode &) = delete;
    AgentNode &operator=(const AgentNode &) = delete;

    /// \brief Serves until startShutdown() is called and all accepted work is done.
    boost::asio::awaitable<void> run();

    /// \brief Starts the graceful shutdown. \param reason logged, for example `signal` or `drain`.
    void startShutdown(const std::string &reason);

    /// \brief Ends the process after an invariant violation.
    void escalate(const InvariantViolation &violation);
    [[nodiscard]] bool hasEscalated() const;

    /// \name Interface for RpcAgent
    /// \{
    [[nodiscard]] boost::asio::io_context &io();
    [[nodiscard]] ConfigurationVersion version() const;
    void applyPeerState(const std::vector<ConfigurationRecord> &records, ConfigurationVersion peerVersion, std::vector<CustomerService> served);
    [[nodiscard]] std::vector<ConfigurationRecord> recordsFor(ConfigurationVersion peerVersion) const;
    void describe(schema::Peer::Builder peer) const;
    void describe(schema::Load::Builder load) const;
    boost::asio::awaitable<void> serve(std::shared_ptr<AgentRequest> request, std::shared_ptr<AnswerWriter> writer, std::shared_ptr<RequestOutcome> outcome);
    void handleDisconnect(const std::shared_ptr<AgentRequest> &request);
    CancelWord cancel(const RequestId &id, const IncarnationId &targetIncarnation);
    boost::asio::awaitable<void> execute(Order order, std::shared_ptr<OrderResult> result);
    /// \}

private:
    void startTasks();
    void applyConfiguration(const ConfigurationState &state);
    void applyInstanceState(const ConfigurationState &state);
    void checkConfirmation();
    void applyRemoteService(std::vector<CustomerService> served);
    void updateReport(const EndpointReport &report);
    void wakeForDeadline(Time deadline);
    boost::asio::awaitable<void> pollEndpoint(TaskContext &context);
    boost::asio::awaitable<void> watchDeadlines(TaskContext &context);
    boost::asio::awaitable<void> finishShutdown();
    boost::asio::awaitable<void> sleep(Duration duration);
    boost::asio::awaitable<void> answerStatus(HttpExchange &exchange);
    void updateMetrics();

    boost::asio::io_context &io_;
    const AgentSettings &settings_;
    const std::uint64_t seed_;
    const IncarnationId incarnation_;
    RpcContext rpc_;
    LogClient log_;
    DecisionChain chain_;
    AuditShipper shipper_;
    AgentDecisions decisions_;
    RequestQueue queue_;
    EndpointClient endpoint_;
    OutcomeAppender outcomes_;
    RequestService requests_;
    OrderRunner orders_;
    ConfigurationFollower configuration_;
    Supervisor supervisor_;
    Metrics metrics_;
    EndpointReport report_;
    std::vector<CustomerService> lastRemoteService_;
    Time remoteServiceAt_;
    std::shared_ptr<TaskContext> deadlineTask_;
    Time nextWake_ = Time::max();
    boost::asio::steady_timer shutdownSignal_;
    bool shuttingDown_ = false;
    bool stopped_ = false;
    std::unique_ptr<RpcServer> server_;
    std::unique_ptr<HttpServer> statusServer_;
};

} // namespace mimosatally::internal
