#pragma once

#include "endpointhealth.h"
#include "requestcost.h"

#include <mimosatally/routing/router.h>

#include <deque>

namespace mimosatally::internal
{

/// \brief Seconds of engine time.
using Seconds = double;

/// \brief Speed of an engine in tokens per second, in its present role.
struct PhaseSpeeds {
    double prefill = 0;
    double decode = 0;
};

/// \brief What the router knows and assumes about one endpoint.
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
    /// \return the dispatch that ended; nothing if it is unknown.
    std::optional<OwnDispatch> recordResult(const RequestId &request, AttemptResult result, Time now);

    /// \brief Part of the usual load that the endpoint may get now, in thousandths.
    [[nodiscard]] int admittedPermille(Time now) const;

    /// \brief Engine time of everything that the endpoint is expected to still have before it.
    [[nodiscard]] Seconds pendingWork(Time now) const;
    /// \brief Expected time until the endpoint starts another request.
    [[nodiscard]] Seconds startWait(Time now) const;
    /// \brief Engine time of \a request without the \a cached prompt tokens.
    [[nodiscard]] Seconds serviceTime(const RouteRequest &request, Tokens cached) const;

    /// \brief Requests that are expected to wait or run there.
    [[nodiscard]] std::size_t activeRequests() const;

    [[nodiscard]] const Endpoint &configuration() const
    {
        return configuration_;
    }

private:
    [[nodiscard]] PhaseSpeeds speeds() const;
    [[nodiscard]] RequestCost costs() const;
    [[nodiscard]] Seconds reportedWork(const EndpointLoad &load) const;
    void forgetOldDispatches(Time now);

    Endpoint configuration_;
    EndpointLoad load_;
    /// \brief When the reported load was taken.
    Time reportTaken_ = Time::min();
    Seconds reportedWork_ = 0;
    std::deque<OwnDispatch> own_;
    Seconds ownUnfinished_ = 0;
    /// \brief Of these, what the last report cannot contain.
    Seconds ownSinceReport_ = 0;
    std::size_t ownCountSinceReport_ = 0;
    /// \brief Engine time of own requests; measures reported requests.
    RequestCost requestCost_;
    EndpointHealth health_;
    bool present_ = true;
    bool leaving_ = false;
};

} // namespace mimosatally::internal
