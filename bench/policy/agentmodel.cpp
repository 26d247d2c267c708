#include "agentmodel.h"

namespace mimosatally::bench
{

RequestId requestId(std::size_t index)
{
    return RequestId(std::to_string(index));
}

std::size_t requestIndex(const RequestId &id)
{
    return std::stoul(id.value());
}

AgentModel::AgentModel(const EngineSettings &settings, EngineRole role, int slots, std::optional<Scheduler> scheduler)
    : slots_(static_cast<std::size_t>(slots))
    , scheduler_(std::move(scheduler))
    , engine_(settings, role)
{
}

std::optional<RefusalReason> AgentModel::enqueue(const EngineJob &job, const QueuedRequest &request, Time now)
{
    if (!isAvailable()) {
        return RefusalReason::Leaving;
    }
    if (scheduler_) {
        if (const auto refusal = scheduler_->enqueue(request, now)) {
            return refusal->reason;
        }
    } else {
        fifo_.push_back(request.id);
    }
    ++waitingByCustomer_[request.customer];
    waiting_.emplace(request.id, WaitingRequest {job, request});
    return std::nullopt;
}

void AgentModel::removeWaiting(const RequestId &id)
{
    const auto found = waiting_.find(id);
    --waitingByCustomer_[found->second.request.customer];
    waiting_.erase(found);
}

void AgentModel::refuseExpired(Step &step, Time now)
{
    if (scheduler_) {
        for (const Refusal &refusal : scheduler_->expire(now)) {
            removeWaiting(refusal.id);
            step.refused.emplace_back(requestIndex(refusal.id), refusal.reason);
        }
        return;
    }
    std::erase_if(fifo_, [&](const RequestId &id) {
        const bool isExpired = waiting_.at(id).request.startDeadline < now;
        if (isExpired) {
            removeWaiting(id);
            step.refused.emplace_back(requestIndex(id), RefusalReason::DeadlinePassed);
        }
        return isExpired;
    });
}

void AgentModel::start(const RequestId &id)
{
    EngineJob job = std::move(waiting_.at(id).job);
    removeWaiting(id);
    running_.emplace(job.request, id);
    usage_[job.request] = {Tokens(job.promptTokens), Tokens(job.outputTokens)};
    engine_.submit(std::move(job));
}

void AgentModel::dispatch(Time now)
{
    if (!isAvailable()) {
        return;
    }
    if (scheduler_) {
        while (const auto id = scheduler_->dispatchNext(now)) {
            start(*id);
        }
        return;
    }
    while (!fifo_.empty() && running_.size() < slots_) {
        const RequestId id = fifo_.front();
        fifo_.pop_front();
        start(id);
    }
}

AgentModel::Step AgentModel::step(Duration tick, Time now)
{
    Step step;
    refuseExpired(step, now);
    dispatch(now);
    const bool wasChanging = engine_.isChangingRole();
    EngineSimulation::Events events = engine_.advance(tick);
    step.roleChangeCompleted = wasChanging && !engine_.isChangingRole();
    step.started = std::move(events.started);
    step.stored = std::move(events.stored);
    step.evicted = std::move(events.evicted);
    for (const std::size_t request : events.finished) {
        if (scheduler_) {
            scheduler_->complete(running_.at(request), usage_.at(request), now + tick);
        }
        running_.erase(request);
        usage_.erase(request);
        step.finished.push_back(request);
    }
    return step;
}

std::vector<std::size_t> AgentModel::takeWaiting(Time now)
{
    std::vector<std::size_t> result;
    for (const auto &[id, waiting] : waiting_) {
        if (scheduler_) {
            scheduler_->cancel(id, now);
        }
        result.push_back(waiting.job.request);
    }
    waiting_.clear();
    waitingByCustomer_.clear();
    fifo_.clear();
    return result;
}

void AgentModel::changeRole(EngineRole role)
{
    engine_.changeRole(role);
}

void AgentModel::withdraw()
{
    withdrawn_ = true;
}

QueueLoad AgentModel::load() const
{
    if (scheduler_) {
        return scheduler_->load();
    }
    QueueLoad load;
    load.waitingRequests = waiting_.size();
    load.runningRequests = running_.size();
    return load;
}

} // namespace mimosatally::bench
