#pragma once

#include "apikeydirectory.h"
#include "claimcoordinator.h"
#include "decisionlog.h"
#include "fleet.h"
#include "servicetotals.h"

#include <mimosatally/Audit>
#include <mimosatally/Config>
#include <mimosatally/LogService>
#include <mimosatally/Membership>
#include <mimosatally/Routing>
#include <mimosatally/Rpc>
#include <mimosatally/Supervision>

namespace mimosatally::internal
{

/// \brief Size limit of messages between entry and agent, above the largest request body; a longer message closes the connection.
constexpr std::size_t MAX_RPC_MESSAGE_BYTES = std::size_t(64) * 1024 * 1024;

/// \brief State shared by the components of one entry process; used from a single thread.
struct EntryState {
    EntryState(boost::asio::io_context &ioContext, const EntrySettings &entrySettings, Supervisor::EscalationHandler onEscalation);

    /// \brief Applies a new configuration version to all components.
    void applyConfiguration(const ConfigurationState &state);

    /// \brief Updates DecisionLog::basis(). \return false if the version has been unconfirmed for too long to accept new work.
    bool refreshBasis();

    boost::asio::io_context &io;
    const EntrySettings &settings;
    const std::uint64_t seed;
    const IncarnationId incarnation;
    RpcContext rpc;
    Metrics metrics;
    LogClient log;
    ConfigurationFollower configuration;
    DecisionChain chain;
    AuditShipper shipper;
    DecisionLog decisions;
    ApiKeyDirectory apiKeys;
    EndpointDirectory endpointDirectory;
    Router router;
    RetryBudget retryBudget;
    ServiceTotals serviceTotals;
    Supervisor supervisor;
    Fleet fleet;
    ClaimCoordinator claims;
    ConfigurationVersion appliedVersion = ConfigurationVersion(-1);
    bool shuttingDown = false;
};

} // namespace mimosatally::internal
