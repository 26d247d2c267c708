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

/// \brief Longer messages between entry and agent end their connection; above the largest request body.
constexpr std::size_t MAX_RPC_MESSAGE_BYTES = std::size_t(64) * 1024 * 1024;

/// \brief What the parts of one entry process share; all of it is used from one thread.
struct EntryState {
    EntryState(boost::asio::io_context &ioContext, const EntrySettings &entrySettings, Supervisor::EscalationHandler onEscalation);

    /// \brief Puts a new version in force in all parts.
    void applyConfiguration(const ConfigurationState &state);

    /// \brief Brings DecisionLog::basis() up to date. \return whether new work is allowed under the version.
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
    ApiKeyDirectory keys;
    EndpointDirectory directory;
    Router router;
    RetryBudget retries;
    ServiceTotals totals;
    Supervisor supervisor;
    Fleet fleet;
    ClaimCoordinator claims;
    ConfigurationVersion appliedVersion = ConfigurationVersion(-1);
    bool leaving = false;
};

} // namespace mimosatally::internal
