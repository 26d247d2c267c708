#include <mimosatally/Authority>

namespace mimosatally
{

namespace
{
/// \brief Number of renewals per ttl; a single lost renewal does not lose the lease.
constexpr int RENEWALS_PER_TTL = 3;
} // namespace

LeaseHolder::LeaseHolder(LeaseScope scope, ProcessId process, IncarnationId incarnation, Duration ttl)
    : scope_(std::move(scope))
    , process_(std::move(process))
    , incarnation_(std::move(incarnation))
    , ttl_(ttl)
{
    invariant(ttl_ > Duration(0), "the ttl of a lease is positive");
}

std::vector<LeaseAction> LeaseHolder::tick(Time now)
{
    std::vector<LeaseAction> actions;
    checkExpiry(now, actions);
    if (held_ && now >= held_->lastAppend + ttl_ / RENEWALS_PER_TTL) {
        held_->lastAppend = now;
        actions.push_back(renew(held_->epoch, now));
    }
    return actions;
}

std::vector<LeaseAction> LeaseHolder::apply(Offset offset, const std::string &payload, Time now)
{
    std::vector<LeaseAction> actions;
    checkExpiry(now, actions);
    const auto record = table_.apply(offset, payload);
    if (!record) {
        return actions;
    }
    if (const auto *acquired = std::get_if<AcquireRecord>(&*record); acquired && acquired->scope == scope_) {
        handleAcquire(*acquired, now, actions);
    }
    if (const auto *renewed = std::get_if<RenewRecord>(&*record); renewed && renewed->scope == scope_) {
        handleRenewal(*renewed, now);
    }
    return actions;
}

std::vector<LeaseAction> LeaseHolder::endOfStream(Time readStart, Time now)
{
    std::vector<LeaseAction> actions;
    checkExpiry(now, actions);
    if (!held_ && canAcquire(readStart)) {
        actions.push_back(acquire(now));
    }
    return actions;
}

std::optional<Epoch> LeaseHolder::epoch(Time now) const
{
    return held_ && now < held_->expiry ? std::optional(held_->epoch) : std::nullopt;
}

Offset LeaseHolder::nextOffset() const
{
    return table_.nextOffset();
}

LeaseAction LeaseHolder::acquire(Time now)
{
    const RecordId id(newUniqueId());
    pending_.clear();
    pending_.emplace(id, now);
    lastAcquire_ = now;
    return {LeaseActionKind::AppendAcquire, toJson(AcquireRecord {id, scope_, process_, incarnation_, ttl_}), Epoch(-1)};
}

LeaseAction LeaseHolder::renew(Epoch epoch, Time now)
{
    // An append older than a ttl can no longer extend the lease.
    std::erase_if(pending_, [&](const auto &append) {
        return append.second + ttl_ <= now;
    });
    const RecordId id(newUniqueId());
    pending_.emplace(id, now);
    return {LeaseActionKind::AppendRenew, toJson(RenewRecord {id, scope_, epoch}), Epoch(-1)};
}

bool LeaseHolder::canAcquire(Time readStart) const
{
    // An own append that was not read back yet may have been lost; it is retried after a ttl.
    if (lastAcquire_ && readStart < *lastAcquire_ + ttl_) {
        return false;
    }
    const auto lease = table_.find(scope_);
    return !lease || lease->incarnation == incarnation_ || readStart >= lastSeen_ + lease->ttl;
}

void LeaseHolder::handleAcquire(const AcquireRecord &record, Time now, std::vector<LeaseAction> &actions)
{
    lastSeen_ = now;
    if (held_) {
        actions.push_back({LeaseActionKind::Lost, {}, held_->epoch});
        held_.reset();
    }
    const auto ownAppend = pending_.find(record.id);
    if (ownAppend == pending_.end()) {
        return;
    }
    const Time appendTime = ownAppend->second;
    pending_.clear();
    lastAcquire_.reset();
    if (now < appendTime + ttl_) {
        const Epoch epoch(table_.nextOffset().count() - 1);
        const auto lease = table_.find(scope_);
        invariant(lease && lease->incarnation == incarnation_ && lease->epoch == epoch, "a lease that is held is the newest one of its scope");
        held_ = HeldLease {epoch, appendTime + ttl_, appendTime};
        actions.push_back({LeaseActionKind::Held, {}, epoch});
    }
}

void LeaseHolder::handleRenewal(const RenewRecord &record, Time now)
{
    lastSeen_ = now;
    const auto ownAppend = pending_.find(record.id);
    if (ownAppend == pending_.end()) {
        return;
    }
    if (held_) {
        invariant(held_->epoch == record.epoch, "a renewal that took effect names the lease that is held");
        held_->expiry = std::max(held_->expiry, ownAppend->second + ttl_);
    }
    pending_.erase(ownAppend);
}

void LeaseHolder::checkExpiry(Time now, std::vector<LeaseAction> &actions)
{
    if (held_ && now >= held_->expiry) {
        actions.push_back({LeaseActionKind::Lost, {}, held_->epoch});
        held_.reset();
        pending_.clear();
    }
}

} // namespace mimosatally
