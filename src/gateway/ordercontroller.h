#pragma once

#include "gatewaystate.h"

#include <mimosatally/Placement>
#include <mimosatally/Supervision>

#include <platform/engineclient.h>
#include <platform/storeclient.h>

namespace mimosatally::internal
{

/// \brief Lets one gateway at a time order engines to change their phase.
///
/// The store elects the holder; the number of the election is the fencing token of its orders. The holder stops by itself once its
/// lease is over on its own clock.
class OrderController
{
public:
    explicit OrderController(GatewayState &gateway);

    boost::asio::awaitable<void> run(TaskContext &context);

private:
    boost::asio::awaitable<void> renewLease();
    boost::asio::awaitable<void> orderEngines();
    boost::asio::awaitable<void> order(PhaseBalancer &balancer, PhaseChange change);
    /// \brief Reads the engine's state and sends the order. \param result what to log.
    /// \return whether the engine carries the order out. \throws UnreachableError \throws MalformedInputError
    boost::asio::awaitable<bool> orderOnce(HttpClient &client, PhaseChange change, std::string &result);
    [[nodiscard]] PhasePressure pressureOf(const ServiceId &service) const;
    [[nodiscard]] std::vector<BalancedEngine> enginesOf(const ServiceId &service) const;
    /// \brief Whether an order that is sent now is covered by the lease.
    [[nodiscard]] bool holdsLease(Time now) const;
    void noteLease(bool holds);

    GatewayState &gateway_;
    platform::StoreClient store_;
    ProcessId member_;
    std::int64_t generation_ = 0;
    bool holds_ = false;
    /// \brief Token that an engine has refused as outdated.
    std::int64_t fencedGeneration_ = -1;
    Time leaseUntil_ = Time::min();
    std::map<ServiceId, PhaseBalancer> balancers_;
};

} // namespace mimosatally::internal
