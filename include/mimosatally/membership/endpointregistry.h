#pragma once

#include <mimosatally/Serving>

#include <map>
#include <string>

namespace mimosatally
{

/// \brief Endpoints that register themselves in a store, as far as one process has read them.
///
/// Performs no I/O: the caller passes records with their offsets and reports when the store fails and when it answers again. An entry
/// that expired while the store was unreachable is kept until its owner has had time to register again.
class EndpointRegistry
{
public:
    /// \brief Grace period after the store answers again, in which a live endpoint registers again.
    static constexpr Duration REREGISTRATION_TIME = Duration(2000);

    /// \brief Applies one record. It is ignored unless its offset is greater than the last one of the same endpoint.
    /// \param record empty if the entry was removed or cannot be read.
    void apply(const EndpointId &id, Offset offset, const std::optional<EndpointRecord> &record, Time now);

    /// \brief Removes the entries that are missing from a snapshot of the whole store.
    /// \param snapshotEnd entries that were written at this offset or later are newer than the snapshot and are kept.
    void retain(const std::map<EndpointId, Offset> &snapshot, Offset snapshotEnd, Time now);

    /// \brief Records that a call to the store failed.
    void recordStoreFailure();

    /// \brief Records that the store answered. The first answer after a failure starts the grace period.
    void recordStoreAnswer(Time now);

    /// \brief Removes entries that have not been registered again by the end of the grace period.
    void expire(Time now);

    /// \brief Returns all registered endpoints, including those that are leaving.
    [[nodiscard]] const std::map<EndpointId, EndpointRecord> &endpoints() const;

    /// \brief Returns a counter that grows with every change that affects placement.
    [[nodiscard]] std::uint64_t changeCount() const;

private:
    void remove(const EndpointId &id, Time now);
    void put(const EndpointRecord &record);

    std::map<EndpointId, EndpointRecord> endpoints_;
    std::map<EndpointId, Offset> offsets_;
    /// \brief Entries that were removed from the store and are kept until the given end of the grace period.
    std::map<EndpointId, Time> graceDeadlines_;
    bool storeLost_ = false;
    Time graceEnd_ = Time::min();
    std::uint64_t changeCount_ = 0;
};

} // namespace mimosatally
