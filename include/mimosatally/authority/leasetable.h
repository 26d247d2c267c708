#pragma once

#include "leaserecord.h"

#include <map>
#include <optional>
#include <set>

namespace mimosatally
{

/// \brief Newest lease of a scope.
struct LeaseState {
    Epoch epoch;
    ProcessId holder;
    IncarnationId incarnation;
    Duration ttl = Duration(0);
    /// \brief Offset of the last record that acquired or extended the lease.
    Offset lastRecord;
};

/// \brief Newest lease of each scope, derived from the records of stream `authority`. Every reader of the same records derives the same state.
class LeaseTable
{
public:
    /// \brief Applies the record at \a offset. \return the record if it had an effect.
    ///
    /// Malformed records, records at or below the last applied offset, and records with an id that was seen before have no effect.
    std::optional<LeaseRecord> apply(Offset offset, const std::string &payload);

    /// \brief Offset from which to read next.
    [[nodiscard]] Offset nextOffset() const;

    /// \brief The newest lease of \a scope; empty if it was never acquired.
    [[nodiscard]] std::optional<LeaseState> find(const LeaseScope &scope) const;

private:
    bool applyRecord(Offset offset, const AcquireRecord &record);
    bool applyRecord(Offset offset, const RenewRecord &record);

    Offset nextOffset_;
    std::map<LeaseScope, LeaseState> leases_;
    std::map<RecordId, Offset> seenIds_;
};

} // namespace mimosatally
