#pragma once

#include "dutylease.h"
#include "gatewaystate.h"

#include <mimosatally/Placement>
#include <mimosatally/Supervision>

#include <platform/engineclient.h>

namespace mimosatally::internal
{

/// \brief Orders engines to change their phase while this gateway holds the lease, which one gateway has at a time.
///
/// The holder stops on its own once its lease has expired by its own clock or the era of the store has changed. Since a holder of the last era may not know of
/// the change, nobody gives orders until a lease after the first answer of an era.
/// \sa DutyLeaseState
class OrderController
{
public:
    OrderController(GatewayState &gateway, DutyLease &lease);

    boost::asio::awaitable<void> run(TaskContext &context);

private:
    boost::asio::awaitable<void> orderEngines();
    boost::asio::awaitable<void> orderPhaseChange(PhaseBalancer &balancer, PhaseChange change);
    /// \brief Reads the engine's state and sends the order if it is needed. \param result outcome for the log.
    /// \return true if the engine carries out the order. \throws UnreachableError \throws MalformedInputError
    boost::asio::awaitable<bool> sendOrder(HttpClient &client, PhaseChange change, std::string &result);
    [[nodiscard]] PhasePressure pressureOf(const ServiceId &service) const;
    [[nodiscard]] std::map<SoftwareVersion, std::vector<BalancedEngine>> enginesOf(const ServiceId &service) const;

    GatewayState &gateway_;
    DutyLease &lease_;
    /// \brief Engines of one version only work together, so each version needs its own share of prefill engines.
    std::map<std::pair<ServiceId, SoftwareVersion>, PhaseBalancer> balancers_;
};

} // namespace mimosatally::internal
