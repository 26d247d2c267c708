#pragma once

#include "dutyleasestate.h"
#include "gatewaystate.h"

#include <mimosatally/Supervision>

#include <platform/storeclient.h>

namespace mimosatally::internal
{

/// \brief The lease under which this process orders engines and calls the platform's API: one membership and one renewal for all of them.
class DutyLease
{
public:
    explicit DutyLease(GatewayState &gateway);

    /// \brief Renews the lease regularly. Only for deployments with the platform's API; without it, OrderController renews between its orders.
    boost::asio::awaitable<void> run(TaskContext &context);

    /// \brief Requests or renews the lease once; a failure is counted and leaves the lease to end.
    boost::asio::awaitable<void> renew();

    /// \brief Returns the time until the next renewal.
    Duration renewalPause();

    [[nodiscard]] bool coversOrders() const;
    /// \brief Returns true if a call to the platform may be sent now.
    [[nodiscard]] bool coversDuties() const;

    /// \brief An engine has rejected \a token as outdated.
    void recordRejection(std::int64_t token);
    /// \brief The platform or the store has rejected \a token as outdated.
    void recordDutyRejection(std::int64_t token);

    [[nodiscard]] const DutyLeaseState &state() const;
    /// \brief Name of this process in the group, different after each start.
    [[nodiscard]] const ProcessId &member() const;

private:
    boost::asio::awaitable<void> join();
    void updateOrderState();
    void updateDutyState();

    GatewayState &gateway_;
    platform::StoreClient store_;
    ProcessId member_;
    DutyLeaseState state_;
    /// \brief State at the last log line.
    bool holdsOrders_ = false;
    bool holdsDuties_ = false;
};

} // namespace mimosatally::internal
