#include "schedulerimpl.h"

#include <algorithm>

namespace mimosatally
{

using internal::CustomerQueue;
using internal::FULL_SHARE;
using internal::WaitingRequest;

namespace
{
/// \brief Maximum number of customers whose queue one call of expire() reviews.
constexpr std::size_t MAX_REVIEWED_CUSTOMERS = 4;
/// \brief A waiting request is infeasible only if its expected start is late by more than the expected wait divided by this.
constexpr int INFEASIBLE_MARGIN_DIVISOR = 4;
/// \brief Time for which the estimate must stay infeasible before requests are refused: single estimates vary by about half of the wait.
constexpr Duration MIN_INFEASIBLE_TIME = Duration(500);
/// \brief A customer that is more than this many rounds behind its share is served before the earliest deadline.
constexpr std::int64_t MAX_LAG_ROUNDS = 1;
} // namespace

Scheduler::Impl::Impl(EndpointCapacity endpointCapacity, const std::vector<Contract> &contracts, TokenCosts tokenCosts)
    : capacity(endpointCapacity)
    , costs(tokenCosts)
    , speed(endpointCapacity)
{
    updateRoundWeight();
    replaceCustomers(contracts);
}

void Scheduler::Impl::updateRoundWeight()
{
    const Weight prefill = capacity.prefillTokensPerSecond * costs.promptToken;
    const Weight decode = capacity.decodeTokensPerSecond * costs.outputToken;
    roundWeight = std::max<Weight>((prefill + decode) / 2, 1);
}

Scheduler::Impl::Weight Scheduler::Impl::weightOf(TokenUsage usage) const
{
    const Weight weight = usage.prompt.count() * costs.promptToken + usage.output.count() * costs.outputToken;
    return std::clamp<Weight>(weight, 1, internal::MAX_REQUEST_WEIGHT);
}

std::optional<Scheduler::Impl::Position> Scheduler::Impl::findCustomer(const CustomerId &customer) const
{
    const auto found = std::lower_bound(customers.begin(), customers.end(), customer, [](const CustomerQueue &queue, const CustomerId &id) {
        return queue.id < id;
    });
    if (found == customers.end() || found->id != customer) {
        return std::nullopt;
    }
    return static_cast<Position>(found - customers.begin());
}

void Scheduler::Impl::removeFromOrder(Position position)
{
    if (!customers[position].waiting.empty()) {
        order.erase(position, customers[position]);
    }
}

void Scheduler::Impl::addToOrder(Position position)
{
    if (!customers[position].waiting.empty()) {
        order.insert(position, customers[position], totalService);
    }
}

void Scheduler::Impl::append(Position position, WaitingRequest request)
{
    CustomerQueue &customer = customers[position];
    removeFromOrder(position);
    if (customer.waiting.empty()) {
        // Idle time earns no credit: a customer that was idle starts at the current virtual times.
        customer.shareTag = std::max(customer.shareTag, totalService);
        customer.excessTag = std::max(customer.excessTag, excessVirtualTime[customer.priority]);
        ++customer.busyPeriod;
    }
    request.arrivalNumber = nextArrivalNumber++;
    customer.waitingWeight += request.weight;
    customer.waitingMicros += request.engineMicros;
    waitingWeight += request.weight;
    waitingMicros += request.engineMicros;
    waitingTokens += request.request.expected.prompt + request.request.expected.output;
    deadlines.emplace(std::pair(request.request.startDeadline, request.arrivalNumber), request.request.id);
    const RequestId id = request.request.id;
    const auto inserted = customer.waiting.insert(customer.waiting.end(), std::move(request));
    waiting.emplace(id, WaitingEntry {position, inserted});
    addToOrder(position);
}

WaitingRequest Scheduler::Impl::remove(const WaitingEntry &entry)
{
    removeFromOrder(entry.customer);
    CustomerQueue &customer = customers[entry.customer];
    WaitingRequest request = std::move(*entry.request);
    customer.waiting.erase(entry.request);
    customer.waitingWeight -= request.weight;
    customer.waitingMicros -= request.engineMicros;
    waitingWeight -= request.weight;
    waitingMicros -= request.engineMicros;
    waitingTokens -= request.request.expected.prompt + request.request.expected.output;
    deadlines.erase({request.request.startDeadline, request.arrivalNumber});
    waiting.erase(request.request.id);
    addToOrder(entry.customer);
    return request;
}

void Scheduler::Impl::dropOverdue(Time now)
{
    while (!deadlines.empty() && deadlines.begin()->first.first < now) {
        const WaitingEntry entry = waiting.at(deadlines.begin()->second);
        CustomerQueue &customer = customers[entry.customer];
        customer.waitCorrection.record(entry.request->queueWait, now - entry.request->enqueuedAt);
        const Duration wait = expectedWait(entry.customer, customer.waitingWeight, entry.request->request.startDeadline);
        pendingRefusals.push_back(makeRefusal(remove(entry), RefusalReason::DeadlinePassed, wait, now));
    }
}

void Scheduler::Impl::dropInfeasible(Time now)
{
    const std::size_t reviewed = std::min(MAX_REVIEWED_CUSTOMERS, customers.size());
    for (std::size_t i = 0; i < reviewed; ++i) {
        lastReviewed = (lastReviewed + 1) % customers.size();
        dropInfeasibleTail(lastReviewed, now);
    }
}

bool Scheduler::Impl::isTailInfeasible(Position position, Time now) const
{
    const CustomerQueue &customer = customers[position];
    if (customer.waiting.empty()) {
        return false;
    }
    const WaitingRequest &last = customer.waiting.back();
    const Duration wait = expectedWait(position, customer.waitingWeight - last.weight, last.request.startDeadline);
    return now + wait - wait / INFEASIBLE_MARGIN_DIVISOR > last.request.startDeadline;
}

void Scheduler::Impl::dropInfeasibleTail(Position position, Time now)
{
    CustomerQueue &customer = customers[position];
    if (!isTailInfeasible(position, now)) {
        customer.infeasibleSince.reset();
        return;
    }
    if (!customer.infeasibleSince) {
        customer.infeasibleSince = now;
    }
    if (now - *customer.infeasibleSince < MIN_INFEASIBLE_TIME) {
        return;
    }
    while (isTailInfeasible(position, now)) {
        const WaitingRequest &last = customer.waiting.back();
        const Duration wait = expectedWait(position, customer.waitingWeight - last.weight, last.request.startDeadline);
        const WaitingEntry entry = waiting.at(last.request.id);
        pendingRefusals.push_back(makeRefusal(remove(entry), RefusalReason::WaitTooLong, wait, now));
    }
    customer.infeasibleSince.reset();
}

Scheduler::Impl::Position Scheduler::Impl::selectCustomer(bool &withinShare)
{
    withinShare = true;
    if (const auto behind = order.furthestBehind(MAX_LAG_ROUNDS * roundWeight, totalService)) {
        return *behind;
    }
    if (const auto below = order.earliestBelowShare(customers, totalService)) {
        return *below;
    }
    withinShare = false;
    return order.nextForExcess();
}

void Scheduler::Impl::charge(Position position, Weight weight, bool withinShare)
{
    CustomerQueue &customer = customers[position];
    if (withinShare) {
        customer.shareTag += customer.virtualTimeOf(weight);
    } else {
        excessVirtualTime[customer.priority] = customer.excessTag;
        customer.excessTag += customer.virtualTimeOf(weight);
    }
    customer.served += weight;
    totalService += weight;
}

void Scheduler::Impl::correct(const RunningRequest &request, Weight actual)
{
    const Weight difference = actual - request.weight;
    if (request.customer == REMOVED_CUSTOMER) {
        totalService += difference;
        return;
    }
    CustomerQueue &customer = customers[request.customer];
    removeFromOrder(request.customer);
    customer.served += difference;
    totalService += difference;
    // The tags were raised to the virtual time when the customer became busy again, which cancels an overcharge from before.
    if (difference > 0 || request.busyPeriod == customer.busyPeriod) {
        Weight &tag = request.withinShare ? customer.shareTag : customer.excessTag;
        tag += customer.virtualTimeOf(difference);
    }
    addToOrder(request.customer);
}

} // namespace mimosatally
