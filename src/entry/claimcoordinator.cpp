#include "claimcoordinator.h"

#include <algorithm>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
/// \brief Time to read back an appended claim, also one whose append was not answered, before the call is refused as not run.
constexpr Duration READ_BACK_TIMEOUT = Duration(2000);
constexpr Duration FLUSH_POLL_INTERVAL = Duration(20);

ClaimResult lostTo(const ClaimState &winner, const ClaimRecord &record, int partition)
{
    const bool sameBody = winner.claim.bodyHash == record.bodyHash;
    return {sameBody ? ClaimResult::Kind::Lost : ClaimResult::Kind::LostToOtherBody, partition, winner.offset, winner.claim.id};
}
} // namespace

ClaimCoordinator::ClaimCoordinator(boost::asio::io_context &io, LogClient &log, Supervisor &supervisor)
    : io_(io)
    , log_(log)
    , supervisor_(supervisor)
{
}

void ClaimCoordinator::setPartitions(int count)
{
    partitionCount_ = count;
    while (static_cast<int>(partitions_.size()) < count) {
        const int number = static_cast<int>(partitions_.size());
        partitions_.push_back(std::make_unique<ClaimPartition>(io_, log_, number));
        ClaimPartition &partition = *partitions_.back();
        supervisor_.start("claims-" + std::to_string(number), [&partition](TaskContext &context) {
            return partition.run(context);
        });
    }
}

awaitable<ClaimResult> ClaimCoordinator::claim(ClaimRecord record, Time deadline)
{
    if (partitionCount_ == 0) {
        co_return ClaimResult {};
    }
    const int number = claimPartition(record.key, partitionCount_);
    ClaimPartition &partition = partitionOf(record.key);
    // A claim read before an outage of the log remains known during it, and its call may have been run: "not run" would be wrong.
    if (const std::optional<ClaimState> known = partition.table().find(record.key)) {
        co_return lostTo(*known, record, number);
    }
    if (!partition.isReady()) {
        co_return ClaimResult {};
    }
    const AppendResult appendResult = co_await partition.append(toJson(record));
    if (appendResult == AppendResult::NotAppended) {
        co_return ClaimResult {};
    }
    const Time until = std::min(deadline, MilliClock::now() + READ_BACK_TIMEOUT);
    const bool isRead = co_await partition.awaitVerdict(record.id, until);
    const ClaimVerdict verdict = partition.table().verdict(record.id);
    if (!isRead || (verdict == ClaimVerdict::Won && MilliClock::now() >= deadline)) {
        partition.scheduleVoid(record.key, record.id);
        co_return ClaimResult {};
    }
    if (verdict == ClaimVerdict::Won) {
        co_return ClaimResult {ClaimResult::Kind::Won, number, *partition.table().offsetOf(record.id), record.id};
    }
    const std::optional<ClaimState> winner = partition.table().find(record.key);
    if (!winner) {
        // The winner has been voided in the meantime, and a lost claim never takes effect.
        co_return ClaimResult {};
    }
    co_return lostTo(*winner, record, number);
}

awaitable<std::optional<OutcomeRecord>> ClaimCoordinator::awaitOutcome(ClaimKey key, Offset claim, Time until)
{
    ClaimPartition &partition = partitionOf(key);
    co_await partition.awaitOutcome(key, claim, until);
    const std::optional<ClaimState> state = partition.table().find(key);
    if (state && state->offset == claim) {
        co_return state->outcome;
    }
    co_return std::nullopt;
}

bool ClaimCoordinator::isVoided(const ClaimKey &key, const RecordId &claim) const
{
    return partitionOf(key).table().verdict(claim) == ClaimVerdict::Voided;
}

void ClaimCoordinator::voidClaim(const ClaimRecord &record)
{
    partitionOf(record.key).scheduleVoid(record.key, record.id);
}

awaitable<bool> ClaimCoordinator::flush(Duration timeout)
{
    const Time until = MilliClock::now() + timeout;
    Signal timer(io_);
    while (hasPendingVoids() && MilliClock::now() < until) {
        co_await timer.wait(MilliClock::now() + FLUSH_POLL_INTERVAL);
    }
    co_return !hasPendingVoids();
}

ClaimPartition &ClaimCoordinator::partitionOf(const ClaimKey &key) const
{
    return *partitions_[static_cast<std::size_t>(claimPartition(key, partitionCount_))];
}

bool ClaimCoordinator::hasPendingVoids() const
{
    return std::ranges::any_of(partitions_, [](const auto &partition) {
        return partition->hasPendingVoids();
    });
}

} // namespace mimosatally::internal
