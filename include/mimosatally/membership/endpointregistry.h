#pragma once

#include <mimosatally/Serving>

#include <map>
#include <string>

namespace mimosatally
{

/// \brief Endpoints that announce themselves in a store, as one process has read them.
///
/// A core: the caller passes records with their offsets and tells when the store fails and answers again. An entry that lapsed while
/// the store was away is kept until its owner had time to write it again.
class EndpointRegistry
{
public:
    /// \brief A living endpoint is back in the store within this time of the store's return.
    static constexpr Duration REREGISTRATION_TIME = Duration(2000);

    /// \brief Applies one record; older offsets than the key's last one are ignored.
    /// \param record nothing if the entry was removed or cannot be read.
    void apply(const EndpointId &id, Offset offset, const std::optional<EndpointRecord> &record, Time now);

    /// \brief Removes the entries that a snapshot of the whole store does not have.
    /// \param snapshotEnd entries that were written at this offset or later are newer than the snapshot.
    void retain(const std::map<EndpointId, Offset> &snapshot, Offset snapshotEnd, Time now);

    /// \brief A call to the store failed.
    void storeLost();

    /// \brief A call to the store was answered.
    void storeAnswered(Time now);

    /// \brief Removes entries whose time to register again is over.
    void expire(Time now);

    /// \brief All endpoints that are not gone, with those that are leaving.
    [[nodiscard]] const std::map<EndpointId, EndpointRecord> &endpoints() const;

    /// \brief Grows with every change that matters for placement.
    [[nodiscard]] std::uint64_t changes() const;

private:
    void remove(const EndpointId &id, Time now);
    void put(const EndpointRecord &record);

    std::map<EndpointId, EndpointRecord> endpoints_;
    std::map<EndpointId, Offset> offsets_;
    /// \brief Removed entries that may come back, with the end of their time.
    std::map<EndpointId, Time> lapsed_;
    bool storeLost_ = false;
    Time graceUntil_ = Time::min();
    std::uint64_t changes_ = 0;
};

} // namespace mimosatally
