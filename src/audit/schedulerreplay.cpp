#include "audit/schedulerreplay.h"

#include <algorithm>

namespace mimosatally::internal
{

namespace
{
bool isSameCapacity(const EndpointCapacity &left, const EndpointCapacity &right)
{
    return left.maxConcurrentRequests == right.maxConcurrentRequests && left.prefillTokensPerSecond == right.prefillTokensPerSecond
           && left.decodeTokensPerSecond == right.decodeTokensPerSecond;
}

std::optional<Duration> longestWait(const std::vector<Contract> &contracts, const CustomerId &customer)
{
    const auto found = std::find_if(contracts.begin(), contracts.end(), [&](const Contract &contract) {
        return contract.customer == customer;
    });
    return found != contracts.end() ? std::optional(found->longestWait) : std::nullopt;
}
} // namespace

SchedulerReplay::SchedulerReplay(const AuditChain &chain, AuditReport &report)
    : chain_(chain)
    , report_(report)
{
}

void SchedulerReplay::run()
{
    const auto firstBreak = chain_.firstBreak();
    for (const auto &[sequence, record] : chain_.records()) {
        sequence_ = sequence;
        if (firstBreak && sequence >= *firstBreak) {
            stopped_ = true;
        }
        if (stopped_) {
            report_.dispatchesNotReplayed += record.decision.kind == DecisionKind::Dispatched ? 1 : 0;
            continue;
        }
        try {
            replay(record.decision);
        } catch (const MalformedInputError &error) {
            stop(error.what());
        } catch (const InvariantViolation &error) {
            stop(std::string("the record contradicts earlier ones: ") + error.what());
        }
    }
}

void SchedulerReplay::replay(const Decision &decision)
{
    if (decision.kind == DecisionKind::ConfigurationApplied) {
        applyConfiguration(decision);
        return;
    }
    if (!scheduler_) {
        return;
    }
    switch (decision.kind) {
    case DecisionKind::Queued:
        enqueue(decision, *scheduler_);
        break;
    case DecisionKind::Dispatched:
        dispatch(decision, *scheduler_);
        break;
    case DecisionKind::Completed:
        scheduler_->complete(decision.request, parseInputs<CompletedInputs>(decision.inputs).actual, decision.at);
        startDeadlines_.erase(decision.request);
        break;
    case DecisionKind::Refused:
        refuse(decision, *scheduler_);
        break;
    case DecisionKind::Cancelled:
        cancel(decision, *scheduler_);
        break;
    case DecisionKind::ServiceReported:
        scheduler_->setRemoteService(parseInputs<ServiceReportedInputs>(decision.inputs).served, decision.at);
        break;
    default:
        break;
    }
}

void SchedulerReplay::applyConfiguration(const Decision &decision)
{
    const auto inputs = parseInputs<ConfigurationInputs>(decision.inputs);
    if (!inputs.capacity) {
        stop("the configuration of an agent lacks the endpoint's capacity");
        return;
    }
    previousContracts_ = std::exchange(contracts_, inputs.contracts);
    if (scheduler_ && isSameCapacity(capacity_, *inputs.capacity)) {
        scheduler_->applyContracts(inputs.contracts, inputs.costs, decision.at);
        return;
    }
    if (scheduler_ && scheduler_->load().waitingRequests + scheduler_->load().runningRequests > 0) {
        stop("the capacity changes while requests wait or run");
        return;
    }
    capacity_ = *inputs.capacity;
    scheduler_.emplace(Scheduler::Builder().capacity(capacity_).contracts(inputs.contracts).tokenCosts(inputs.costs).build());
}

void SchedulerReplay::enqueue(const Decision &decision, Scheduler &scheduler)
{
    const auto inputs = parseInputs<QueuedInputs>(decision.inputs);
    checkDeadline(decision, inputs.startDeadline);
    const auto refusal = scheduler.enqueue({decision.request, decision.customer, inputs.expected, inputs.startDeadline}, decision.at);
    if (refusal) {
        stop("request " + decision.request.value() + " was queued, but the contracts refuse it with " + std::string(toString(refusal->reason)));
        return;
    }
    startDeadlines_[decision.request] = inputs.startDeadline;
}

void SchedulerReplay::checkDeadline(const Decision &decision, Time startDeadline)
{
    const auto current = longestWait(contracts_, decision.customer);
    const auto previous = longestWait(previousContracts_, decision.customer);
    if (current && startDeadline - decision.at > std::max(*current, previous.value_or(Duration(0)))) {
        report("request " + decision.request.value() + " has a start deadline beyond the contract's longest wait");
    }
}

void SchedulerReplay::dispatch(const Decision &decision, Scheduler &scheduler)
{
    ++report_.dispatchesReplayed;
    const auto deadline = startDeadlines_.find(decision.request);
    if (deadline != startDeadlines_.end() && decision.at > deadline->second) {
        stop("request " + decision.request.value() + " started after its start deadline");
        return;
    }
    const auto expected = scheduler.dispatchNext(decision.at);
    if (expected != decision.request) {
        stop("request " + decision.request.value() + " was dispatched, but the contracts choose " + (expected ? expected->value() : "none"));
    }
}

void SchedulerReplay::refuse(const Decision &decision, Scheduler &scheduler)
{
    const auto inputs = parseInputs<RefusedInputs>(decision.inputs);
    if (inputs.stage == RefusalStage::Enqueue) {
        refuseAtEnqueue(decision, inputs, scheduler);
    } else if (inputs.stage == RefusalStage::Expire) {
        refuseWaiting(decision, inputs, scheduler);
    }
}

void SchedulerReplay::refuseAtEnqueue(const Decision &decision, const RefusedInputs &inputs, Scheduler &scheduler)
{
    const auto refusal = scheduler.enqueue({decision.request, decision.customer, inputs.expected, inputs.startDeadline}, decision.at);
    if (!refusal) {
        stop("request " + decision.request.value() + " was refused with " + inputs.reason + ", but the contracts admit it");
    } else if (toString(refusal->reason) != inputs.reason) {
        report("request " + decision.request.value() + " was refused with " + inputs.reason + ", but the contracts refuse it with "
               + std::string(toString(refusal->reason)));
    }
}

void SchedulerReplay::refuseWaiting(const Decision &decision, const RefusedInputs &inputs, Scheduler &scheduler)
{
    const auto deadline = startDeadlines_.find(decision.request);
    if (deadline == startDeadlines_.end()) {
        stop("request " + decision.request.value() + " was refused while waiting, but it was not queued");
        return;
    }
    if (inputs.reason == toString(RefusalReason::DeadlinePassed) && decision.at <= deadline->second) {
        report("request " + decision.request.value() + " was refused with " + inputs.reason + " before its start deadline");
    }
    // Scheduler::expire() also reviews queues, and reviews that refuse no request are not recorded; cancel() removes only this request.
    if (scheduler.cancel(decision.request, decision.at) != CancelWord::NeverStarted) {
        stop("request " + decision.request.value() + " was refused while waiting, but it had started");
    }
    startDeadlines_.erase(decision.request);
}

void SchedulerReplay::cancel(const Decision &decision, Scheduler &scheduler)
{
    const CancelWord expected = scheduler.cancel(decision.request, decision.at);
    if (expected != parseInputs<CancelledInputs>(decision.inputs).result) {
        stop("the cancel result of request " + decision.request.value() + " contradicts the earlier records");
    }
}

void SchedulerReplay::report(const std::string &message)
{
    report_.findings.push_back(chain_.finding(sequence_, message));
}

void SchedulerReplay::stop(const std::string &message)
{
    report(message);
    stopped_ = true;
}

} // namespace mimosatally::internal
