#include <mimosatally/Authority>

namespace mimosatally
{

std::string_view toString(OrderRefusal refusal)
{
    switch (refusal) {
    case OrderRefusal::OtherIncarnation:
        return "other-incarnation";
    case OrderRefusal::UnknownScope:
        return "unknown-scope";
    case OrderRefusal::Repeated:
        return "repeated";
    case OrderRefusal::Busy:
        return "busy";
    case OrderRefusal::ReadBackPending:
        return "read-back-pending";
    case OrderRefusal::AuthorityUnread:
        return "authority-unread";
    case OrderRefusal::OldEpoch:
        return "old-epoch";
    case OrderRefusal::UnknownEpoch:
        return "unknown-epoch";
    case OrderRefusal::Expired:
        return "expired";
    case OrderRefusal::LifetimeTooLong:
        return "lifetime-too-long";
    }
    return "unknown";
}

OrderGate::OrderGate(IncarnationId incarnation, std::set<LeaseScope> scopes, Time start, Duration maxLifetime)
    : incarnation_(std::move(incarnation))
    , scopes_(std::move(scopes))
    , maxLifetime_(maxLifetime)
    , earliestReadBack_(start + maxLifetime)
{
}

void OrderGate::setScopes(std::set<LeaseScope> scopes)
{
    scopes_ = std::move(scopes);
}

void OrderGate::apply(Offset offset, const std::string &payload)
{
    const auto record = table_.apply(offset, payload);
    if (!record) {
        return;
    }
    if (const auto *acquired = std::get_if<AcquireRecord>(&*record)) {
        pruneOrders(acquired->scope);
    }
}

Offset OrderGate::nextOffset() const
{
    return table_.nextOffset();
}

std::optional<OrderRefusal> OrderGate::receive(const Order &order, Time now)
{
    if (const auto refusal = check(order)) {
        return refusal;
    }
    seenOrders_.emplace(order.id, std::pair(order.scope, order.epoch));
    current_ = order;
    receivedAt_ = now;
    state_ = OrderGateState::AuthorityPending;
    return std::nullopt;
}

std::optional<OrderRefusal> OrderGate::check(const Order &order) const
{
    if (order.agentIncarnation != incarnation_) {
        return OrderRefusal::OtherIncarnation;
    }
    if (!scopes_.contains(order.scope)) {
        return OrderRefusal::UnknownScope;
    }
    if (order.lifetime > maxLifetime_) {
        return OrderRefusal::LifetimeTooLong;
    }
    if (order.epoch < highestEpoch(order.scope)) {
        return OrderRefusal::OldEpoch;
    }
    if (seenOrders_.contains(order.id)) {
        return OrderRefusal::Repeated;
    }
    if (state_ == OrderGateState::ReadBackPending) {
        return OrderRefusal::ReadBackPending;
    }
    if (state_ != OrderGateState::Ready) {
        return OrderRefusal::Busy;
    }
    return std::nullopt;
}

std::optional<OrderRefusal> OrderGate::authorize(const OrderId &order, Time readStart, Time now)
{
    if (!isAuthorizing(order) || !current_) {
        return OrderRefusal::ReadBackPending;
    }
    std::optional<OrderRefusal> refusal = checkEpoch(*current_);
    if (readStart < receivedAt_) {
        refusal = OrderRefusal::AuthorityUnread;
    } else if (now >= receivedAt_ + current_->lifetime) {
        refusal = OrderRefusal::Expired;
    }
    if (refusal) {
        current_.reset();
        state_ = OrderGateState::Ready;
        return refusal;
    }
    invariant(current_->epoch == highestEpoch(current_->scope), "an order that is written has the newest epoch of its scope");
    state_ = OrderGateState::Writing;
    return std::nullopt;
}

bool OrderGate::isAuthorizing(const OrderId &order) const
{
    return state_ == OrderGateState::AuthorityPending && current_ && current_->id == order;
}

std::optional<OrderRefusal> OrderGate::checkEpoch(const Order &order) const
{
    const Epoch highest = highestEpoch(order.scope);
    if (order.epoch < highest) {
        return OrderRefusal::OldEpoch;
    }
    if (order.epoch > highest) {
        return OrderRefusal::UnknownEpoch;
    }
    return std::nullopt;
}

OrderRefusal OrderGate::abandon(const OrderId &order)
{
    if (!isAuthorizing(order)) {
        return OrderRefusal::ReadBackPending;
    }
    current_.reset();
    state_ = OrderGateState::Ready;
    return OrderRefusal::AuthorityUnread;
}

void OrderGate::finishWrite(bool answered, Time now)
{
    // handleEndpointRestart() may have ended the write already.
    if (state_ != OrderGateState::Writing || !current_) {
        return;
    }
    requireReadBack(answered ? now : std::max(now, receivedAt_ + current_->lifetime));
}

void OrderGate::handleEndpointRestart(Time now)
{
    // An order that is not written yet is dropped as well: it was meant for the state before the restart.
    requireReadBack(now);
}

void OrderGate::requireReadBack(Time earliest)
{
    current_.reset();
    earliestReadBack_ = earliest;
    state_ = OrderGateState::ReadBackPending;
}

bool OrderGate::finishReadBack(Time readStart)
{
    if (state_ == OrderGateState::ReadBackPending && readStart >= earliestReadBack_) {
        state_ = OrderGateState::Ready;
    }
    return state_ == OrderGateState::Ready;
}

OrderGateState OrderGate::state() const
{
    return state_;
}

const std::optional<Order> &OrderGate::current() const
{
    return current_;
}

Duration OrderGate::remainingLifetime(Time now) const
{
    return current_ ? std::max(Duration(0), receivedAt_ + current_->lifetime - now) : Duration(0);
}

Epoch OrderGate::highestEpoch(const LeaseScope &scope) const
{
    const auto lease = table_.find(scope);
    return lease ? lease->epoch : Epoch(-1);
}

void OrderGate::pruneOrders(const LeaseScope &scope)
{
    const Epoch highest = highestEpoch(scope);
    std::erase_if(seenOrders_, [&](const auto &seen) {
        return seen.second.first == scope && seen.second.second < highest;
    });
}

} // namespace mimosatally
