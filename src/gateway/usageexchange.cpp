#include "usageexchange.h"

namespace mimosatally::internal
{

namespace
{
/// \brief Bounds what is lost of the counts of a killed process.
constexpr Duration SEND_INTERVAL = Duration(1000);
/// \brief A process that has just started learns in this time what the others have counted before. It cannot report earlier than that, since it first joins
/// the group of the lease and then waits for the time of a lease.
constexpr Duration FULL_SEND_INTERVAL = Duration(5000);
} // namespace

UsageExchange::UsageExchange(GatewayState &gateway)
    : gateway_(gateway)
{
}

std::vector<UsageNotice> UsageExchange::takeNotices(Time now)
{
    const std::optional<UsageWindow> current = gateway_.usageLedger.current();
    if (!gateway_.settings.platformApi.reportsUsage || !current || (now < nextSend_ && sentCurrent_ == current)) {
        return {};
    }
    const bool all = now >= nextFullSend_;
    nextSend_ = now + SEND_INTERVAL;
    nextFullSend_ = all ? now + FULL_SEND_INTERVAL : nextFullSend_;
    sentCurrent_ = current;
    return gateway_.usageLedger.takeNotices(all);
}

std::vector<PeerDatagram> UsageExchange::takeLastDatagrams(const RegionId &region)
{
    gateway_.usageLedger.leave();
    return batchUsageNotices(region, gateway_.usageLedger.takeNotices(false));
}

void UsageExchange::completeHeartbeat(PeerDatagram &heartbeat) const
{
    if (!gateway_.settings.platformApi.reportsUsage) {
        return;
    }
    heartbeat.unixMs = ownUnixMs();
    heartbeat.lastWritten = gateway_.usageLedger.lastWritten();
}

void UsageExchange::record(const PeerDatagram &datagram, std::uint64_t peer, bool stale, Time now)
{
    if (!gateway_.settings.platformApi.reportsUsage) {
        return;
    }
    if (datagram.unixMs > 0 && !stale) {
        gateway_.fleetClock.recordPeer(peer, datagram.unixMs, now);
    }
    const std::optional<UsageWindow> window = gateway_.usageCounter.windowAt(now);
    // A window that has not ended cannot have been reported; a forged one would keep all later ones from being reported.
    if (datagram.lastWritten && window && *datagram.lastWritten < *window) {
        gateway_.usageLedger.recordWritten(*datagram.lastWritten);
    }
    const std::uint64_t ignored = gateway_.usageLedger.ignoredNotices();
    for (const HashedUsageNotice &notice : datagram.usageNotices) {
        recordNotice(notice);
    }
    gateway_.metrics.increment("mimosatally_usage_notices_total", "result=\"received\"", datagram.usageNotices.size());
    gateway_.metrics.increment("mimosatally_usage_notices_total", "result=\"ignored\"", gateway_.usageLedger.ignoredNotices() - ignored);
}

void UsageExchange::recordNotice(const HashedUsageNotice &hashed)
{
    UsageNotice notice;
    notice.process = hashed.process;
    notice.window = hashed.window;
    notice.sequence = hashed.sequence;
    notice.closed = hashed.closedTotal.has_value();
    notice.closedTotal = hashed.closedTotal;
    for (const auto &[hash, count] : hashed.counts) {
        // The sender may have a newer configuration. Its next notices tell the count again, and until then the window does not count as closed.
        if (const OrganisationId *organisation = gateway_.organisationHashes.find(hash)) {
            notice.counts.emplace(*organisation, count);
        } else {
            gateway_.metrics.increment("mimosatally_usage_unknown_organisations_total");
        }
    }
    gateway_.usageLedger.record(notice);
}

} // namespace mimosatally::internal
