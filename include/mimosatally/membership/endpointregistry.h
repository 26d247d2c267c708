#pragma once

#include <mimosatally/Serving>
#include <mimosatally/membership/storeposition.h>

#include <map>
#include <set>
#include <string>

namespace mimosatally
{

/// \brief Endpoints that register themselves in a store, as far as one process has read them.
///
/// Performs no I/O: the caller passes records with their positions and reports when the store fails, answers again or has returned from an older copy. An
/// entry that expired while the store was unreachable, or that the copy lacks, is kept until its owner has had time to register again. An older copy
/// neither takes back what is known of an incarnation nor revives one that was removed.
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

    void remove(const EndpointId &id, Time now);
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
    Time graceEnd_ = Time::min();
    std::uint64_t changeCount_ = 0;
};

} // namespace mimosatally
