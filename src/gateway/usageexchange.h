#pragma once

#include "gatewaystate.h"
#include "peerdatagram.h"

#include <vector>

namespace mimosatally::internal
{

/// \brief Tells the other gateways what this one has counted for organisations, and records what they tell. Sends nothing itself.
class UsageExchange
{
public:
    explicit UsageExchange(GatewayState &gateway);

    /// \brief Returns the notices that are due: each second, and when a window is closed. Empty if usage is not reported.
    std::vector<UsageNotice> takeNotices(Time now);

    /// \brief Closes all windows and returns the last datagrams of this process.
    std::vector<PeerDatagram> takeLastDatagrams(const RegionId &region);

    /// \brief Adds the own time of day and the newest window that is written down.
    void completeHeartbeat(PeerDatagram &heartbeat) const;

    /// \param peer identifies the sender. \param stale the datagram was queued while this process was stalled, so its time of day is no use.
    void record(const PeerDatagram &datagram, std::uint64_t peer, bool stale, Time now);

private:
    void recordNotice(const HashedUsageNotice &hashed);

    GatewayState &gateway_;
    Time nextSend_ = Time::min();
    std::optional<UsageWindow> sentCurrent_;
    Time nextFullSend_ = Time::min();
};

} // namespace mimosatally::internal
