#pragma once

#include "agentdecisions.h"
#include "agentrequest.h"

#include <mimosatally/Config>
#include <mimosatally/Placement>
#include <mimosatally/Queueing>

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace mimosatally::internal
{

/// \brief Limits on the waiting and running requests of one agent.
struct QueueLimits {
    std::size_t maxRequests = 4096;
    /// \brief Limit on the sum of the bodies of waiting and running requests.
    std::size_t maxBytes = std::size_t(8) * 1024 * 1024;
};

/// \brief Requests of one endpoint from submit to outcome: calls the Scheduler and records each call.
class RequestQueue
{
public:
    using Request = std::shared_ptr<AgentRequest>;

    RequestQueue(EndpointId endpoint, AgentDecisions &decisions, QueueLimits limits);

    /// \brief Applies contracts, costs and capacity. A changed capacity takes effect once nothing waits or runs.
    void configure(const Configuration &configuration, EndpointCapacity capacity, Time now);

    [[nodiscard]] bool isConfigured() const;

    /// \brief Adds a request. \return its outcome if it is refused; empty if it waits.
    std::optional<RequestOutcome> add(const Request &request, Time now);

    /// \brief Refuses requests that cannot start in time, and dispatches others while the endpoint has free capacity.
    void advance(Time now);

    /// \brief Ends a dispatched request.
    void complete(const Request &request, const CompletedInputs &result, Time now);

    /// \brief Ends a waiting request as cancelled; a dispatched one runs on. \return the request's progress, which is reported to the caller.
    CancelWord cancel(const Request &request, Time now);

    /// \brief Records a refusal that was decided before the request reached the queue.
    void recordRefusal(const AgentRequest &request, const RequestOutcome &outcome, Time now);

    void setRemoteService(std::vector<CustomerService> served, Time now);

    /// \brief Sets the callback that is called with the start deadline of each queued request.
    void onQueued(std::function<void(Time)> callback);

    /// \brief Stops or resumes dispatching, for example during an order.
    void setPaused(bool paused);

    /// \brief Returns the request if it has not ended; otherwise null.
    [[nodiscard]] Request find(const RequestId &id) const;

    [[nodiscard]] QueueLoad load() const;

    /// \brief Expected work of all requests that were queued since the process started.
    [[nodiscard]] const DemandReport &arrived() const;

    [[nodiscard]] std::vector<CustomerService> service() const;
    [[nodiscard]] std::optional<Time> nextDeadline() const;
    [[nodiscard]] bool isEmpty() const;
    [[nodiscard]] std::size_t running() const;

private:
    void buildScheduler(Time now);
    void recordConfiguration(Time now);
    void applyPendingCapacity(Time now);
    void refuse(const Refusal &refusal, Time now);
    /// \brief Ends a waiting request with its refusal.
    void end(const Request &request, RequestOutcome refusal, Time now);
    void remove(const Request &request);
    Scheduler &scheduler();
    void setState(AgentRequest &request, RequestState state);

    EndpointId endpoint_;
    AgentDecisions &decisions_;
    QueueLimits limits_;
    std::optional<Scheduler> scheduler_;
    std::vector<Contract> contracts_;
    TokenCosts costs_;
    EndpointCapacity capacity_;
    std::optional<EndpointCapacity> pendingCapacity_;
    std::unordered_map<RequestId, Request> requests_;
    std::size_t bytes_ = 0;
    DemandReport arrived_;
    std::size_t running_ = 0;
    bool paused_ = false;
    std::function<void(Time)> onQueued_;
};

} // namespace mimosatally::internal
