#pragma once

#include "gatewaystate.h"

#include <mimosatally/Placement>
#include <mimosatally/Supervision>

#include <platform/engineclient.h>
#include <platform/storeclient.h>

namespace mimosatally::internal
{

/// \brief Orders engines to change their phase while this gateway holds the lease, which one gateway has at a time.
///
/// The store elects the lease holder; the era of the store and the generation of the election form the fencing token of its orders, since generations are
/// given out again after a restore. The holder stops on its own once its lease has expired by its own clock or the era has changed. Since a holder of the last
/// era may not know of the change, nobody gives orders until a lease after the first answer of an era.
class OrderController
{
public:
    explicit OrderController(GatewayState &gateway);

    boost::asio::awaitable<void> run(TaskContext &context);

private:
    boost::asio::awaitable<void> renewLease();
    boost::asio::awaitable<void> orderEngines();
    boost::asio::awaitable<void> orderPhaseChange(PhaseBalancer &balancer, PhaseChange change);
    /// \brief Reads the engine's state and sends the order if it is needed. \param result outcome for the log.
    /// \return true if the engine carries out the order. \throws UnreachableError \throws MalformedInputError
    boost::asio::awaitable<bool> sendOrder(HttpClient &client, PhaseChange change, std::string &result);
    [[nodiscard]] PhasePressure pressureOf(const ServiceId &service) const;
    [[nodiscard]] std::map<SoftwareVersion, std::vector<BalancedEngine>> enginesOf(const ServiceId &service) const;
    [[nodiscard]] std::int64_t fencingToken() const;
    /// \brief Returns true if the lease covers an order that is sent now.
    [[nodiscard]] bool holdsLease(Time now) const;
    /// \brief Updates `holdsLease_` and logs a change.
    void updateLeaseState(bool holdsNow);

    GatewayState &gateway_;
    platform::StoreClient store_;
    ProcessId member_;
    std::int64_t generation_ = 0;
    /// \brief Era of the store in which generation_ was given out.
    StoreEra generationEra_;
    bool holdsLease_ = false;
    /// \brief Token that an engine has rejected as outdated.
    std::int64_t rejectedToken_ = -1;
    Time leaseUntil_ = Time::min();
    /// \brief Engines of one version only work together, so each version needs its own share of prefill engines.
    std::map<std::pair<ServiceId, SoftwareVersion>, PhaseBalancer> balancers_;
};

} // namespace mimosatally::internal
