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

/// \brief One agent process: joins queue, endpoint, configuration, orders and audit, and stops them in order.
class AgentNode
{
public:
    AgentNode(boost::asio::io_context &io, const AgentSettings &settings);
    ~AgentNode();
    AgentNode(const AgentNode &) = delete;
    AgentNode &operator=(const AgentNode &) = delete;

    /// \brief Serves until leave() and until all work is done.
    boost::asio::awaitable<void> run();

    /// \brief Starts the graceful shutdown. \param reason for the log, for example `signal` or `drain`.
    void leave(const std::string &reason);

    /// \brief Ends the process after an invariant violation.
    void escalate(const InvariantViolation &violation);
    [[nodiscard]] bool hasEscalated() const;

    /// \name Calls of RpcAgent
    /// \{
    [[nodiscard]] boost::asio::io_context &io();
    [[nodiscard]] ConfigurationVersion version() const;
    void takeFromPeer(const std::vector<ConfigurationRecord> &records, ConfigurationVersion peerVersion, std::vector<CustomerService> served);
    [[nodiscard]] std::vector<ConfigurationRecord> recordsFor(ConfigurationVersion peerVersion) const;
    void describe(schema::Peer::Builder peer) const;
    void describe(schema::Load::Builder load) const;
    boost::asio::awaitable<void> serve(std::shared_ptr<AgentRequest> request, std::shared_ptr<AnswerWriter> writer, std::shared_ptr<RequestOutcome> outcome);
    void abandon(const std::shared_ptr<AgentRequest> &request);
    CancelWord cancel(const RequestId &id, const IncarnationId &addressedTo);
    boost::asio::awaitable<void> execute(Order order, std::shared_ptr<OrderResult> result);
    /// \}

private:
    void startTasks();
    void applyConfiguration(const ConfigurationState &state);
    void applyInstanceState(const ConfigurationState &state);
    void checkConfirmation();
    void takeService(std::vector<CustomerService> served);
    void takeReport(const EndpointReport &report);
    void wakeForDeadline(Time deadline);
    boost::asio::awaitable<void> pollEndpoint(TaskContext &context);
    boost::asio::awaitable<void> watchDeadlines(TaskContext &context);
    boost::asio::awaitable<void> shutDown();
    boost::asio::awaitable<void> sleep(Duration length);
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
    std::vector<CustomerService> lastServed_;
    Time lastServedAt_;
    std::shared_ptr<TaskContext> deadlineTask_;
    Time nextWake_ = Time::max();
    boost::asio::steady_timer leaveSignal_;
    bool leaving_ = false;
    bool stopped_ = false;
    std::unique_ptr<RpcServer> server_;
    std::unique_ptr<HttpServer> status_;
};

} // namespace mimosatally::internal
