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

/// \brief Engine of a scope with what its agent last reported.
struct ScopeEngine {
    Endpoint endpoint;
    std::shared_ptr<AgentLink> link;
    bool available = false;
};

/// \brief Lease and role plan of one scope (model and region).
class RoleScope
{
public:
    RoleScope(LeaseScope id, ProcessId process, IncarnationId incarnation);

    [[nodiscard]] const LeaseScope &id() const;
    [[nodiscard]] LeaseHolder &lease();

    /// \brief Whether an order of this scope has not been answered yet.
    [[nodiscard]] bool isChanging() const;
    void setChanging(bool changing);

    /// \brief Forgets the plan; a new holder plans from what it observes itself.
    void reset();

    /// \brief Observes the engines. \return a role change to carry out.
    std::optional<RoleChange> plan(const std::vector<ScopeEngine> &engines, RolePolicy policy, Time now);

private:
    /// \brief Tokens that had arrived at one incarnation when it was last observed.
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
    bool changing_ = false;
};

/// \brief Ids of the scopes that the engines in \a region form.
std::vector<LeaseScope> scopesOf(const Configuration &configuration, const RegionId &region);

/// \brief Whether \a endpoint belongs to \a scope.
bool isInScope(const Endpoint &endpoint, const LeaseScope &scope);

} // namespace mimosatally::internal
