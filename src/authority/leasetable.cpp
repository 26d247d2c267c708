#include <mimosatally/Authority>

namespace mimosatally
{

std::optional<LeaseRecord> LeaseTable::apply(Offset offset, const std::string &payload)
{
    if (offset < next_) {
        return std::nullopt;
    }
    next_ = offset + Offset(1);
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
        // Every reader finds the same fault, so the record is void for all of them.
        return std::nullopt;
    }
}

bool LeaseTable::applyRecord(Offset offset, const AcquireRecord &record)
{
    const Epoch epoch(offset.count());
    const auto place = leases_.find(record.scope);
    invariant(place == leases_.end() || place->second.epoch < epoch, "the epochs of a scope increase");
    leases_.insert_or_assign(record.scope, LeaseState {epoch, record.holder, record.incarnation, record.ttl, offset});
    return true;
}

bool LeaseTable::applyRecord(Offset offset, const RenewRecord &record)
{
    const auto place = leases_.find(record.scope);
    if (place == leases_.end() || place->second.epoch != record.epoch) {
        return false;
    }
    place->second.lastRecord = offset;
    return true;
}

Offset LeaseTable::nextOffset() const
{
    return next_;
}

std::optional<LeaseState> LeaseTable::find(const LeaseScope &scope) const
{
    const auto place = leases_.find(scope);
    return place != leases_.end() ? std::optional(place->second) : std::nullopt;
}

void LeaseTable::pruneBefore(Offset firstKept)
{
    std::erase_if(seenIds_, [&](const auto &entry) {
        return entry.second < firstKept;
    });
}

} // namespace mimosatally
