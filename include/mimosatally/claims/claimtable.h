#pragma once

#include "claimrecord.h"

#include <memory>
#include <optional>

namespace mimosatally
{

/// \brief Valid claim of a key and its outcome, as derived from the records up to some offset.
struct ClaimState {
    /// \brief Offset of the claim's record.
    Offset offset;
    ClaimRecord claim;
    std::optional<OutcomeRecord> outcome;
};

/// \brief Verdict about an appended claim.
enum class ClaimVerdict {
    /// \brief The partition has not been read up to the claim's record.
    Pending,
    /// \brief This claim is the valid one; only its entry may submit.
    Won,
    /// \brief Another claim for the key is valid.
    Lost,
    /// \brief Another claim for the key, with another body, is valid.
    LostToOtherBody,
    /// \brief The claim won and was voided; no entry may submit it.
    Voided,
};

/// \brief State of one claims partition, derived from its records. Every reader of the same records derives the same state.
///
/// The verdict about a claim is fixed at its offset: it wins if its key has no valid claim there. A claim that lost stays lost when
/// the winner is voided, because its entry may have answered the caller in the meantime; the caller's next claim can win then.
class ClaimTable
{
public:
    ClaimTable();
    ~ClaimTable();
    ClaimTable(ClaimTable &&) noexcept;
    ClaimTable &operator=(ClaimTable &&) noexcept;

    /// \brief Applies the record at \a offset.
    ///
    /// Malformed records, records at or below the last applied offset, and records with an id that was seen before have no effect.
    void apply(Offset offset, const std::string &payload);

    /// \brief Offset from which to read next.
    [[nodiscard]] Offset nextOffset() const;

    /// \brief The valid claim of \a key; empty if there is none or it was voided.
    [[nodiscard]] std::optional<ClaimState> find(const ClaimKey &key) const;

    /// \brief Verdict about the claim with record id \a id.
    [[nodiscard]] ClaimVerdict verdict(const RecordId &id) const;

    /// \brief Offset of the claim record \a id, once applied.
    [[nodiscard]] std::optional<Offset> offsetOf(const RecordId &id) const;

    /// \brief Drops keys whose claim is below \a firstKept, the first record that the log still retains.
    void pruneBefore(Offset firstKept);

    /// \brief Number of keys with a valid claim.
    [[nodiscard]] std::size_t size() const;

    /// \brief Number of records that contradict an earlier one: an outcome of a claim that lost or was voided, or a void of a claim with
    /// an outcome.
    ///
    /// They have no effect. A single one means that a guarantee was broken, or that the log holds a forged record.
    [[nodiscard]] std::size_t contradictions() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace mimosatally
