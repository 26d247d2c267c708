#include <mimosatally/Claims>

#include <set>
#include <unordered_map>

namespace mimosatally
{

namespace
{
/// \brief What an id stands for; only claims have an offset and a verdict.
struct SeenId {
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
    Offset next;
    std::unordered_map<ClaimKey, ClaimState, ClaimKeyHash> keys;
    std::unordered_map<RecordId, SeenId> ids;
    /// \brief Claims that must not have run: voided ones and those that lost.
    std::set<Offset> neverRun;
    std::size_t contradictions = 0;

    ClaimState *validClaim(const ClaimKey &key, Offset claim)
    {
        const auto place = keys.find(key);
        return place != keys.end() && place->second.offset == claim ? &place->second : nullptr;
    }

    void applyRecord(Offset offset, const ClaimRecord &record)
    {
        const auto [place, won] = keys.try_emplace(record.key, ClaimState {offset, record, std::nullopt});
        ClaimVerdict verdict = ClaimVerdict::Won;
        if (!won) {
            neverRun.insert(offset);
            verdict = place->second.claim.bodyHash == record.bodyHash ? ClaimVerdict::Lost : ClaimVerdict::LostToOtherBody;
        }
        ids[record.id] = {offset, verdict};
    }

    void applyRecord(Offset /*offset*/, const OutcomeRecord &record)
    {
        ClaimState *state = validClaim(record.key, record.claim);
        if (state && !state->outcome) {
            state->outcome = record;
        }
        if (neverRun.contains(record.claim)) {
            ++contradictions;
        }
    }

    void applyRecord(Offset /*offset*/, const VoidRecord &record)
    {
        ClaimState *state = validClaim(record.key, record.claim);
        if (!state) {
            return;
        }
        if (state->outcome) {
            ++contradictions;
            return;
        }
        ids[state->claim.id].verdict = ClaimVerdict::Voided;
        neverRun.insert(state->offset);
        keys.erase(record.key);
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
    if (offset < impl_->next) {
        return;
    }
    impl_->next = offset + Offset(1);
    try {
        const ClaimStreamRecord record = parseClaimStreamRecord(payload);
        const RecordId &id = std::visit(
            [](const auto &value) -> const RecordId & {
                return value.id;
            },
            record);
        if (impl_->ids.try_emplace(id).second) {
            std::visit(
                [&](const auto &value) {
                    impl_->applyRecord(offset, value);
                },
                record);
        }
    } catch (const MalformedInputError &) {
        // Every reader finds the same fault, so the record is void for all of them.
        return;
    }
}

Offset ClaimTable::nextOffset() const
{
    return impl_->next;
}

std::optional<ClaimState> ClaimTable::find(const ClaimKey &key) const
{
    const auto place = impl_->keys.find(key);
    return place != impl_->keys.end() ? std::optional(place->second) : std::nullopt;
}

ClaimVerdict ClaimTable::verdict(const RecordId &id) const
{
    const auto place = impl_->ids.find(id);
    return place != impl_->ids.end() ? place->second.verdict : ClaimVerdict::Pending;
}

std::optional<Offset> ClaimTable::offsetOf(const RecordId &id) const
{
    const auto place = impl_->ids.find(id);
    return place != impl_->ids.end() && place->second.isClaim() ? std::optional(place->second.claim) : std::nullopt;
}

void ClaimTable::pruneBefore(Offset firstKept)
{
    std::erase_if(impl_->keys, [&](const auto &entry) {
        return entry.second.offset < firstKept;
    });
    impl_->neverRun.erase(impl_->neverRun.begin(), impl_->neverRun.lower_bound(firstKept));
    std::erase_if(impl_->ids, [&](const auto &entry) {
        return entry.second.isClaim() && entry.second.claim < firstKept;
    });
}

std::size_t ClaimTable::size() const
{
    return impl_->keys.size();
}

std::size_t ClaimTable::contradictions() const
{
    return impl_->contradictions;
}

} // namespace mimosatally
