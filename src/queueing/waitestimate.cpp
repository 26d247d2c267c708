#include "multiplydivide.h"
#include "schedulerimpl.h"

#include <algorithm>

namespace mimosatally
{

using internal::CustomerQueue;
using internal::FULL_SHARE;
using internal::multiplyDivide;
using internal::WaitingRequest;

Scheduler::Impl::Weight Scheduler::Impl::weightUntilEntitled(const CustomerQueue &customer, Weight ownWeight) const
{
    const Weight tag = customer.waiting.empty() ? std::max(customer.shareTag, totalService) : customer.shareTag;
    const Weight entitled = std::max<Weight>(tag + customer.virtualTimeOf(ownWeight) - totalService, 0);
    const bool isWaiting = !customer.waiting.empty();
    if (!order.empty() && customer.priority < order.topPriority()) {
        return entitled;
    }
    // The highest waiting priority class also receives the shares of the customers that are not waiting.
    const std::int64_t waitingShares = order.waitingShares() + (isWaiting ? 0 : customer.share);
    const std::int64_t classShares = order.classShares(customer.priority) + (isWaiting ? 0 : customer.share);
    const std::int64_t unused = std::max<std::int64_t>(FULL_SHARE - waitingShares, 0);
    const std::int64_t rate = customer.share + unused * customer.share / std::max<std::int64_t>(classShares, 1);
    return multiplyDivide(entitled, customer.share, rate);
}

Scheduler::Impl::Weight Scheduler::Impl::weightAhead(const CustomerQueue &customer, Weight ownWeight, Time deadline) const
{
    const Weight othersAhead = order.owedBefore(customers, totalService, deadline);
    // The customer's own earlier requests are always served first.
    const Weight ahead = std::max(weightUntilEntitled(customer, ownWeight) + othersAhead, ownWeight);
    return std::min(waitingWeight, ahead);
}

std::int64_t Scheduler::Impl::microsAhead(const CustomerQueue &customer, Weight ahead, Weight ownWeight) const
{
    // Customers differ in engine time per weighted token, so the two parts are converted separately.
    const Weight own = std::min(ahead, ownWeight);
    const Weight othersWeight = std::max<Weight>(waitingWeight - customer.waitingWeight, 1);
    const std::int64_t othersMicros = multiplyDivide(ahead - own, waitingMicros - customer.waitingMicros, othersWeight);
    const std::int64_t ownMicros = multiplyDivide(own, customer.waitingMicros, customer.waitingWeight);
    return std::min(othersMicros + ownMicros, waitingMicros);
}

Duration Scheduler::Impl::expectedWait(Position position, Weight ownWeight, Time deadline) const
{
    return customers[position].waitCorrection.correct(queueWait(position, ownWeight, deadline));
}

Duration Scheduler::Impl::queueWait(Position position, Weight ownWeight, Time deadline) const
{
    if (running.size() < static_cast<std::size_t>(capacity.maxConcurrentRequests) && waiting.empty()) {
        return Duration(0);
    }
    const Weight ahead = weightAhead(customers[position], ownWeight, deadline);
    const std::int64_t aheadMicros = microsAhead(customers[position], ahead, ownWeight);
    // A running request completes about once per mean engine time of the running requests.
    const std::int64_t slotMicros = runningMicros / static_cast<std::int64_t>(std::max<std::size_t>(running.size(), 1));
    return speed.expectedDuration(aheadMicros + slotMicros);
}

Refusal Scheduler::Impl::makeRefusal(const WaitingRequest &request, RefusalReason reason, Duration wait, Time now) const
{
    // Once the queue has drained by the excess, a request with the same longest wait is accepted.
    const Duration allowed = std::max(request.request.startDeadline - now, Duration(0));
    return Refusal {request.request.id, reason, std::max(wait - allowed, Duration(1))};
}

} // namespace mimosatally
