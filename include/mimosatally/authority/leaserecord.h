#pragma once

#include <mimosatally/Core>

#include <string>
#include <variant>

namespace mimosatally
{

/// \brief Subject of a lease, for example the roles of a model's engines in one region.
using LeaseScope = StrongId<struct LeaseScopeTag>;

/// \brief Acquires the lease of a scope; the offset of the record is the lease's epoch.
struct AcquireRecord {
    RecordId id;
    LeaseScope scope;
    ProcessId holder;
    IncarnationId incarnation;
    /// \brief Lifetime of the lease. The holder counts it from just before its append, all others from when they read the record.
    Duration ttl = Duration(0);
};

/// \brief Extends the lease with \a epoch if that is still the newest epoch of the scope.
struct RenewRecord {
    RecordId id;
    LeaseScope scope;
    Epoch epoch;
};

/// \brief Record of stream `authority`.
using LeaseRecord = std::variant<AcquireRecord, RenewRecord>;

/// \brief JSON text of a record. \sa parseLeaseRecord
std::string toJson(const LeaseRecord &record);

/// \throws MalformedInputError
LeaseRecord parseLeaseRecord(const std::string &payload);

} // namespace mimosatally
