#include <mimosatally/Authority>

namespace mimosatally
{

std::optional<LeaseRecord> LeaseTable::apply(Offset offset, const std::string &payload)
{
    if (offset < nextOffset_) {
        return std::nullopt;
    }
    nextOffset_ = offset + Offset(1);
    try {
        LeaseRecord record = parseLeaseRecord(payload);
        const RecordId &id = std::visit(
            [](const auto &value) -> const RecordId & {
                return value.id;
            },
            record);
        const bool isNew = seenIds_.try_emplace(id, offset).second;
        if (isNew
            && std::visit(
                [&](const auto &value) {
                    return applyRecord(offset, value);
                },
                record)) {
            return record;
        }
        return std::nullopt;
    } catch (const MalformedInputError &) {
        // Every reader rejects the same records, so all of them derive the same state.
        return std::nullopt;
    }
}

bool LeaseTable::applyRecord(Offset offset, const AcquireRecord &record)
{
    const Epoch epoch(offset.count());
    const auto found = leases_.find(record.scope);
    invariant(found == leases_.end() || found->second.epoch < epoch, "the epochs of a scope increase");
    leases_.insert_or_assign(record.scope, LeaseState {epoch, record.holder, record.incarnation, record.ttl, offset});
    return true;
}

bool LeaseTable::applyRecord(Offset offset, const RenewRecord &record)
{
    const auto found = leases_.find(record.scope);
    if (found == leases_.end() || found->second.epoch != record.epoch) {
        return false;
    }
    found->second.lastRecord = offset;
    return true;
}

Offset LeaseTable::nextOffset() const
{
    return nextOffset_;
}

std::optional<LeaseState> LeaseTable::find(const LeaseScope &scope) const
{
    const auto found = leases_.find(scope);
    return found != leases_.end() ? std::optional(found->second) : std::nullopt;
}

} // namespace mimosatally
