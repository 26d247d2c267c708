#include "multiplydivide.h"
#include "schedulerimpl.h"

#include <algorithm>

namespace mimosatally
{

using internal::CustomerQueue;
using internal::FULL_SHARE;
using internal::multiplyDivide;
using internal::WaitingRequest;

namespace
{
/// \brief A customer whose requests reach only this endpoint is counted as at most this many rounds behind its share.
constexpr std::int64_t MAX_REMOTE_LAG_ROUNDS = 4;
/// \brief Service at other endpoints puts a customer at most this many rounds ahead of its share: it may have been excess capacity there,
/// which must not be charged to the customer for longer than one round here.
constexpr std::int64_t MAX_REMOTE_LEAD_ROUNDS = 1;

/// \brief Queue of a customer under its new contract, without requests; keeps the virtual times of \a previous.
CustomerQueue makeQueue(const Contract &contract, const CustomerQueue *previous)
{
    CustomerQueue queue;
    if (previous != nullptr) {
        queue = *previous;
        queue.waiting.clear();
        queue.waitingWeight = 0;
        queue.waitingMicros = 0;
    }
    queue.id = contract.customer;
    queue.share = contract.shareMillionths;
    queue.priority = contract.priority;
    return queue;
}
} // namespace

void Scheduler::Impl::replaceCustomers(const std::vector<Contract> &contracts)
{
    std::vector<CustomerQueue> old = std::exchange(customers, {});
    std::vector<Contract> sorted = contracts;
    std::sort(sorted.begin(), sorted.end(), [](const Contract &left, const Contract &right) {
        return left.customer < right.customer;
    });
    std::map<CustomerId, const CustomerQueue *> oldById;
    for (const CustomerQueue &queue : old) {
        oldById.emplace(queue.id, &queue);
    }
    for (const Contract &contract : sorted) {
        const auto found = oldById.find(contract.customer);
        customers.push_back(makeQueue(contract, found == oldById.end() ? nullptr : found->second));
    }
    remapRequests(old);
}

void Scheduler::Impl::remapRequests(const std::vector<CustomerQueue> &old)
{
    for (auto &[id, request] : running) {
        if (request.customer != REMOVED_CUSTOMER) {
            request.customer = findCustomer(old[request.customer].id).value_or(REMOVED_CUSTOMER);
        }
    }
    order.clear();
    waiting.clear();
    deadlines.clear();
    waitingWeight = 0;
    waitingMicros = 0;
    waitingTokens = Tokens(0);
    std::vector<WaitingRequest> requests;
    for (const CustomerQueue &queue : old) {
        requests.insert(requests.end(), queue.waiting.begin(), queue.waiting.end());
    }
    std::sort(requests.begin(), requests.end(), [](const WaitingRequest &left, const WaitingRequest &right) {
        return left.arrivalNumber < right.arrivalNumber;
    });
    for (WaitingRequest &request : requests) {
        const auto position = findCustomer(request.request.customer);
        if (!position) {
            pendingRefusals.push_back({request.request.id, RefusalReason::UnknownCustomer, std::nullopt});
            continue;
        }
        request.weight = weightOf(request.request.expected);
        append(*position, std::move(request));
    }
}

void Scheduler::applyContracts(const std::vector<Contract> &contracts, TokenCosts costs, Time now)
{
    impl_->dropOverdue(now);
    impl_->costs = costs;
    impl_->updateRoundWeight();
    impl_->replaceCustomers(contracts);
}

Scheduler::Impl::RemoteCorrection Scheduler::Impl::remoteCorrection(CustomerQueue &customer, Weight growth, Weight totalGrowth, Weight localTotal) const
{
    const Weight local = std::max<Weight>(customer.served - customer.servedAtReport, 0);
    customer.servedAtReport = customer.served;
    if (customer.share == 0) {
        return {};
    }
    const Weight deviation = growth - multiplyDivide(totalGrowth, customer.share, FULL_SHARE);
    const Weight byCustomer = multiplyDivide(deviation, local, local + growth);
    const Weight byTotal = multiplyDivide(deviation, localTotal, localTotal + totalGrowth);
    return {deviation, deviation > 0 ? std::max(byCustomer, byTotal) : std::min(byCustomer, byTotal)};
}

void Scheduler::Impl::balanceCorrections(std::vector<RemoteCorrection> &corrections)
{
    Weight aheadSum = 0;
    Weight behindSum = 0;
    for (const RemoteCorrection &correction : corrections) {
        (correction.weight > 0 ? aheadSum : behindSum) += std::abs(correction.weight);
    }
    const Weight target = std::max(aheadSum, behindSum);
    for (RemoteCorrection &correction : corrections) {
        const Weight sideSum = correction.weight > 0 ? aheadSum : behindSum;
        const Weight scaled = multiplyDivide(correction.weight, target, sideSum);
        correction.weight = correction.deviation > 0 ? std::min(scaled, correction.deviation) : std::max(scaled, correction.deviation);
    }
}

void Scheduler::Impl::applyRemoteCorrection(CustomerQueue &customer, Weight correction) const
{
    if (customer.share == 0) {
        return;
    }
    const Weight maxTag = std::max(customer.shareTag, totalService + MAX_REMOTE_LEAD_ROUNDS * roundWeight);
    const Weight minTag = std::min(customer.shareTag, totalService - MAX_REMOTE_LAG_ROUNDS * roundWeight);
    customer.shareTag = std::clamp(customer.shareTag + customer.virtualTimeOf(correction), minTag, maxTag);
}

Scheduler::Impl::Weight Scheduler::Impl::remoteGrowth(CustomerQueue &customer, Weight served) const
{
    const Weight change = served - customer.remoteServed;
    customer.remoteServed = served;
    if (change < 0) {
        // Corrections to actual usage lower the sum slightly. A larger drop comes from a restarted counter and is not charged to the customer.
        customer.remoteDeficit = std::min(customer.remoteDeficit - change, roundWeight);
        return 0;
    }
    const Weight offset = std::min(change, customer.remoteDeficit);
    customer.remoteDeficit -= offset;
    return change - offset;
}

void Scheduler::setRemoteService(const std::vector<CustomerService> &served, Time now)
{
    impl_->dropOverdue(now);
    std::vector<Impl::Weight> growth(impl_->customers.size(), 0);
    Impl::Weight totalGrowth = 0;
    for (const CustomerService &service : served) {
        if (const auto position = impl_->findCustomer(service.customer)) {
            growth[*position] = impl_->remoteGrowth(impl_->customers[*position], service.weightedTokens);
            totalGrowth += growth[*position];
        }
    }
    const Impl::Weight localTotal = std::max<Impl::Weight>(impl_->totalService - impl_->totalServiceAtReport, 0);
    impl_->totalServiceAtReport = impl_->totalService;
    impl_->order.clear();
    std::vector<Impl::RemoteCorrection> corrections;
    corrections.reserve(impl_->customers.size());
    for (Impl::Position position = 0; position < impl_->customers.size(); ++position) {
        corrections.push_back(impl_->remoteCorrection(impl_->customers[position], growth[position], totalGrowth, localTotal));
    }
    Impl::balanceCorrections(corrections);
    for (Impl::Position position = 0; position < impl_->customers.size(); ++position) {
        impl_->applyRemoteCorrection(impl_->customers[position], corrections[position].weight);
        impl_->addToOrder(position);
    }
}

} // namespace mimosatally
