#include "schedulerimpl.h"

#include <algorithm>

namespace mimosatally
{

using internal::CustomerQueue;
using internal::FULL_SHARE;
using internal::WaitingRequest;

namespace
{
/// \brief Customers whose queue is reviewed by one call of expire().
constexpr std::size_t REVIEWED_CUSTOMERS = 4;
/// \brief A waiting request is given up only if its expected start is late by more than this part of the expected wait.
constexpr int GIVE_UP_MARGIN_DIVISOR = 4;
/// \brief The expectation must stay that bad for this long: single expectations vary by about half of the wait.
constexpr Duration GIVE_UP_AFTER = Duration(500);
/// \brief A customer that is this many rounds behind its share goes before the earliest deadline.
constexpr std::int64_t LAG_ROUNDS = 1;
} // namespace

Scheduler::Impl::Impl(EndpointCapacity endpointCapacity, const std::vector<Contract> &contracts, TokenCosts tokenCosts)
    : capacity(endpointCapacity)
    , costs(tokenCosts)
    , speed(endpointCapacity)
{
    setRound();
    replaceCustomers(contracts);
}

void Scheduler::Impl::setRound()
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
        // Idle time earns no credit: a returning customer starts at the current virtual times.
        customer.shareTag = std::max(customer.shareTag, totalService);
        customer.unusedTag = std::max(customer.unusedTag, unusedTime[customer.priority]);
        ++customer.busyPeriod;
    }
    request.arrival = arrivals++;
    customer.waitingWeight += request.weight;
    customer.waitingMicros += request.engineMicros;
    waitingWeight += request.weight;
    waitingMicros += request.engineMicros;
    waitingTokens += request.request.expected.prompt + request.request.expected.output;
    deadlines.emplace(std::pair(request.request.startDeadline, request.arrival), request.request.id);
    const RequestId id = request.request.id;
    const auto place = customer.waiting.insert(customer.waiting.end(), std::move(request));
    waiting.emplace(id, WaitingPlace {position, place});
    addToOrder(position);
}

WaitingRequest Scheduler::Impl::remove(const WaitingPlace &place)
{
    removeFromOrder(place.customer);
    CustomerQueue &customer = customers[place.customer];
    WaitingRequest request = std::move(*place.request);
    customer.waiting.erase(place.request);
    customer.waitingWeight -= request.weight;
    customer.waitingMicros -= request.engineMicros;
    waitingWeight -= request.weight;
    waitingMicros -= request.engineMicros;
    waitingTokens -= request.request.expected.prompt + request.request.expected.output;
    deadlines.erase({request.request.startDeadline, request.arrival});
    waiting.erase(request.request.id);
    addToOrder(place.customer);
    return request;
}

void Scheduler::Impl::dropOverdue(Time now)
{
    while (!deadlines.empty() && deadlines.begin()->first.first < now) {
        const WaitingPlace place = waiting.at(deadlines.begin()->second);
        CustomerQueue &customer = customers[place.customer];
        customer.waitCorrection.record(place.request->queueWait, now - place.request->enqueuedAt);
        const Duration wait = expectedWait(place.customer, customer.waitingWeight, place.request->request.startDeadline);
        overdue.push_back(refuseWaiting(remove(place), RefusalReason::DeadlinePassed, wait, now));
    }
}

void Scheduler::Impl::dropHopeless(Time now)
{
    const std::size_t reviewed = std::min(REVIEWED_CUSTOMERS, customers.size());
    for (std::size_t i = 0; i < reviewed; ++i) {
        nextReview = (nextReview + 1) % customers.size();
        dropHopelessTail(nextReview, now);
    }
}

bool Scheduler::Impl::tailIsHopeless(Position position, Time now) const
{
    const CustomerQueue &customer = customers[position];
    if (customer.waiting.empty()) {
        return false;
    }
    const WaitingRequest &last = customer.waiting.back();
    const Duration wait = expectedWait(position, customer.waitingWeight - last.weight, last.request.startDeadline);
    return now + wait - wait / GIVE_UP_MARGIN_DIVISOR > last.request.startDeadline;
}

void Scheduler::Impl::dropHopelessTail(Position position, Time now)
{
    CustomerQueue &customer = customers[position];
    if (!tailIsHopeless(position, now)) {
        customer.hopelessSince.reset();
        return;
    }
    if (!customer.hopelessSince) {
        customer.hopelessSince = now;
    }
    if (now - *customer.hopelessSince < GIVE_UP_AFTER) {
        return;
    }
    while (tailIsHopeless(position, now)) {
        const WaitingRequest &last = customer.waiting.back();
        const Duration wait = expectedWait(position, customer.waitingWeight - last.weight, last.request.startDeadline);
        const WaitingPlace place = waiting.at(last.request.id);
        overdue.push_back(refuseWaiting(remove(place), RefusalReason::WaitTooLong, wait, now));
    }
    customer.hopelessSince.reset();
}

Scheduler::Impl::Position Scheduler::Impl::selectCustomer(bool &withinShare)
{
    withinShare = true;
    if (const auto behind = order.behindBy(LAG_ROUNDS * roundWeight, totalService)) {
        return *behind;
    }
    if (const auto below = order.earliestBelowShare(customers, totalService)) {
        return *below;
    }
    withinShare = false;
    return order.bestForUnused();
}

void Scheduler::Impl::charge(Position position, Weight weight, bool withinShare)
{
    CustomerQueue &customer = customers[position];
    if (withinShare) {
        customer.shareTag += customer.atShare(weight);
    } else {
        unusedTime[customer.priority] = customer.unusedTag;
        customer.unusedTag += customer.atShare(weight);
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
    // The tags were raised to the virtual time when the customer came back, so an older overcharge is already forgotten.
    if (difference > 0 || request.busyPeriod == customer.busyPeriod) {
        Weight &tag = request.withinShare ? customer.shareTag : customer.unusedTag;
        tag += customer.atShare(difference);
    }
    addToOrder(request.customer);
}

} // namespace mimosatally
