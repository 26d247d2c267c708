#pragma once

#include <mimosatally/Serving>
#include <mimosatally/membership/heartbeatspan.h>
#include <mimosatally/membership/storeposition.h>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace mimosatally
{

/// \brief What the records of a time without the store tell of it.
struct StoreAbsence {
    Duration duration = Duration(0);
    /// \brief Part of the time for which heartbeats of one endpoint were accepted at least.
    Duration covered = Duration(0);
    /// \brief The store accepted heartbeats throughout, so no entry lapsed because of an outage.
    bool servedOthers = false;
    /// \brief This process heard none of most peers for nearly all of the time, so it was cut off itself.
    bool cutOff = false;
    /// \brief Entries that were removed in this time, and those of them that are kept for a grace period.
    std::size_t removed = 0;
    std::size_t kept = 0;
};

/// \brief Endpoints that register themselves in a store, as far as one process has read them.
///
/// Performs no I/O: the caller passes records with their positions and reports when the store fails, answers again or has returned from an older copy. An
/// entry that expired while the store was unreachable, or that the copy lacks, is kept until its owner has had time to register again. An older copy
/// neither takes back what is known of an incarnation nor revives one that was removed. If the records that were missed show that only this process did
/// not reach the store, their removals count at once.
class EndpointRegistry
{
public:
    /// \brief Grace period after the store answers again, in which a live endpoint registers again.
    static constexpr Duration REREGISTRATION_TIME = Duration(2000);

    /// \brief Bounds the memory for removed incarnations; the one that was removed first is forgotten first.
    static constexpr std::size_t MAX_REMOVED = 4096;

    /// \brief Applies one record. It is ignored unless its position is greater than the last one of the same endpoint.
    /// \param record empty if the entry was removed or cannot be read.
    void apply(const EndpointId &id, StorePosition position, const std::optional<EndpointRecord> &record, Time now);

    /// \brief Removes the entries that are missing from a snapshot of the whole store.
    /// \param snapshotEnd entries that were written at this position or later are newer than the snapshot and are kept.
    void retain(const std::set<EndpointId> &snapshot, StorePosition snapshotEnd, Time now);

    /// \brief Records that a call to the store failed.
    void recordStoreFailure();

    /// \brief Records that the store answered. The first answer after a failure starts the grace period.
    void recordStoreAnswer(Time now);

    /// \brief Records that all records up to those that the store had at \a sentAt have been applied, without a gap since the last such call. Ends the
    /// grace period of entries that were removed while only this process did not reach the store, and of those whose owners have not registered again
    /// although others have for that time.
    /// \param sentAt time at which the request for the records was sent. \param heartbeatInterval time between the heartbeats of an endpoint.
    /// \return what is known of the time without the store, if one has ended.
    std::optional<StoreAbsence> recordHistoryRead(Time sentAt, Time now, Duration heartbeatInterval);

    /// \brief Records that a peer was heard again after most were silent for \a silence. If that was nearly all of the time without the store, this process
    /// was cut off, and the entries that were removed meanwhile are not kept.
    void recordPeerSilence(Duration silence, Time now, Duration heartbeatInterval);

    /// \brief Records that the store has returned from an older copy, which starts the grace period.
    void recordRestore(Time now);

    /// \brief Forgets the positions of all records. For a store that has gone back and states no era.
    void forgetPositions();

    /// \brief Returns the greatest position that was applied.
    [[nodiscard]] StorePosition newestPosition() const;

    /// \brief Removes entries that have not been registered again by the end of the grace period.
    void expire(Time now);

    /// \brief Returns all registered endpoints, including those that are leaving.
    [[nodiscard]] const std::map<EndpointId, EndpointRecord> &endpoints() const;

    /// \brief Returns a counter that grows with every change that affects placement.
    [[nodiscard]] std::uint64_t changeCount() const;

private:
    /// \brief Incarnation whose entry was removed.
    struct Removed {
        EndpointRecord record;
        /// \brief Era in which it was removed.
        StoreEra era;
        std::uint64_t number = 0;
    };

    /// \brief Time in which the store did not answer this process, and what was written in it.
    struct MissedRecords {
        /// \brief The heartbeats known at the first failure, followed by the records that were read after the last one.
        HeartbeatSpan heartbeats;
        /// \brief Removals that were read after the last failure, by their marks in `heartbeats`.
        std::map<EndpointId, std::size_t> removals;
    };

    void remove(const EndpointId &id, Time now);
    /// \brief Sets the ends of the grace periods of the entries that were removed among \a missed, in a time of length \a duration.
    StoreAbsence settle(const MissedRecords &missed, Duration duration, Time now, Duration heartbeatInterval);
    /// \brief Ends the grace periods that a time without the store has begun, but not those of a restore.
    void endGrace(Time now);
    void erase(const EndpointId &id);
    void put(const EndpointRecord &record, StoreEra era);
    /// \brief Returns whether \a record is what an older copy of the store has of an incarnation that was removed or is leaving for good.
    [[nodiscard]] bool isOutdated(const EndpointRecord &record, StoreEra era) const;

    std::map<EndpointId, EndpointRecord> endpoints_;
    std::map<EndpointId, StorePosition> positions_;
    StorePosition newestPosition_;
    std::map<EndpointId, Removed> removed_;
    std::uint64_t removals_ = 0;
    /// \brief Entries that were removed from the store and are kept until the given end of the grace period.
    std::map<EndpointId, Time> graceDeadlines_;
    bool storeLost_ = false;
    /// \brief Set from the first failure of the store until all records that were written meanwhile have been read.
    std::optional<MissedRecords> missed_;
    /// \brief Length of the last time without the store.
    Duration lastAbsence_ = Duration(0);
    /// \brief Silence of all peers in the present time without the store.
    Duration peerSilence_ = Duration(0);
    /// \brief Time up to which all records have been applied; empty before the first complete read.
    std::optional<Time> completeUpTo_;
    Time graceEnd_ = Time::min();
    /// \brief End of the grace period after the last restore.
    Time restoreGraceEnd_ = Time::min();
    std::uint64_t changeCount_ = 0;
};

} // namespace mimosatally
