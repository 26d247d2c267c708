#include <mimosatally/membership/endpointregistry.h>

#include <algorithm>

namespace mimosatally
{

namespace
{
/// \brief Without start times, incarnations of one id cannot be told apart.
bool sameIncarnation(const EndpointRecord &left, const EndpointRecord &right)
{
    return left.startedAt != 0 && left.startedAt == right.startedAt;
}

/// \brief Returns whether both heartbeats are numbered and \a left was sent before \a right.
bool isEarlierHeartbeat(const EndpointRecord &left, const EndpointRecord &right)
{
    return left.heartbeat && right.heartbeat && *left.heartbeat < *right.heartbeat;
}
} // namespace

void EndpointRegistry::apply(const EndpointId &id, StorePosition position, const std::optional<EndpointRecord> &record, Time now)
{
    const auto known = positions_.find(id);
    if (known != positions_.end() && known->second >= position) {
        return;
    }
    positions_[id] = position;
    newestPosition_ = std::max(newestPosition_, position);
    if (record) {
        put(*record, position.era);
    } else {
        remove(id, now);
    }
}

bool EndpointRegistry::isOutdated(const EndpointRecord &record, StoreEra era) const
{
    const auto found = removed_.find(record.id);
    if (found == removed_.end()) {
        return false;
    }
    const Removed &removed = found->second;
    if (!sameIncarnation(record, removed.record)) {
        return record.startedAt < removed.record.startedAt;
    }
    // Within an era the entry was written after its removal, so its owner lives and has registered again.
    const bool fromCopy = era > removed.era && removed.record.heartbeat && record.heartbeat && *record.heartbeat <= *removed.record.heartbeat;
    return removed.record.leaving || fromCopy;
}

void EndpointRegistry::put(const EndpointRecord &record, StoreEra era)
{
    EndpointRecord next = record;
    const auto known = endpoints_.find(record.id);
    if (known == endpoints_.end() && isOutdated(record, era)) {
        return;
    }
    if (known != endpoints_.end()) {
        const EndpointRecord &last = known->second;
        if (record.startedAt < last.startedAt) {
            return;
        }
        if (record.startedAt == last.startedAt) {
            graceDeadlines_.erase(record.id);
            if (sameIncarnation(record, last) && isEarlierHeartbeat(record, last)) {
                return;
            }
            // Leaving is final for an incarnation; a delayed heartbeat must not revoke it.
            next.leaving = record.leaving || last.leaving;
        }
    }
    graceDeadlines_.erase(record.id);
    removed_.erase(record.id);
    endpoints_[record.id] = std::move(next);
    ++changeCount_;
}

void EndpointRegistry::remove(const EndpointId &id, Time now)
{
    if (!endpoints_.contains(id)) {
        return;
    }
    if (now < graceEnd_) {
        graceDeadlines_.insert_or_assign(id, graceEnd_);
        return;
    }
    erase(id);
}

void EndpointRegistry::erase(const EndpointId &id)
{
    const auto entry = endpoints_.find(id);
    if (entry == endpoints_.end()) {
        return;
    }
    if (removed_.size() >= MAX_REMOVED) {
        removed_.erase(std::ranges::min_element(removed_, {}, [](const auto &item) {
            return item.second.number;
        }));
    }
    removed_.insert_or_assign(id, Removed {std::move(entry->second), newestPosition_.era, ++removals_});
    endpoints_.erase(entry);
    graceDeadlines_.erase(id);
    ++changeCount_;
}

void EndpointRegistry::retain(const std::set<EndpointId> &snapshot, StorePosition snapshotEnd, Time now)
{
    std::erase_if(positions_, [&](const auto &item) {
        return item.second < snapshotEnd && !snapshot.contains(item.first) && !endpoints_.contains(item.first);
    });
    std::vector<EndpointId> missing;
    for (const auto &[id, record] : endpoints_) {
        if (!snapshot.contains(id) && positions_[id] < snapshotEnd) {
            missing.push_back(id);
        }
    }
    for (const EndpointId &id : missing) {
        remove(id, now);
    }
}

void EndpointRegistry::recordRestore(Time now)
{
    graceEnd_ = now + REREGISTRATION_TIME;
}

void EndpointRegistry::forgetPositions()
{
    positions_.clear();
    newestPosition_ = StorePosition();
}

StorePosition EndpointRegistry::newestPosition() const
{
    return newestPosition_;
}

void EndpointRegistry::recordStoreFailure()
{
    storeLost_ = true;
}

void EndpointRegistry::recordStoreAnswer(Time now)
{
    if (storeLost_) {
        storeLost_ = false;
        graceEnd_ = now + REREGISTRATION_TIME;
    }
}

void EndpointRegistry::expire(Time now)
{
    std::vector<EndpointId> expired;
    for (const auto &[id, deadline] : graceDeadlines_) {
        if (now >= deadline) {
            expired.push_back(id);
        }
    }
    for (const EndpointId &id : expired) {
        erase(id);
    }
}

const std::map<EndpointId, EndpointRecord> &EndpointRegistry::endpoints() const
{
    return endpoints_;
}

std::uint64_t EndpointRegistry::changeCount() const
{
    return changeCount_;
}

} // namespace mimosatally
