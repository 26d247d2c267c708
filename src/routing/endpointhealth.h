#pragma once

#include <mimosatally/Core>

namespace mimosatally::internal
{

/// \brief Ejects an endpoint after consecutive failures and ramps its load up again afterwards.
class EndpointHealth
{
public:
    void recordSuccess(Time now);
    void recordFailure(Time now);

    /// \brief Fraction of the usual load that the endpoint may get, in thousandths; 0 while it is ejected.
    [[nodiscard]] int admittedPermille(Time now) const;

private:
    /// \brief A single failure may be caused by the request; two in a row are attributed to the endpoint.
    static constexpr int FAILURES_TO_EJECT = 2;
    static constexpr Duration INITIAL_EJECTION = Duration(1000);
    static constexpr Duration MAX_EJECTION = Duration(30000);
    /// \brief Time from the end of an ejection to full load.
    static constexpr Duration RAMP_UP_TIME = Duration(10000);
    /// \brief Fraction of the usual load when the ramp-up begins, enough to detect whether the endpoint works again.
    static constexpr int INITIAL_PERMILLE = 50;

    int failures_ = 0;
    Duration ejection_ = INITIAL_EJECTION;
    Time ejectedUntil_ = Time::min();
};

} // namespace mimosatally::internal
