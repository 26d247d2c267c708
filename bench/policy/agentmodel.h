#pragma once

#include "enginemodel.h"

#include <mimosatally/Queueing>

#include <deque>
#include <map>
#include <set>

namespace mimosatally::bench
{

/// \brief One agent with its engine; the queue is the shipped Scheduler, or first come first served for the baselines.
class AgentModel
{
public:
    /// \brief Requests that ended their wait in one step.
    struct Step {
        std::vector<std::size_t> started;
        std::vector<std::size_t> finished;
        std::vector<std::pair<std::size_t, RefusalReason>> refused;
        std::vector<std::uint64_t> stored;
        std::vector<std::uint64_t> evicted;
        bool roleReached = false;
    };

    AgentModel(const EngineSettings &settings, EngineRole role, int slots, std::optional<Scheduler> scheduler);

    /// \return the reason of a refusal at once.
    std::optional<RefusalReason> enqueue(const EngineJob &job, const QueuedRequest &request, Time now);
    Step step(Duration tick, Time now);

    /// \brief Removes all waiting requests, for another endpoint.
    std::vector<std::size_t> takeWaiting(Time now);
    void changeRole(EngineRole role);
    void withdraw();

    [[nodiscard]] bool available() const
    {
        return !withdrawn_ && !engine_.changing();
    }
    [[nodiscard]] bool withdrawn() const
    {
        return withdrawn_;
    }
    [[nodiscard]] EngineRole role() const
    {
        return engine_.role();
    }
    [[nodiscard]] const EngineModel::Totals &totals() const
    {
        return engine_.totals();
    }
    [[nodiscard]] std::size_t waitingRequests() const
    {
        return waiting_.size();
    }
    [[nodiscard]] bool hasFreeSlot() const
    {
        return available() && waiting_.empty() && running_.size() < slots_;
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
    /// \brief Customers that wait here.
    [[nodiscard]] const std::map<CustomerId, int> &waitingCustomers() const
    {
        return waitingCustomers_;
    }

private:
    struct Waiting {
        EngineJob job;
        QueuedRequest request;
    };

    void refuseOverdue(Step &step, Time now);
    void dispatch(Time now);
    void start(const RequestId &id);
    void forget(const RequestId &id);

    std::size_t slots_;
    std::optional<Scheduler> scheduler_;
    EngineModel engine_;
    bool withdrawn_ = false;
    /// \brief Order of arrival; used by the baselines.
    std::deque<RequestId> fifo_;
    std::map<RequestId, Waiting> waiting_;
    std::map<std::size_t, RequestId> running_;
    std::map<std::size_t, TokenUsage> usage_;
    std::map<CustomerId, int> waitingCustomers_;
};

/// \brief Request ids of the measurement are the index in the trace.
RequestId requestId(std::size_t index);
std::size_t requestIndex(const RequestId &id);

} // namespace mimosatally::bench
