#include <mimosatally/membership/endpointregistry.h>

#include <algorithm>
#include <utility>

namespace mimosatally
{

namespace
{
/// \brief Heartbeats that every endpoint misses at least in an outage of the store that lets entries lapse.
constexpr int MIN_MISSED_HEARTBEATS = 2;

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
    if (missed_ && !storeLost_ && record) {
        missed_->heartbeats.add(*record);
    }
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
    const auto entry = endpoints_.find(id);
    if (entry == endpoints_.end()) {
        return;
    }
    // An endpoint that has announced that it leaves does not register again.
    if (now >= graceEnd_ || entry->second.leaving) {
        erase(id);
        return;
    }
    graceDeadlines_.insert_or_assign(id, graceEnd_);
    if (missed_) {
        missed_->removals.insert_or_assign(id, missed_->heartbeats.size());
    }
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
    // A snapshot does not tell what was written between.
    missed_.reset();
    lastAbsence_ = Duration(0);
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
    restoreGraceEnd_ = now + REREGISTRATION_TIME;
    graceEnd_ = restoreGraceEnd_;
    missed_.reset();
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
    if (!std::exchange(storeLost_, true)) {
        peerSilence_ = Duration(0);
        missed_.emplace();
        for (const auto &[id, record] : endpoints_) {
            missed_->heartbeats.add(record);
        }
    }
}

void EndpointRegistry::recordStoreAnswer(Time now)
{
    if (storeLost_) {
        storeLost_ = false;
        graceEnd_ = now + REREGISTRATION_TIME;
    }
}

std::optional<StoreAbsence> EndpointRegistry::recordHistoryRead(Time sentAt, Time now, Duration heartbeatInterval)
{
    std::optional<StoreAbsence> absence;
    if (missed_ && !storeLost_ && completeUpTo_) {
        absence = settle(*missed_, now - *completeUpTo_, now, heartbeatInterval);
    }
    missed_.reset();
    completeUpTo_ = sentAt;
    return absence;
}

StoreAbsence EndpointRegistry::settle(const MissedRecords &missed, Duration duration, Time now, Duration heartbeatInterval)
{
    StoreAbsence absence;
    absence.duration = duration;
    absence.covered = heartbeatInterval * missed.heartbeats.intervals();
    // The heartbeats can be out of step with the outage by one interval.
    absence.servedOthers = duration - absence.covered < heartbeatInterval * (MIN_MISSED_HEARTBEATS - 1);
    absence.cutOff = duration - peerSilence_ < heartbeatInterval * MIN_MISSED_HEARTBEATS;
    absence.removed = missed.removals.size();
    lastAbsence_ = duration;
    for (const auto &[id, mark] : missed.removals) {
        const auto grace = graceDeadlines_.find(id);
        if (grace != graceDeadlines_.end()) {
            const Duration sinceRemoval = heartbeatInterval * missed.heartbeats.intervalsAfter(mark);
            grace->second = std::max(now + REREGISTRATION_TIME - sinceRemoval, restoreGraceEnd_);
        }
    }
    if (absence.servedOthers || absence.cutOff) {
        endGrace(now);
    }
    expire(now);
    absence.kept = graceDeadlines_.size();
    return absence;
}

void EndpointRegistry::recordPeerSilence(Duration silence, Time now, Duration heartbeatInterval)
{
    peerSilence_ = silence;
    const bool answeredBefore = !storeLost_ && now < graceEnd_ && lastAbsence_ > Duration(0);
    if (answeredBefore && lastAbsence_ - silence < heartbeatInterval * MIN_MISSED_HEARTBEATS) {
        endGrace(now);
    }
}

void EndpointRegistry::endGrace(Time now)
{
    graceEnd_ = restoreGraceEnd_;
    for (auto &[id, deadline] : graceDeadlines_) {
        deadline = std::max(now, restoreGraceEnd_);
    }
    expire(now);
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
