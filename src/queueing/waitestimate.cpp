#include "schedulerimpl.h"

#include <algorithm>

namespace mimosatally
{

using internal::CustomerQueue;
using internal::FULL_SHARE;
using internal::WaitingRequest;

Scheduler::Impl::Weight Scheduler::Impl::untilServedByShare(const CustomerQueue &customer, Weight ownWeight) const
{
    const Weight tag = customer.waiting.empty() ? std::max(customer.shareTag, totalService) : customer.shareTag;
    const Weight entitled = std::max<Weight>(tag + customer.atShare(ownWeight) - totalService, 0);
    const bool waits = !customer.waiting.empty();
    if (!order.empty() && customer.priority < order.topPriority()) {
        return entitled;
    }
    // The highest class that waits also receives the shares of those that do not wait.
    const std::int64_t waitingShares = order.waitingShares() + (waits ? 0 : customer.share);
    const std::int64_t classShares = order.classShares(customer.priority) + (waits ? 0 : customer.share);
    const std::int64_t unused = std::max<std::int64_t>(FULL_SHARE - waitingShares, 0);
    const std::int64_t rate = customer.share + unused * customer.share / std::max<std::int64_t>(classShares, 1);
    return static_cast<Weight>(static_cast<double>(entitled) * static_cast<double>(customer.share) / static_cast<double>(std::max<std::int64_t>(rate, 1)));
}

Scheduler::Impl::Weight Scheduler::Impl::weightAhead(const CustomerQueue &customer, Weight ownWeight, Time deadline) const
{
    const Weight others = order.owedBefore(customers, totalService, deadline);
    return std::min(waitingWeight, untilServedByShare(customer, ownWeight) + others);
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
    const Weight weight = std::max<Weight>(waitingWeight + runningWeight, 1);
    const std::int64_t micros = waitingMicros + runningMicros;
    const auto aheadMicros = static_cast<std::int64_t>(static_cast<double>(ahead) * static_cast<double>(micros) / static_cast<double>(weight));
    // A running request ends about every mean engine time of the running ones.
    const std::int64_t slotMicros = runningMicros / static_cast<std::int64_t>(std::max<std::size_t>(running.size(), 1));
    return speed.expected(aheadMicros + slotMicros);
}

Refusal Scheduler::Impl::refuseWaiting(const WaitingRequest &request, RefusalReason reason, Duration wait, Time now) const
{
    // Once the queue has drained by the excess, a request with the same longest wait is accepted.
    const Duration allowed = std::max(request.request.startDeadline - now, Duration(0));
    return Refusal {request.request.id, reason, std::max(wait - allowed, Duration(1))};
}

} // namespace mimosatally
