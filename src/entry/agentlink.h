#pragma once

#include "mimosatally.capnp.h"
#include "submitwatch.h"

#include <mimosatally/Config>
#include <mimosatally/Placement>
#include <mimosatally/Queueing>
#include <mimosatally/Rpc>
#include <mimosatally/Supervision>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace mimosatally::internal
{

struct EntryState;

/// \brief Maintains one RPC connection to the agent of an endpoint and exchanges heartbeats over it.
class AgentLink
{
public:
    AgentLink(EntryState &entry, Endpoint endpoint);
    AgentLink(const AgentLink &) = delete;
    AgentLink &operator=(const AgentLink &) = delete;

    /// \brief Supervised task: connects with back-off and exchanges heartbeats until \a context stops.
    /// \throws std::exception if the connection is lost; the supervisor then runs the task again.
    boost::asio::awaitable<void> run(TaskContext &context);

    /// \brief Closes the connection; calls in progress fail as disconnected.
    void disconnect();

    /// \brief True once the agent has answered on the current connection.
    [[nodiscard]] bool isConnected() const;

    /// \brief Capability of the connected agent. \throws DisconnectedError if it is not connected
    [[nodiscard]] schema::Agent::Client agent();

    /// \brief Registers \a watch to be notified once when the agent becomes unresponsive.
    void addWatch(const std::shared_ptr<SubmitWatch> &watch);

    /// \brief Notifies the registered watches that the agent is unresponsive.
    void reportUnresponsive();

    /// \brief Incarnation of the connected agent; empty without a connection.
    [[nodiscard]] const IncarnationId &incarnation() const;

    [[nodiscard]] const Endpoint &endpoint() const;
    void setEndpoint(Endpoint endpoint);

    /// \brief Work that arrived at the connected incarnation since its start.
    [[nodiscard]] const DemandReport &arrivedWork() const;

    /// \brief Last reported load; empty before the first report.
    [[nodiscard]] const std::optional<QueueLoad> &load() const;
    [[nodiscard]] const std::string &role() const;

private:
    using ExchangeResponse = capnp::Response<schema::Agent::ExchangeResults>;

    boost::asio::awaitable<bool> connect(TaskContext &context);
    boost::asio::awaitable<void> exchangeUntilStopped(TaskContext &context);
    boost::asio::awaitable<void> exchangeOnce();
    void fillRequest(schema::Agent::ExchangeParams::Builder params) const;
    void applyAnswer(schema::Agent::ExchangeResults::Reader answer);
    void applyLoad(schema::Load::Reader load, const IncarnationId &incarnation);

    EntryState &entry_;
    Endpoint endpoint_;
    std::unique_ptr<RpcConnection> connection_;
    std::optional<schema::Agent::Client> agent_;
    IncarnationId incarnation_;
    std::vector<std::weak_ptr<SubmitWatch>> watches_;
    ConfigurationVersion peerVersion_ = ConfigurationVersion(-1);
    std::optional<QueueLoad> load_;
    DemandReport arrivedWork_;
    std::string role_;
};

} // namespace mimosatally::internal
