#pragma once

#include "enginesimulation.h"

#include <mimosatally/Queueing>

#include <deque>
#include <map>
#include <set>

namespace mimosatally::bench
{

/// \brief Model of an agent with its engine. The queue is the production Scheduler for the policy, first come first served for the baselines.
class AgentModel
{
public:
    /// \brief Events of one step: requests that started, finished or were refused, and cache blocks that were stored or evicted.
    struct Step {
        std::vector<std::size_t> started;
        std::vector<std::size_t> finished;
        std::vector<std::pair<std::size_t, RefusalReason>> refused;
        std::vector<std::uint64_t> stored;
        std::vector<std::uint64_t> evicted;
        bool roleChangeCompleted = false;
    };

    AgentModel(const EngineSettings &settings, EngineRole role, int slots, std::optional<Scheduler> scheduler);

    /// \return the reason if the request is refused immediately.
    std::optional<RefusalReason> enqueue(const EngineJob &job, const QueuedRequest &request, Time now);
    Step step(Duration tick, Time now);

    /// \brief Removes all waiting requests and returns their indices, so that they can be routed to another endpoint.
    std::vector<std::size_t> takeWaiting(Time now);
    void changeRole(EngineRole role);
    void withdraw();

    [[nodiscard]] bool isAvailable() const
    {
        return !withdrawn_ && !engine_.isChangingRole();
    }
    [[nodiscard]] bool isWithdrawn() const
    {
        return withdrawn_;
    }
    [[nodiscard]] EngineRole role() const
    {
        return engine_.role();
    }
    [[nodiscard]] const EngineSimulation::Totals &totals() const
    {
        return engine_.totals();
    }
    [[nodiscard]] std::size_t waitingRequests() const
    {
        return waiting_.size();
    }
    [[nodiscard]] bool canStartImmediately() const
    {
        return isAvailable() && waiting_.empty() && running_.size() < slots_;
    }
    [[nodiscard]] QueueLoad load() const;
    [[nodiscard]] const std::optional<Scheduler> &scheduler() const
    {
        return scheduler_;
    }
    [[nodiscard]] std::optional<Scheduler> &scheduler()
    {
        return scheduler_;
    }
    /// \brief Number of waiting requests by customer.
    [[nodiscard]] const std::map<CustomerId, int> &waitingByCustomer() const
    {
        return waitingByCustomer_;
    }

private:
    struct WaitingRequest {
        EngineJob job;
        QueuedRequest request;
    };

    void refuseExpired(Step &step, Time now);
    void dispatch(Time now);
    void start(const RequestId &id);
    void removeWaiting(const RequestId &id);

    std::size_t slots_;
    std::optional<Scheduler> scheduler_;
    EngineSimulation engine_;
    bool withdrawn_ = false;
    /// \brief Waiting requests in order of arrival; used by the baselines.
    std::deque<RequestId> fifo_;
    std::map<RequestId, WaitingRequest> waiting_;
    std::map<std::size_t, RequestId> running_;
    std::map<std::size_t, TokenUsage> usage_;
    std::map<CustomerId, int> waitingByCustomer_;
};

/// \brief Request id in the simulation: the request's index in the trace.
RequestId requestId(std::size_t index);
/// \brief Inverse of requestId().
std::size_t requestIndex(const RequestId &id);

} // namespace mimosatally::bench
