#pragma once

#include "claimpartition.h"

#include <memory>
#include <optional>
#include <vector>

namespace mimosatally::internal
{

/// \brief What became of the attempt to get the right to run a call that may not be repeated.
struct ClaimResult {
    enum class Kind {
        /// \brief This entry alone may submit the call.
        Won,
        /// \brief Another claim for the key and the same body is valid.
        Lost,
        LostToOtherBody,
        /// \brief There is no claim, or it will be voided: the call was not run and will not be.
        Unavailable,
    };

    Kind kind = Kind::Unavailable;
    int partition = 0;
    /// \brief The valid claim, own or another; not set for Unavailable.
    Offset claim;
    /// \brief Id of the valid claim's record.
    RecordId record;
};

/// \brief Entry side of at-most-once execution (docs/design.md, section 5.3).
class ClaimCoordinator
{
public:
    ClaimCoordinator(boost::asio::io_context &io, LogClient &log, Supervisor &supervisor);

    /// \brief Sets the number of partitions over which keys are spread; starts reading them.
    void setPartitions(int count);

    /// \brief Claims the key of \a record. \param deadline a claim that is won later is voided.
    boost::asio::awaitable<ClaimResult> claim(ClaimRecord record, Time deadline);

    /// \brief Waits for the outcome of a valid claim. \return nothing if there is none at \a until or the claim was voided.
    boost::asio::awaitable<std::optional<OutcomeRecord>> awaitOutcome(ClaimKey key, Offset claim, Time until);

    /// \brief Whether the claim with record id \a claim was voided: it has not been run and never will be.
    [[nodiscard]] bool isVoided(const ClaimKey &key, const RecordId &claim) const;

    /// \brief Frees the key of a claim of this entry that has not been run and never will be.
    void voidClaim(const ClaimRecord &record);

    /// \brief Waits until no void is pending. \return false if \a limit passed before.
    boost::asio::awaitable<bool> flush(Duration limit);

private:
    [[nodiscard]] ClaimPartition &partitionOf(const ClaimKey &key) const;
    [[nodiscard]] bool hasPendingVoids() const;

    boost::asio::io_context &io_;
    LogClient &log_;
    Supervisor &supervisor_;
    std::vector<std::unique_ptr<ClaimPartition>> partitions_;
    int count_ = 0;
};

} // namespace mimosatally::internal
