#include "schedulerimpl.h"

#include <algorithm>

namespace mimosatally
{

using internal::CustomerQueue;
using internal::WaitingRequest;

std::string_view toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::WaitTooLong:
        return "wait-too-long";
    case RefusalReason::DeadlinePassed:
        return "deadline-passed";
    case RefusalReason::UnknownCustomer:
        return "unknown-customer";
    case RefusalReason::Leaving:
        return "leaving";
    }
    return "unknown";
}

Scheduler::Scheduler(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{
}

Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler &&) noexcept = default;
Scheduler &Scheduler::operator=(Scheduler &&) noexcept = default;

std::optional<Refusal> Scheduler::enqueue(const QueuedRequest &request, Time now)
{
    const auto position = impl_->findCustomer(request.customer);
    if (!position) {
        return Refusal {request.id, RefusalReason::UnknownCustomer, std::nullopt};
    }
    invariant(!impl_->waiting.contains(request.id) && !impl_->running.contains(request.id), "a request is queued once");
    impl_->dropOverdue(now);
    const CustomerQueue &customer = impl_->customers[*position];
    const Duration queueWait = impl_->queueWait(*position, customer.waitingWeight, request.startDeadline);
    const Duration wait = customer.waitCorrection.correct(queueWait);
    const WaitingRequest waiting {request, 0, impl_->weightOf(request.expected), impl_->speed.nominalMicros(request.expected), now, queueWait};
    if (now > request.startDeadline || now + wait > request.startDeadline) {
        return impl_->makeRefusal(waiting, RefusalReason::WaitTooLong, wait, now);
    }
    impl_->append(*position, waiting);
    return std::nullopt;
}

std::optional<RequestId> Scheduler::dispatchNext(Time now)
{
    impl_->dropOverdue(now);
    const auto slots = static_cast<std::size_t>(impl_->capacity.maxConcurrentRequests);
    if (impl_->order.empty() || impl_->running.size() >= slots) {
        return std::nullopt;
    }
    bool withinShare = false;
    const Impl::Position position = impl_->selectCustomer(withinShare);
    CustomerQueue &customer = impl_->customers[position];
    RequestId id = customer.waiting.front().request.id;
    invariant(customer.waiting.front().request.startDeadline >= now, "no request starts after its deadline");

    impl_->removeFromOrder(position);
    impl_->charge(position, customer.waiting.front().weight, withinShare);
    impl_->addToOrder(position);
    const WaitingRequest started = impl_->remove(impl_->waiting.at(id));
    customer.waitCorrection.record(started.queueWait, now - started.enqueuedAt);

    const Tokens tokens = started.request.expected.prompt + started.request.expected.output;
    impl_->running.emplace(id, Impl::RunningRequest {position, started.weight, started.engineMicros, tokens, withinShare, customer.busyPeriod});
    impl_->runningWeight += started.weight;
    impl_->runningMicros += started.engineMicros;
    impl_->runningTokens += tokens;
    if (impl_->running.size() == slots) {
        impl_->speed.recordFull(now);
    }
    return id;
}

std::vector<Refusal> Scheduler::expire(Time now)
{
    impl_->dropOverdue(now);
    impl_->dropInfeasible(now);
    return std::exchange(impl_->pendingRefusals, {});
}

void Scheduler::complete(const RequestId &request, TokenUsage actual, Time now)
{
    const auto found = impl_->running.find(request);
    invariant(found != impl_->running.end(), "only a running request completes");
    const Impl::RunningRequest running = found->second;
    if (impl_->running.size() >= static_cast<std::size_t>(impl_->capacity.maxConcurrentRequests)) {
        impl_->speed.recordCompletion(impl_->speed.nominalMicros(actual), now);
    }
    impl_->running.erase(found);
    impl_->runningWeight -= running.weight;
    impl_->runningMicros -= running.engineMicros;
    impl_->runningTokens -= running.tokens;
    impl_->correct(running, impl_->weightOf(actual));
}

CancelWord Scheduler::cancel(const RequestId &request, Time now)
{
    impl_->dropOverdue(now);
    if (const auto found = impl_->waiting.find(request); found != impl_->waiting.end()) {
        const Impl::WaitingEntry entry = found->second;
        impl_->remove(entry);
        return CancelWord::NeverStarted;
    }
    const bool isRefused = std::any_of(impl_->pendingRefusals.begin(), impl_->pendingRefusals.end(), [&](const Refusal &refusal) {
        return refusal.id == request;
    });
    if (isRefused) {
        return CancelWord::NeverStarted;
    }
    return impl_->running.contains(request) ? CancelWord::Started : CancelWord::Finished;
}

QueueLoad Scheduler::load() const
{
    return QueueLoad {impl_->waiting.size(), impl_->running.size(), impl_->waitingTokens, impl_->runningTokens};
}

std::vector<CustomerService> Scheduler::service() const
{
    std::vector<CustomerService> result;
    result.reserve(impl_->customers.size());
    for (const CustomerQueue &customer : impl_->customers) {
        result.push_back({customer.id, customer.served});
    }
    return result;
}

std::optional<Time> Scheduler::nextDeadline() const
{
    if (impl_->deadlines.empty()) {
        return std::nullopt;
    }
    return impl_->deadlines.begin()->first.first;
}

Scheduler::Builder &Scheduler::Builder::capacity(EndpointCapacity capacity)
{
    capacity_ = capacity;
    return *this;
}

Scheduler::Builder &Scheduler::Builder::contracts(std::vector<Contract> contracts)
{
    contracts_ = std::move(contracts);
    return *this;
}

Scheduler::Builder &Scheduler::Builder::tokenCosts(TokenCosts costs)
{
    costs_ = costs;
    return *this;
}

Scheduler Scheduler::Builder::build() const
{
    return Scheduler(std::make_unique<Impl>(capacity_, contracts_, costs_));
}

} // namespace mimosatally
