#include "customerqueue.h"

namespace mimosatally::internal
{

void CustomerOrder::insert(Position position, const CustomerQueue &customer, Weight totalService)
{
    byUnused_.emplace(UnusedKey {-customer.priority, customer.unusedTag}, position);
    if (customer.share > 0) {
        byShareTag_.emplace(customer.shareTag, position);
        if (customer.shareTag <= totalService) {
            belowShare_.emplace(customer.headDeadline(), Tag(customer.shareTag, position));
        } else {
            aboveShare_.emplace(customer.shareTag, position);
        }
    }
    waitingShares_ += customer.share;
    classShares_[customer.priority] += customer.share;
}

void CustomerOrder::erase(Position position, const CustomerQueue &customer)
{
    byShareTag_.erase({customer.shareTag, position});
    byUnused_.erase({UnusedKey {-customer.priority, customer.unusedTag}, position});
    belowShare_.erase({customer.headDeadline(), Tag(customer.shareTag, position)});
    aboveShare_.erase({customer.shareTag, position});
    waitingShares_ -= customer.share;
    classShares_[customer.priority] -= customer.share;
}

void CustomerOrder::clear()
{
    *this = CustomerOrder();
}

void CustomerOrder::advance(const std::vector<CustomerQueue> &customers, Weight totalService)
{
    while (!aboveShare_.empty() && aboveShare_.begin()->first <= totalService) {
        const Position position = aboveShare_.begin()->second;
        aboveShare_.erase(aboveShare_.begin());
        belowShare_.emplace(customers[position].headDeadline(), Tag(customers[position].shareTag, position));
    }
}

std::optional<CustomerOrder::Position> CustomerOrder::earliestBelowShare(const std::vector<CustomerQueue> &customers, Weight totalService)
{
    advance(customers, totalService);
    while (!belowShare_.empty()) {
        const Position position = belowShare_.begin()->second.second;
        if (customers[position].shareTag <= totalService) {
            return position;
        }
        // A refund has lowered the total service since the customer was sorted in.
        belowShare_.erase(belowShare_.begin());
        aboveShare_.emplace(customers[position].shareTag, position);
    }
    return std::nullopt;
}

std::int64_t CustomerOrder::classShares(int priority) const
{
    const auto found = classShares_.find(priority);
    return found == classShares_.end() ? 0 : found->second;
}

} // namespace mimosatally::internal
