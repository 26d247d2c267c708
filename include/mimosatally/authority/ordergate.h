#pragma once

#include "leasetable.h"

#include <set>

namespace mimosatally
{

enum class OrderKind {
    Drain,
    Withdraw,
    LoadModel,
    UnloadModel,
    LoadAdapter,
    UnloadAdapter,
    ChangeRole,
};

using OrderId = StrongId<struct OrderTag>;

/// \brief Order for the endpoint of one agent, sent by the holder of its scope's lease.
struct Order {
    OrderId id;
    OrderKind kind = OrderKind::Drain;
    std::string argument;
    LeaseScope scope;
    Epoch epoch;
    IncarnationId agentIncarnation;
    /// \brief Counted by the agent from the receipt of the order.
    Duration lifetime = Duration(0);
};

enum class OrderRefusal {
    OtherIncarnation,
    UnknownScope,
    /// \brief The id was received before.
    Repeated,
    /// \brief Another order is being authorized or carried out.
    Busy,
    /// \brief The state of the endpoint must be read back first.
    ReadBackPending,
    /// \brief Stream `authority` was not read to its end after the receipt of the order.
    AuthorityUnread,
    /// \brief A newer epoch of the scope is known.
    OldEpoch,
    /// \brief The stream has no lease with this epoch.
    UnknownEpoch,
    Expired,
    /// \brief The order's lifetime is longer than the gate admits.
    LifetimeTooLong,
};

/// \brief Name of the reason in records and verdicts, for example `old-epoch`.
std::string_view toString(OrderRefusal refusal);

enum class OrderGateState {
    /// \brief The state of the endpoint is unknown; also the initial state, since an order of a previous incarnation may be in progress.
    ReadBackPending,
    /// \brief Ready for an order.
    Ready,
    /// \brief An order was received; stream `authority` is read before it is authorized.
    AuthorityPending,
    /// \brief The order is being written to the endpoint.
    Writing,
};

/// \brief Agent side of fenced orders: admits one order at a time, only under the newest epoch, and only after a read-back of the
/// endpoint's state.
///
/// Sequence: receive(); read stream `authority` to its end with apply(); authorize(); write the order to the endpoint in the same turn of
/// the event loop; finishWrite(); read the endpoint's state; finishReadBack(). It does not rely on the endpoint's own check of fencing tokens.
///
/// The agent must bound the write by remainingLifetime(). Not covered: a write that takes effect after the order's lifetime.
class OrderGate
{
public:
    /// \param start start of the agent. An order that a previous incarnation wrote before it ended can take effect for \a maxLifetime,
    /// so a read-back counts only after that.
    /// \param maxLifetime longest order lifetime that the gate admits.
    OrderGate(IncarnationId incarnation, std::set<LeaseScope> scopes, Time start, Duration maxLifetime);

    /// \brief Replaces the scopes of the endpoint.
    void setScopes(std::set<LeaseScope> scopes);

    /// \brief Applies a record of stream `authority`.
    void apply(Offset offset, const std::string &payload);

    /// \brief Offset of stream `authority` from which to read next.
    [[nodiscard]] Offset nextOffset() const;

    /// \brief Receives an order. \return the refusal; empty if stream `authority` is to be read now.
    std::optional<OrderRefusal> receive(const Order &order, Time now);

    /// \brief Decides on the received order after a read of stream `authority` that started at \a readStart reached its end.
    /// \return the refusal; empty if the order is to be written to the endpoint at once. ReadBackPending if \a order is no longer the
    /// one being authorized: while the stream is read, the endpoint may restart and be read back, and the next order may be received.
    std::optional<OrderRefusal> authorize(const OrderId &order, Time readStart, Time now);

    /// \brief Refuses the received order because stream `authority` could not be read.
    OrderRefusal abandon(const OrderId &order);

    /// \brief Records the end of the write. \param answered true if the endpoint answered it; without an answer it may still take effect.
    void finishWrite(bool answered, Time now);

    /// \brief Records a crash or restart of the endpoint: orders written to it before have ended, and its state is unknown.
    void handleEndpointRestart(Time now);

    /// \brief Records that the endpoint's state was read by a request that started at \a readStart.
    /// \return true if orders are admitted now. After a write without an answer a read-back counts only once the order's lifetime is over.
    bool finishReadBack(Time readStart);

    [[nodiscard]] OrderGateState state() const;

    /// \brief Order being authorized or carried out.
    [[nodiscard]] const std::optional<Order> &current() const;

    /// \brief Time remaining for the write of the current order; zero if there is none.
    [[nodiscard]] Duration remainingLifetime(Time now) const;

    /// \brief Newest known epoch of a scope; -1 if there is none.
    [[nodiscard]] Epoch highestEpoch(const LeaseScope &scope) const;

private:
    [[nodiscard]] bool isAuthorizing(const OrderId &order) const;
    [[nodiscard]] std::optional<OrderRefusal> check(const Order &order) const;
    [[nodiscard]] std::optional<OrderRefusal> checkEpoch(const Order &order) const;
    void pruneOrders(const LeaseScope &scope);
    void requireReadBack(Time earliest);

    IncarnationId incarnation_;
    std::set<LeaseScope> scopes_;
    Duration maxLifetime_;
    LeaseTable table_;
    OrderGateState state_ = OrderGateState::ReadBackPending;
    std::optional<Order> current_;
    Time receivedAt_;
    /// \brief Earliest start of a read-back that counts.
    Time earliestReadBack_;
    /// \brief Received orders of the newest epoch of each scope, to refuse repeated ones; older orders are refused by their epoch.
    std::map<OrderId, std::pair<LeaseScope, Epoch>> seenOrders_;
};

} // namespace mimosatally
