#include <mimosatally/membership/peertable.h>

#include <algorithm>

namespace mimosatally
{

using boost::asio::ip::udp;

namespace
{
constexpr Duration MIN_HEARTBEAT_INTERVAL = Duration(500);
/// \brief Limits the heartbeats that a process sends to 100 per second.
constexpr Duration HEARTBEAT_INTERVAL_PER_PEER = Duration(10);
/// \brief Heartbeat intervals without a datagram after which a peer is removed.
constexpr int PEER_LIFETIME_IN_HEARTBEATS = 5;
} // namespace

PeerTable::PeerTable(udp::endpoint self, RegionId region, const std::vector<udp::endpoint> &seeds)
    : self_(std::move(self))
    , region_(std::move(region))
{
    setSeeds(seeds);
}

void PeerTable::setSeeds(const std::vector<udp::endpoint> &seeds)
{
    seeds_ = seeds;
    std::erase(seeds_, self_);
}

std::optional<Duration> PeerTable::recordDatagram(const PeerAddress &peer, Time now)
{
    if (peer.address == self_ || (peers_.size() >= MAX_PEERS && !peers_.contains(peer.address))) {
        return std::nullopt;
    }
    const std::optional<Duration> silence = majoritySilence(now);
    const Duration maxSilence = heartbeatInterval() * MAX_SILENT_HEARTBEATS;
    const Time last = lastReceivedFrom(peer.address);
    const bool endsSilence = silence && *silence > maxSilence && last != Time::min() && now - last > maxSilence;
    silentPeers_.erase(peer.address);
    Peer &known = peers_[peer.address];
    known.region = peer.region;
    known.lastReceived = now;
    lastReceived_ = now;
    return endsSilence ? silence : std::nullopt;
}

Time PeerTable::lastReceivedFrom(const udp::endpoint &address) const
{
    const auto known = peers_.find(address);
    if (known != peers_.end() && known->second.lastReceived != Time::min()) {
        return known->second.lastReceived;
    }
    const auto silent = silentPeers_.find(address);
    return silent == silentPeers_.end() ? Time::min() : silent->second;
}

std::optional<Duration> PeerTable::majoritySilence(Time now) const
{
    std::vector<Time> times;
    for (const auto &[address, known] : peers_) {
        if (known.lastReceived != Time::min()) {
            times.push_back(known.lastReceived);
        }
    }
    for (const auto &[address, lastReceived] : silentPeers_) {
        times.push_back(lastReceived);
    }
    if (times.empty()) {
        return std::nullopt;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::ranges::nth_element(times, middle);
    return now - *middle;
}

void PeerTable::introduce(const PeerAddress &peer, Time now)
{
    if (peer.address == self_ || peers_.size() >= MAX_PEERS) {
        return;
    }
    const auto [known, isNew] = peers_.try_emplace(peer.address);
    if (isNew) {
        known->second.region = peer.region;
        known->second.introducedAt = now;
    }
}

void PeerTable::expire(Time now)
{
    const Duration lifetime = heartbeatInterval() * PEER_LIFETIME_IN_HEARTBEATS;
    std::erase_if(peers_, [this, now, lifetime](const auto &entry) {
        const Peer &peer = entry.second;
        const bool expired = now - std::max(peer.lastReceived, peer.introducedAt) >= lifetime;
        if (expired && peer.lastReceived != Time::min() && silentPeers_.size() < MAX_PEERS) {
            silentPeers_[entry.first] = peer.lastReceived;
        }
        return expired;
    });
    std::erase_if(silentPeers_, [now](const auto &entry) {
        return now - entry.second >= SILENT_PEER_HOLD;
    });
}

std::vector<udp::endpoint> PeerTable::activePeers(bool inOwnRegion) const
{
    std::vector<udp::endpoint> result;
    for (const auto &[address, peer] : peers_) {
        if (peer.lastReceived != Time::min() && (peer.region == region_) == inOwnRegion) {
            result.push_back(address);
        }
    }
    return result;
}

std::vector<udp::endpoint> PeerTable::sameRegionPeers() const
{
    return activePeers(true);
}

std::vector<udp::endpoint> PeerTable::otherRegionPeers() const
{
    return activePeers(false);
}

std::vector<udp::endpoint> PeerTable::heartbeatTargets() const
{
    std::vector<udp::endpoint> result;
    result.reserve(peers_.size() + seeds_.size());
    for (const auto &[address, peer] : peers_) {
        result.push_back(address);
    }
    for (const udp::endpoint &seed : seeds_) {
        if (!peers_.contains(seed)) {
            result.push_back(seed);
        }
    }
    return result;
}

std::vector<PeerAddress> PeerTable::introductions(std::size_t count)
{
    std::vector<PeerAddress> active;
    for (const auto &[address, peer] : peers_) {
        if (peer.lastReceived != Time::min()) {
            active.push_back({address, peer.region});
        }
    }
    std::vector<PeerAddress> result;
    for (std::size_t i = 0; i < std::min(count, active.size()); ++i) {
        result.push_back(active[introductionCursor_++ % active.size()]);
    }
    return result;
}

Duration PeerTable::heartbeatInterval() const
{
    return std::max(MIN_HEARTBEAT_INTERVAL, HEARTBEAT_INTERVAL_PER_PEER * static_cast<Duration::rep>(peers_.size()));
}

std::size_t PeerTable::size() const
{
    return peers_.size();
}

int PeerTable::ownProcessCount(Time now) const
{
    if (lastReceived_ == Time::min()) {
        return 1 + static_cast<int>(seeds_.size());
    }
    const auto silent = std::ranges::count_if(silentPeers_, [now](const auto &entry) {
        return now - entry.second < SILENT_PEER_HOLD;
    });
    return 1 + static_cast<int>(peers_.size()) + static_cast<int>(silent);
}

int PeerTable::processCount(Time now) const
{
    int count = ownProcessCount(now);
    for (const auto &[address, peer] : peers_) {
        count = std::max(count, peer.processCount);
    }
    return count;
}

void PeerTable::recordProcessCount(const udp::endpoint &address, int count)
{
    const auto found = peers_.find(address);
    if (found != peers_.end()) {
        found->second.processCount = std::clamp(count, 0, static_cast<int>(MAX_PEERS) + 1);
    }
}

} // namespace mimosatally
