#pragma once

#include <mimosatally/Core>

#include <optional>

namespace mimosatally
{

/// \brief Load that an endpoint reports with an answer.
struct ReportedLoad {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// \brief Time that work takes on the endpoint's machine at this moment, relative to the usual one; empty if the endpoint does not report it.
    std::optional<double> relativeTime = std::nullopt;
};

/// \brief Status and header fields of an answer that determine its handling.
struct EndpointAnswer {
    unsigned status = 0;
    /// \brief Request that the answer belongs to; empty if the endpoint did not name it.
    RequestId request;
    /// \brief The endpoint asserts that it has not run the call and never will.
    bool notExecuted = false;
    /// \brief The answer carries a proof that the endpoint itself produced it.
    bool sealed = false;
    std::optional<ReportedLoad> load;
    /// \brief The answer reports a load that cannot be read.
    bool loadUnreadable = false;
    /// \brief Time for which the endpoint keeps an idle connection open.
    std::optional<Duration> keepAlive;
    /// \brief The endpoint accepts no new calls and will exit.
    bool leaving = false;
    /// \brief Set if the endpoint rejected the call: time for which this process must send it no calls.
    std::optional<Duration> retryAfter;
    /// \brief Requests that the endpoint takes from all processes together; empty if the answer names no limit.
    std::optional<RequestRate> requestLimit;
    /// \brief The answer names a limit that cannot be read.
    bool requestLimitUnreadable = false;
};

} // namespace mimosatally
