#include "customerqueue.h"

#include <algorithm>

namespace mimosatally::internal
{

namespace
{
/// \brief Maximum number of customers that owedBefore() examines, so that its cost does not grow with their number.
constexpr std::size_t MAX_EXAMINED_CUSTOMERS = 16;
/// \brief Bounds the correction in both directions: beyond it the queue has changed too much for earlier waits to be representative.
constexpr std::int64_t MAX_CORRECTION_FACTOR = 4;
} // namespace

void WaitCorrection::record(Duration expected, Duration actual)
{
    expectedSum_ += expected.count();
    actualSum_ += actual.count();
    if (expectedSum_ > WINDOW_SUM || actualSum_ > WINDOW_SUM) {
        expectedSum_ = std::max<std::int64_t>(expectedSum_ / 2, 1);
        actualSum_ = std::max<std::int64_t>(actualSum_ / 2, 1);
    }
}

Duration WaitCorrection::correct(Duration expected) const
{
    const std::int64_t corrected = expected.count() * actualSum_ / expectedSum_;
    return Duration(std::clamp(corrected, expected.count() / MAX_CORRECTION_FACTOR, expected.count() * MAX_CORRECTION_FACTOR));
}

void CustomerOrder::insert(Position position, const CustomerQueue &customer, Weight totalService)
{
    byExcessTag_.emplace(ExcessKey {-customer.priority, customer.excessTag}, position);
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
    byExcessTag_.erase({ExcessKey {-customer.priority, customer.excessTag}, position});
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
        // A refund has lowered the total service since the customer was inserted.
        belowShare_.erase(belowShare_.begin());
        aboveShare_.emplace(customers[position].shareTag, position);
    }
    return std::nullopt;
}

Weight CustomerOrder::owedBefore(const std::vector<CustomerQueue> &customers, Weight totalService, Time deadline) const
{
    Weight owed = 0;
    std::size_t examined = 0;
    for (auto entry = belowShare_.begin(); entry != belowShare_.end() && entry->first < deadline; ++entry) {
        const CustomerQueue &customer = customers[entry->second.second];
        const Weight behind = std::max<Weight>(totalService - customer.shareTag, 0);
        const Weight share = multiplyDivide(behind, customer.share, FULL_SHARE) + customer.waiting.front().weight;
        owed += std::min(share, customer.waitingWeight);
        if (++examined == MAX_EXAMINED_CUSTOMERS) {
            // The remaining customers are assumed to be like the examined ones.
            return owed * static_cast<Weight>(belowShare_.size()) / static_cast<Weight>(MAX_EXAMINED_CUSTOMERS) / 2;
        }
    }
    return owed;
}

std::int64_t CustomerOrder::classShares(int priority) const
{
    const auto found = classShares_.find(priority);
    return found == classShares_.end() ? 0 : found->second;
}

} // namespace mimosatally::internal
