#pragma once

#include "leasetable.h"

#include <vector>

namespace mimosatally
{

enum class LeaseActionKind {
    /// \brief Append the payload to acquire the lease.
    AppendAcquire,
    /// \brief Append the payload to extend the lease.
    AppendRenew,
    /// \brief The lease is held from now on.
    Held,
    /// \brief The lease is lost; orders under its epoch must stop.
    Lost,
};

/// \brief Action that the caller of LeaseHolder has to carry out.
struct LeaseAction {
    LeaseActionKind kind;
    /// \brief Record to append; only for AppendAcquire and AppendRenew.
    std::string payload;
    /// \brief Only for Held and Lost.
    Epoch epoch;
};

/// \brief Acquires and renews the lease of one scope for one process incarnation, and detects its loss.
///
/// Does no I/O: the caller appends, reads stream `authority` and passes times of its own monotonic clock. The answer to an append is not
/// reported: an append counts only when its record is read from the stream.
class LeaseHolder
{
public:
    LeaseHolder(LeaseScope scope, ProcessId process, IncarnationId incarnation, Duration ttl);

    /// \brief Checks expiry and renewal; to be called at least every ttl / 6.
    std::vector<LeaseAction> tick(Time now);

    /// \brief Applies a record that was read from stream `authority`.
    std::vector<LeaseAction> apply(Offset offset, const std::string &payload, Time now);

    /// \brief Handles a read that started at \a readStart and reached the end of the stream. A contender acquires only here: a full ttl
    /// without a record of the holder proves nothing while the log cannot be read.
    std::vector<LeaseAction> endOfStream(Time readStart, Time now);

    /// \brief Epoch for an order that is sent at \a now; empty if the lease is not held, or expired while the process was paused.
    [[nodiscard]] std::optional<Epoch> epoch(Time now) const;

    /// \brief Offset from which to read next.
    [[nodiscard]] Offset nextOffset() const;

private:
    struct HeldLease {
        Epoch epoch;
        Time expiry;
        Time lastAppend;
    };

    [[nodiscard]] LeaseAction acquire(Time now);
    [[nodiscard]] LeaseAction renew(Epoch epoch, Time now);
    [[nodiscard]] bool canAcquire(Time readStart) const;
    void handleAcquire(const AcquireRecord &record, Time now, std::vector<LeaseAction> &actions);
    void handleRenewal(const RenewRecord &record, Time now);
    void checkExpiry(Time now, std::vector<LeaseAction> &actions);

    LeaseScope scope_;
    ProcessId process_;
    IncarnationId incarnation_;
    Duration ttl_;
    LeaseTable table_;
    std::optional<HeldLease> held_;
    /// \brief Time at which this process read the last record of the current lease.
    Time lastSeen_;
    /// \brief Own appends that were not read back from the stream yet, with the time just before the append.
    std::map<RecordId, Time> pending_;
    /// \brief Time just before the last append of an acquire record that was not read back yet.
    std::optional<Time> lastAcquire_;
};

} // namespace mimosatally
