#include <mimosatally/usage/fleetclock.h>

#include <algorithm>

namespace mimosatally
{

namespace
{
/// \brief The time approaches the median by 1 ms in this many milliseconds.
constexpr std::int64_t MS_PER_SLEWED_MS = 20;
/// \brief Shorter intervals would round the approach down to nothing.
constexpr Duration MIN_UPDATE_INTERVAL = Duration(100);

std::int64_t offsetOf(std::int64_t unixMs, Time now)
{
    return unixMs - now.time_since_epoch().count();
}
} // namespace

void FleetClock::recordOwn(std::int64_t unixMs, Time now)
{
    const bool isFirst = !ownOffset_;
    ownOffset_ = offsetOf(unixMs, now);
    if (isFirst) {
        offset_ = medianOffset();
        updatedAt_ = now;
        return;
    }
    update(now);
}

void FleetClock::recordPeer(std::uint64_t peer, std::int64_t unixMs, Time now)
{
    if (unixMs < 0 || unixMs > MAX_UNIX_MS) {
        return;
    }
    if (!peers_.contains(peer) && peers_.size() >= MAX_PEERS) {
        return;
    }
    peers_[peer] = {offsetOf(unixMs, now), now};
    if (ownOffset_) {
        update(now);
    }
}

void FleetClock::update(Time now)
{
    const Duration elapsed = now - updatedAt_;
    if (elapsed < MIN_UPDATE_INTERVAL) {
        return;
    }
    updatedAt_ = now;
    std::erase_if(peers_, [now](const auto &entry) {
        return now - entry.second.recordedAt >= PEER_LIFETIME;
    });
    const std::int64_t difference = medianOffset() - offset_;
    if (std::abs(difference) >= MIN_STEP.count()) {
        offset_ += difference;
        return;
    }
    const std::int64_t maxChange = elapsed.count() / MS_PER_SLEWED_MS;
    offset_ += std::clamp(difference, -maxChange, maxChange);
}

std::int64_t FleetClock::medianOffset() const
{
    std::vector<std::int64_t> offsets = {ownOffset_.value_or(0)};
    for (const auto &[peer, clock] : peers_) {
        offsets.push_back(clock.offset);
    }
    std::ranges::sort(offsets);
    const std::size_t upper = offsets.size() / 2;
    const std::size_t lower = (offsets.size() - 1) / 2;
    return offsets[lower] + (offsets[upper] - offsets[lower]) / 2;
}

std::optional<std::int64_t> FleetClock::unixMs(Time now) const
{
    if (!ownOffset_) {
        return std::nullopt;
    }
    return now.time_since_epoch().count() + offset_;
}

Duration FleetClock::ownError() const
{
    return Duration(ownOffset_ ? *ownOffset_ - offset_ : 0);
}

std::size_t FleetClock::clocks() const
{
    return peers_.size() + (ownOffset_ ? 1 : 0);
}

} // namespace mimosatally
