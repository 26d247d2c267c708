#pragma once

#include "claimpartition.h"

#include <memory>
#include <optional>
#include <vector>

namespace mimosatally::internal
{

/// \brief Result of claiming a call that may not be repeated.
struct ClaimResult {
    enum class Kind {
        /// \brief Only this entry may submit the call.
        Won,
        /// \brief Another claim for the same key and body is valid.
        Lost,
        LostToOtherBody,
        /// \brief No valid claim was made, or it will be voided: the call was not run and will not be.
        Unavailable,
    };

    Kind kind = Kind::Unavailable;
    int partition = 0;
    /// \brief Offset of the valid claim, this entry's or another's; not set for Unavailable.
    Offset claim;
    /// \brief Record id of the valid claim; not set for Unavailable.
    RecordId record;
};

/// \brief Entry side of at-most-once execution (docs/design.md, section 5.3).
class ClaimCoordinator
{
public:
    ClaimCoordinator(boost::asio::io_context &io, LogClient &log, Supervisor &supervisor);

    /// \brief Sets the number of partitions over which keys are distributed, and starts reading them.
    void setPartitions(int count);

    /// \brief Claims the key of \a record. \param deadline claims won later are voided.
    boost::asio::awaitable<ClaimResult> claim(ClaimRecord record, Time deadline);

    /// \brief Waits for the outcome of a valid claim. \return empty if there is none by \a until or the claim was voided.
    boost::asio::awaitable<std::optional<OutcomeRecord>> awaitOutcome(ClaimKey key, Offset claim, Time until);

    /// \brief Returns true if the claim with record id \a claim was voided: its call was not run under it and never will be.
    [[nodiscard]] bool isVoided(const ClaimKey &key, const RecordId &claim) const;

    /// \brief Voids a claim of this entry whose call was not run and never will be, so that the key can be claimed again.
    void voidClaim(const ClaimRecord &record);

    /// \brief Waits until no void is pending. \return false if \a timeout expired first.
    boost::asio::awaitable<bool> flush(Duration timeout);

private:
    [[nodiscard]] ClaimPartition &partitionOf(const ClaimKey &key) const;
    [[nodiscard]] bool hasPendingVoids() const;

    boost::asio::io_context &io_;
    LogClient &log_;
    Supervisor &supervisor_;
    std::vector<std::unique_ptr<ClaimPartition>> partitions_;
    int partitionCount_ = 0;
};

} // namespace mimosatally::internal
