#include <mimosatally/Claims>

#include <set>
#include <unordered_map>

namespace mimosatally
{

namespace
{
/// \brief Record that was seen before, by its id; only claims have an offset and a verdict.
struct SeenRecord {
    Offset claim = Offset(-1);
    ClaimVerdict verdict = ClaimVerdict::Pending;

    [[nodiscard]] bool isClaim() const
    {
        return claim >= Offset(0);
    }
};

struct ClaimKeyHash {
    std::size_t operator()(const ClaimKey &key) const
    {
        return std::hash<CustomerId>()(key.customer) * 31 + std::hash<std::string>()(key.key);
    }
};
} // namespace

struct ClaimTable::Impl {
    Offset nextOffset;
    std::unordered_map<ClaimKey, ClaimState, ClaimKeyHash> validClaims;
    std::unordered_map<RecordId, SeenRecord> seenRecords;
    /// \brief Claims that must never run: those that lost and those that were voided.
    std::set<Offset> excludedClaims;
    std::size_t contradictions = 0;

    ClaimState *findValidClaim(const ClaimKey &key, Offset claim)
    {
        const auto found = validClaims.find(key);
        return found != validClaims.end() && found->second.offset == claim ? &found->second : nullptr;
    }

    void applyRecord(Offset offset, const ClaimRecord &record)
    {
        const auto [it, won] = validClaims.try_emplace(record.key, ClaimState {offset, record, std::nullopt});
        ClaimVerdict verdict = ClaimVerdict::Won;
        if (!won) {
            excludedClaims.insert(offset);
            verdict = it->second.claim.bodyHash == record.bodyHash ? ClaimVerdict::Lost : ClaimVerdict::LostToOtherBody;
        }
        seenRecords[record.id] = {offset, verdict};
    }

    void applyRecord(Offset /*offset*/, const OutcomeRecord &record)
    {
        ClaimState *state = findValidClaim(record.key, record.claim);
        if (state && !state->outcome) {
            state->outcome = record;
        }
        if (excludedClaims.contains(record.claim)) {
            ++contradictions;
        }
    }

    void applyRecord(Offset /*offset*/, const VoidRecord &record)
    {
        ClaimState *state = findValidClaim(record.key, record.claim);
        if (!state) {
            return;
        }
        if (state->outcome) {
            ++contradictions;
            return;
        }
        seenRecords[state->claim.id].verdict = ClaimVerdict::Voided;
        excludedClaims.insert(state->offset);
        validClaims.erase(record.key);
    }
};

ClaimTable::ClaimTable()
    : impl_(std::make_unique<Impl>())
{
}

ClaimTable::~ClaimTable() = default;
ClaimTable::ClaimTable(ClaimTable &&) noexcept = default;
ClaimTable &ClaimTable::operator=(ClaimTable &&) noexcept = default;

void ClaimTable::apply(Offset offset, const std::string &payload)
{
    if (offset < impl_->nextOffset) {
        return;
    }
    impl_->nextOffset = offset + Offset(1);
    try {
        const ClaimStreamRecord record = parseClaimStreamRecord(payload);
        const RecordId &id = std::visit(
            [](const auto &value) -> const RecordId & {
                return value.id;
            },
            record);
        if (impl_->seenRecords.try_emplace(id).second) {
            std::visit(
                [&](const auto &value) {
                    impl_->applyRecord(offset, value);
                },
                record);
        }
    } catch (const MalformedInputError &) {
        // Every reader rejects the same records, so all of them derive the same state.
        return;
    }
}

Offset ClaimTable::nextOffset() const
{
    return impl_->nextOffset;
}

std::optional<ClaimState> ClaimTable::find(const ClaimKey &key) const
{
    const auto found = impl_->validClaims.find(key);
    return found != impl_->validClaims.end() ? std::optional(found->second) : std::nullopt;
}

ClaimVerdict ClaimTable::verdict(const RecordId &id) const
{
    const auto found = impl_->seenRecords.find(id);
    return found != impl_->seenRecords.end() ? found->second.verdict : ClaimVerdict::Pending;
}

std::optional<Offset> ClaimTable::offsetOf(const RecordId &id) const
{
    const auto found = impl_->seenRecords.find(id);
    return found != impl_->seenRecords.end() && found->second.isClaim() ? std::optional(found->second.claim) : std::nullopt;
}

void ClaimTable::pruneBefore(Offset firstKept)
{
    std::erase_if(impl_->validClaims, [&](const auto &claim) {
        return claim.second.offset < firstKept;
    });
    impl_->excludedClaims.erase(impl_->excludedClaims.begin(), impl_->excludedClaims.lower_bound(firstKept));
    std::erase_if(impl_->seenRecords, [&](const auto &seen) {
        return seen.second.isClaim() && seen.second.claim < firstKept;
    });
}

std::size_t ClaimTable::size() const
{
    return impl_->validClaims.size();
}

std::size_t ClaimTable::contradictions() const
{
    return impl_->contradictions;
}

} // namespace mimosatally
