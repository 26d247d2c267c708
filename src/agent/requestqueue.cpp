#include "requestqueue.h"

namespace mimosatally::internal
{

namespace
{
/// \brief Retry time that is reported when the limits of the queue are reached.
constexpr Duration QUEUE_FULL_RETRY_AFTER(1000);

bool isSameCapacity(const EndpointCapacity &left, const EndpointCapacity &right)
{
    return left.maxConcurrentRequests == right.maxConcurrentRequests && left.prefillTokensPerSecond == right.prefillTokensPerSecond
           && left.decodeTokensPerSecond == right.decodeTokensPerSecond;
}

RefusedInputs refusedInputs(RefusalStage stage, const Refusal &refusal)
{
    RefusedInputs inputs;
    inputs.stage = stage;
    inputs.reason = std::string(toString(refusal.reason));
    inputs.retryAfter = refusal.retryAfter;
    return inputs;
}
} // namespace

RequestQueue::RequestQueue(EndpointId endpoint, AgentDecisions &decisions, QueueLimits limits)
    : endpoint_(std::move(endpoint))
    , decisions_(decisions)
    , limits_(limits)
{
}

void RequestQueue::configure(const Configuration &configuration, EndpointCapacity capacity, Time now)
{
    contracts_ = configuration.contracts;
    costs_ = configuration.tokenCosts;
    if (!scheduler_) {
        capacity_ = capacity;
        buildScheduler(now);
        return;
    }
    pendingCapacity_ = isSameCapacity(capacity, capacity_) ? std::nullopt : std::optional(capacity);
    scheduler_->applyContracts(contracts_, costs_, now);
    recordConfiguration(now);
    applyPendingCapacity(now);
    advance(now);
}

void RequestQueue::buildScheduler(Time now)
{
    scheduler_.emplace(Scheduler::Builder().capacity(capacity_).contracts(contracts_).tokenCosts(costs_).build());
    recordConfiguration(now);
}

void RequestQueue::recordConfiguration(Time now)
{
    decisions_.add(DecisionKind::ConfigurationApplied, {}, {}, now, ConfigurationInputs {contracts_, costs_, capacity_, endpoint_});
}

void RequestQueue::applyPendingCapacity(Time now)
{
    if (pendingCapacity_ && requests_.empty()) {
        capacity_ = *pendingCapacity_;
        pendingCapacity_.reset();
        buildScheduler(now);
    }
}

Scheduler &RequestQueue::scheduler()
{
    if (!scheduler_) {
        throw InvariantViolation("requests are queued under a configuration only");
    }
    return *scheduler_;
}

bool RequestQueue::isConfigured() const
{
    return scheduler_.has_value();
}

std::optional<RequestOutcome> RequestQueue::add(const Request &request, Time now)
{
    if (requests_.size() >= limits_.maxRequests || bytes_ + request->body.size() > limits_.maxBytes) {
        RequestOutcome outcome = RequestOutcome::notRun("queue-full", QUEUE_FULL_RETRY_AFTER);
        recordRefusal(*request, outcome, now);
        return outcome;
    }
    const QueuedRequest queued {request->id, request->customer, request->expected, request->startDeadline};
    if (const auto refusal = scheduler().enqueue(queued, now)) {
        RefusedInputs inputs = refusedInputs(RefusalStage::Enqueue, *refusal);
        inputs.expected = request->expected;
        inputs.startDeadline = request->startDeadline;
        decisions_.add(DecisionKind::Refused, request->id, request->customer, now, inputs);
        return RequestOutcome::notRun(inputs.reason, refusal->retryAfter);
    }
    const QueuedInputs inputs {request->expected, request->startDeadline, request->mayRepeat, request->claimPartition, request->claim};
    decisions_.add(DecisionKind::Queued, request->id, request->customer, now, inputs);
    requests_.emplace(request->id, request);
    bytes_ += request->body.size();
    arrived_.addArrival({request->expected.prompt, request->expected.output}, capacity_.prefillTokensPerSecond, capacity_.decodeTokensPerSecond);
    request->state = RequestState::Waiting;
    logEvent(LogEvent::RequestQueued,
             {{"request", request->id},
              {"customer", request->customer},
              {"endpoint", endpoint_},
              {"waiting", scheduler().load().waitingRequests},
              {"configuration", decisions_.version()}});
    if (onQueued_) {
        onQueued_(request->startDeadline);
    }
    return std::nullopt;
}

void RequestQueue::advance(Time now)
{
    if (!scheduler_) {
        return;
    }
    for (const Refusal &refusal : scheduler_->expire(now)) {
        refuse(refusal, now);
    }
    while (!paused_) {
        const auto next = scheduler_->dispatchNext(now);
        if (!next) {
            break;
        }
        const auto found = requests_.find(*next);
        invariant(found != requests_.end(), "a dispatched request is known");
        AgentRequest &request = *found->second;
        invariant(request.state == RequestState::Waiting, "a request is dispatched once");
        ++running_;
        request.dispatchedAt = now;
        decisions_.add(DecisionKind::Dispatched, request.id, request.customer, now, DispatchedInputs {now - request.receivedAt});
        logEvent(LogEvent::RequestDispatched,
                 {{"request", request.id},
                  {"customer", request.customer},
                  {"endpoint", endpoint_},
                  {"queued_ms", now - request.receivedAt},
                  {"configuration", decisions_.version()}});
        setState(request, RequestState::Dispatched);
    }
}

void RequestQueue::refuse(const Refusal &refusal, Time now)
{
    const Request request = find(refusal.id);
    invariant(request != nullptr, "an expired request is known");
    const RefusedInputs inputs = refusedInputs(RefusalStage::Expire, refusal);
    decisions_.add(DecisionKind::Refused, request->id, request->customer, now, inputs);
    end(request, RequestOutcome::notRun(inputs.reason, refusal.retryAfter), now);
}

void RequestQueue::complete(const Request &request, const CompletedInputs &result, Time now)
{
    invariant(request->state == RequestState::Dispatched, "only a dispatched request completes");
    scheduler().complete(request->id, result.actual, now);
    decisions_.add(DecisionKind::Completed, request->id, request->customer, now, result);
    logEvent(LogEvent::RequestCompleted,
             {{"request", request->id},
              {"customer", request->customer},
              {"endpoint", endpoint_},
              {"status", result.status},
              {"prompt_tokens", result.actual.prompt},
              {"output_tokens", result.actual.output}});
    --running_;
    remove(request);
    applyPendingCapacity(now);
    advance(now);
}

CancelWord RequestQueue::cancel(const Request &request, Time now)
{
    const CancelWord progress = scheduler().cancel(request->id, now);
    decisions_.add(DecisionKind::Cancelled, request->id, request->customer, now, CancelledInputs {progress});
    if (progress == CancelWord::NeverStarted) {
        end(request, RequestOutcome::notRun("cancelled", std::nullopt), now);
        applyPendingCapacity(now);
    }
    return progress;
}

void RequestQueue::recordRefusal(const AgentRequest &request, const RequestOutcome &outcome, Time now)
{
    RefusedInputs inputs;
    inputs.stage = RefusalStage::Gate;
    inputs.reason = outcome.reason;
    inputs.outcome = outcome.kind == OutcomeKind::Unknown ? "outcome_unknown" : "not_run";
    inputs.retryAfter = outcome.retryAfter;
    decisions_.add(DecisionKind::Refused, request.id, request.customer, now, inputs);
}

void RequestQueue::setRemoteService(std::vector<CustomerService> served, Time now)
{
    if (!scheduler_) {
        return;
    }
    scheduler_->setRemoteService(served, now);
    decisions_.add(DecisionKind::ServiceReported, {}, {}, now, ServiceReportedInputs {std::move(served)});
}

void RequestQueue::onQueued(std::function<void(Time)> callback)
{
    onQueued_ = std::move(callback);
}

void RequestQueue::setPaused(bool paused)
{
    paused_ = paused;
}

void RequestQueue::end(const Request &request, RequestOutcome refusal, Time now)
{
    refusal.queueWait = now - request->receivedAt;
    request->refusal = std::move(refusal);
    remove(request);
}

void RequestQueue::remove(const Request &request)
{
    bytes_ -= request->body.size();
    setState(*request, RequestState::Ended);
    requests_.erase(request->id);
}

void RequestQueue::setState(AgentRequest &request, RequestState state)
{
    request.state = state;
    request.stateChange.cancel();
}

RequestQueue::Request RequestQueue::find(const RequestId &id) const
{
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : found->second;
}

QueueLoad RequestQueue::load() const
{
    return scheduler_ ? scheduler_->load() : QueueLoad();
}

const DemandReport &RequestQueue::arrived() const
{
    return arrived_;
}

std::vector<CustomerService> RequestQueue::service() const
{
    return scheduler_ ? scheduler_->service() : std::vector<CustomerService>();
}

std::optional<Time> RequestQueue::nextDeadline() const
{
    return scheduler_ ? scheduler_->nextDeadline() : std::nullopt;
}

bool RequestQueue::isEmpty() const
{
    return requests_.empty();
}

std::size_t RequestQueue::running() const
{
    return running_;
}

} // namespace mimosatally::internal
