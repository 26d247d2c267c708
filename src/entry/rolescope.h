#pragma once

#include "agentlink.h"

#include <mimosatally/Authority>
#include <mimosatally/Placement>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace mimosatally::internal
{

/// \brief Engine of a scope with the link to its agent. It is available if it is usable and its agent has reported a load.
struct ScopeEngine {
    Endpoint endpoint;
    std::shared_ptr<AgentLink> link;
    bool available = false;
};

/// \brief Lease and role planner of one scope (model and region).
class RoleScope
{
public:
    RoleScope(LeaseScope id, ProcessId process, IncarnationId incarnation);

    [[nodiscard]] const LeaseScope &id() const;
    [[nodiscard]] LeaseHolder &lease();

    /// \brief True while an order of this scope has not been answered.
    [[nodiscard]] bool hasPendingOrder() const;
    void setOrderPending(bool pending);

    /// \brief Discards the planner and the observed arrivals; a new lease holder plans from its own observations.
    void reset();

    /// \brief Passes the state of the engines to the planner. \return a role change to carry out, if any.
    std::optional<RoleChange> plan(const std::vector<ScopeEngine> &engines, RolePolicy policy, Time now);

private:
    /// \brief Work that had arrived at one incarnation when it was last observed.
    struct Arrivals {
        IncarnationId incarnation;
        DemandReport total;
    };

    void removeMissing(const std::vector<ScopeEngine> &engines);
    void addArrivals(DemandReport &demand, const ScopeEngine &engine);

    LeaseScope id_;
    LeaseHolder lease_;
    std::optional<RolePlanner> planner_;
    RolePolicy policy_;
    std::map<EndpointId, Arrivals> arrivals_;
    bool orderPending_ = false;
};

/// \brief Returns the ids of the scopes of all engines in \a region: one for each model that they serve.
std::vector<LeaseScope> scopesOf(const Configuration &configuration, const RegionId &region);

bool isInScope(const Endpoint &endpoint, const LeaseScope &scope);

} // namespace mimosatally::internal
