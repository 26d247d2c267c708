#include "rolescope.h"

#include <algorithm>
#include <set>

namespace mimosatally::internal
{

namespace
{
/// \brief Short compared with the seconds that a role change takes, and long enough compared with the renewal interval that one lost renewal
/// does not lose the lease.
constexpr Duration LEASE_TTL = Duration(6000);

LeaseScope scopeId(const ModelId &model, const RegionId &region)
{
    return LeaseScope(model.value() + '/' + region.value());
}

PhaseWork difference(const PhaseWork &now, const PhaseWork &before)
{
    return {now.uncachedPrompt - before.uncachedPrompt, now.output - before.output};
}

PhaseWork sum(const PhaseWork &left, const PhaseWork &right)
{
    return {left.uncachedPrompt + right.uncachedPrompt, left.output + right.output};
}
} // namespace

RoleScope::RoleScope(LeaseScope id, ProcessId process, IncarnationId incarnation)
    : id_(id)
    , lease_(std::move(id), std::move(process), std::move(incarnation), LEASE_TTL)
{
}

const LeaseScope &RoleScope::id() const
{
    return id_;
}

LeaseHolder &RoleScope::lease()
{
    return lease_;
}

bool RoleScope::hasPendingOrder() const
{
    return orderPending_;
}

void RoleScope::setOrderPending(bool pending)
{
    orderPending_ = pending;
}

void RoleScope::reset()
{
    planner_.reset();
    arrivals_.clear();
}

std::optional<RoleChange> RoleScope::plan(const std::vector<ScopeEngine> &engines, RolePolicy policy, Time now)
{
    if (!planner_ || !(policy_ == policy)) {
        reset();
        policy_ = policy;
        planner_.emplace(RolePlanner::Builder().policy(policy).build());
    }
    removeMissing(engines);
    DemandReport demand;
    for (const ScopeEngine &engine : engines) {
        EngineStatus status;
        status.engine = engine.endpoint.id;
        status.role = parseEngineRole(engine.link->role()).value_or(engine.endpoint.role);
        status.available = engine.available;
        status.prefillTokensPerSecond = engine.endpoint.prefillTokensPerSecond;
        status.decodeTokensPerSecond = engine.endpoint.decodeTokensPerSecond;
        status.runningRequests = engine.link->load().value_or(QueueLoad()).runningRequests;
        planner_->reportEngine(status, now);
        addArrivals(demand, engine);
    }
    planner_->reportDemand(demand, now);
    return planner_->plan(now);
}

void RoleScope::removeMissing(const std::vector<ScopeEngine> &engines)
{
    std::erase_if(arrivals_, [&](const auto &item) {
        const bool missing = std::ranges::none_of(engines, [&](const ScopeEngine &engine) {
            return engine.endpoint.id == item.first;
        });
        if (missing) {
            planner_->removeEngine(item.first);
        }
        return missing;
    });
}

void RoleScope::addArrivals(DemandReport &demand, const ScopeEngine &engine)
{
    const DemandReport &total = engine.link->arrivedWork();
    const auto [found, isNew] = arrivals_.try_emplace(engine.endpoint.id, Arrivals {engine.link->incarnation(), total});
    Arrivals &last = found->second;
    if (!isNew && last.incarnation == engine.link->incarnation()) {
        const PhaseWork prefillHeavy = total.prefillHeavy.value_or(PhaseWork());
        const PhaseWork lastPrefillHeavy = last.total.prefillHeavy.value_or(PhaseWork());
        demand.arrived = sum(demand.arrived, difference(total.arrived, last.total.arrived));
        demand.prefillHeavy = sum(demand.prefillHeavy.value_or(PhaseWork()), difference(prefillHeavy, lastPrefillHeavy));
    }
    last = {engine.link->incarnation(), total};
}

std::vector<LeaseScope> scopesOf(const Configuration &configuration, const RegionId &region)
{
    std::set<LeaseScope> scopes;
    for (const Endpoint &endpoint : configuration.endpoints) {
        if (endpoint.kind == EndpointKind::Engine && endpoint.region == region) {
            for (const ModelId &model : endpoint.models) {
                scopes.insert(scopeId(model, region));
            }
        }
    }
    return {scopes.begin(), scopes.end()};
}

bool isInScope(const Endpoint &endpoint, const LeaseScope &scope)
{
    return endpoint.kind == EndpointKind::Engine && std::ranges::any_of(endpoint.models, [&](const ModelId &model) {
               return scopeId(model, endpoint.region) == scope;
           });
}

} // namespace mimosatally::internal
