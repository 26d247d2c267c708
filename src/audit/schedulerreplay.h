#pragma once

#include "audit/auditchain.h"

#include <map>
#include <optional>

namespace mimosatally::internal
{

/// \brief Replays the records of one agent on a separate Scheduler and compares each decision.
class SchedulerReplay
{
public:
    /// \param report receives the findings and the counts of dispatches.
    SchedulerReplay(const AuditChain &chain, AuditReport &report);

    /// \brief Replays until the chain ends, or until a record is missing or contradicts the scheduler's state.
    void run();

private:
    void replay(const Decision &decision);
    void applyConfiguration(const Decision &decision);
    void enqueue(const Decision &decision, Scheduler &scheduler);
    void dispatch(const Decision &decision, Scheduler &scheduler);
    void refuse(const Decision &decision, Scheduler &scheduler);
    void refuseAtEnqueue(const Decision &decision, const RefusedInputs &inputs, Scheduler &scheduler);
    void refuseWaiting(const Decision &decision, const RefusedInputs &inputs, Scheduler &scheduler);
    void cancel(const Decision &decision, Scheduler &scheduler);
    void checkDeadline(const Decision &decision, Time startDeadline);
    void report(const std::string &message);
    /// \brief Reports a contradiction and ends the replay, because the scheduler's state no longer matches the agent's.
    void stop(const std::string &message);

    const AuditChain &chain_;
    AuditReport &report_;
    std::optional<Scheduler> scheduler_;
    EndpointCapacity capacity_;
    /// \brief Current and previous contracts; an entry may have admitted a request under the previous version.
    std::vector<Contract> contracts_;
    std::vector<Contract> previousContracts_;
    std::map<RequestId, Time> startDeadlines_;
    std::int64_t sequence_ = 0;
    bool stopped_ = false;
};

} // namespace mimosatally::internal
