#pragma once

#include "leasetable.h"

#include <vector>

namespace mimosatally
{

enum class LeaseActionKind {
    /// \brief Append the payload, which acquires the lease.
    AppendAcquire,
    /// \brief Append the payload, which extends the lease.
    AppendRenew,
    /// \brief The lease is held from now on.
    Held,
    /// \brief The lease is lost; orders under its epoch must stop.
    Lost,
};

/// \brief What the caller of LeaseHolder has to do.
struct LeaseAction {
    LeaseActionKind kind;
    /// \brief Only for the two appends.
    std::string payload;
    /// \brief Only for Held and Lost.
    Epoch epoch;
};

/// \brief Acquires, renews and gives up the lease of one scope for one process incarnation.
///
/// A core: the caller appends, reads stream `authority` and passes times of its own monotonic clock. A lost append answer needs no
/// event; the record is seen in the stream or it is not.
class LeaseHolder
{
public:
    LeaseHolder(LeaseScope scope, ProcessId process, IncarnationId incarnation, Duration ttl);

    /// \brief Checks expiry and renewal; to be called at least every ttl / 6.
    std::vector<LeaseAction> tick(Time now);

    /// \brief A record of stream `authority` was read.
    std::vector<LeaseAction> apply(Offset offset, const std::string &payload, Time now);

    /// \brief A read that started at \a readStart reached the end of the stream. A contender acquires only here: a full ttl without a
    /// record of the holder means nothing while the log cannot be read.
    std::vector<LeaseAction> endOfStream(Time readStart, Time now);

    /// \brief Epoch for an order that is sent at \a now; nothing if the lease is not held, or expired during a pause.
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
    [[nodiscard]] bool mayAcquire(Time readStart) const;
    void applied(const AcquireRecord &record, Time now, std::vector<LeaseAction> &actions);
    void applied(const RenewRecord &record, Time now);
    void loseIfExpired(Time now, std::vector<LeaseAction> &actions);

    LeaseScope scope_;
    ProcessId process_;
    IncarnationId incarnation_;
    Duration ttl_;
    LeaseTable table_;
    std::optional<HeldLease> held_;
    /// \brief When this process saw the last record of the current lease.
    Time lastSeen_;
    /// \brief Own appends that were not seen in the stream yet, with the time before the append.
    std::map<RecordId, Time> pending_;
    std::optional<Time> lastAcquire_;
};

} // namespace mimosatally
