#pragma once

#include "endpointhealth.h"
#include "requestcost.h"

#include <mimosatally/routing/router.h>

#include <deque>

namespace mimosatally::internal
{

/// \brief Engine time in seconds.
using Seconds = double;

/// \brief Speeds of an engine in its current role, in tokens per second.
struct PhaseSpeeds {
    double prefill = 0;
    double decode = 0;
};

/// \brief Estimates the load of one endpoint from its reports and from this process's own dispatches.
class EndpointEstimate
{
public:
    explicit EndpointEstimate(Endpoint endpoint);

    void setConfiguration(const Endpoint &endpoint);
    void setPresent(bool present)
    {
        present_ = present;
    }
    void setLeaving(bool leaving)
    {
        leaving_ = leaving;
    }
    void reportLoad(const EndpointLoad &load, Time now);
    void recordDispatch(const RouteRequest &request, Seconds seconds, Time now);

    struct OwnDispatch {
        RequestId request;
        CustomerId customer;
        ModelId model;
        Time at;
        Seconds seconds = 0;
    };
    /// \return the finished dispatch; empty if it is unknown.
    std::optional<OwnDispatch> recordResult(const RequestId &request, AttemptResult result, Time now);

    /// \brief Fraction of the usual load that the endpoint may get now, in thousandths.
    [[nodiscard]] int admittedPermille(Time now) const;

    /// \brief Expected remaining engine time of all requests at the endpoint.
    [[nodiscard]] Seconds pendingWork(Time now) const;
    /// \brief Expected time until the endpoint starts another request.
    [[nodiscard]] Seconds startWait(Time now) const;
    /// \brief Engine time of \a request without the \a cached prompt tokens.
    [[nodiscard]] Seconds serviceTime(const RouteRequest &request, Tokens cached) const;

    /// \brief Expected number of requests that wait or run at the endpoint.
    [[nodiscard]] std::size_t activeRequests() const;

    [[nodiscard]] const Endpoint &configuration() const
    {
        return configuration_;
    }

private:
    [[nodiscard]] PhaseSpeeds speeds() const;
    [[nodiscard]] RequestCost costs() const;
    [[nodiscard]] Seconds reportedWork(const EndpointLoad &load) const;
    void pruneDispatches(Time now);

    Endpoint configuration_;
    EndpointLoad load_;
    /// \brief Time at which the endpoint measured the reported load.
    Time reportedAt_ = Time::min();
    Seconds reportedWork_ = 0;
    std::deque<OwnDispatch> ownDispatches_;
    /// \brief Sum of the engine times in `ownDispatches_`.
    Seconds ownUnfinishedWork_ = 0;
    /// \brief Part of `ownUnfinishedWork_` that was dispatched after the last report, which therefore does not contain it.
    Seconds ownWorkSinceReport_ = 0;
    std::size_t ownCountSinceReport_ = 0;
    /// \brief Engine time of own requests, from which that of reported requests is estimated.
    RequestCost requestCost_;
    EndpointHealth health_;
    bool present_ = true;
    bool leaving_ = false;
};

} // namespace mimosatally::internal
