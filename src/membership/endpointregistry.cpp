#include <mimosatally/membership/endpointregistry.h>

#include <algorithm>

namespace mimosatally
{

void EndpointRegistry::apply(const EndpointId &id, Offset offset, const std::optional<EndpointRecord> &record, Time now)
{
    const auto known = offsets_.find(id);
    if (known != offsets_.end() && known->second >= offset) {
        return;
    }
    offsets_[id] = offset;
    if (record) {
        put(*record);
    } else {
        remove(id, now);
    }
}

void EndpointRegistry::put(const EndpointRecord &record)
{
    EndpointRecord next = record;
    const auto known = endpoints_.find(record.id);
    if (known != endpoints_.end()) {
        const EndpointRecord &last = known->second;
        if (record.startedAt < last.startedAt) {
            return;
        }
        // Leaving is final for an incarnation; a delayed heartbeat must not revoke it.
        if (record.startedAt == last.startedAt) {
            next.leaving = record.leaving || last.leaving;
        }
    }
    graceDeadlines_.erase(record.id);
    endpoints_[record.id] = std::move(next);
    ++changeCount_;
}

void EndpointRegistry::remove(const EndpointId &id, Time now)
{
    if (!endpoints_.contains(id)) {
        return;
    }
    if (now < graceEnd_) {
        graceDeadlines_.emplace(id, graceEnd_);
        return;
    }
    endpoints_.erase(id);
    graceDeadlines_.erase(id);
    ++changeCount_;
}

void EndpointRegistry::retain(const std::map<EndpointId, Offset> &snapshot, Offset snapshotEnd, Time now)
{
    std::vector<EndpointId> missing;
    for (const auto &[id, record] : endpoints_) {
        if (!snapshot.contains(id) && offsets_[id] < snapshotEnd) {
            missing.push_back(id);
        }
    }
    for (const EndpointId &id : missing) {
        remove(id, now);
    }
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
        graceDeadlines_.erase(id);
        endpoints_.erase(id);
        ++changeCount_;
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
