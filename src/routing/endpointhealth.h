#pragma once

#include <mimosatally/Core>

namespace mimosatally::internal
{

/// \brief Ejects an endpoint after failures and lets it return slowly.
class EndpointHealth
{
public:
    void recordSuccess(Time now);
    void recordFailure(Time now);

    /// \brief Part of the usual load that the endpoint may get, in thousandths; 0 while it is ejected.
    [[nodiscard]] int admittedPermille(Time now) const;

private:
    /// \brief One failure can be the request's fault; a second one in a row is the endpoint's.
    static constexpr int FAILURES_TO_EJECT = 2;
    static constexpr Duration FIRST_EJECTION = Duration(1000);
    static constexpr Duration LONGEST_EJECTION = Duration(30000);
    /// \brief Time from the end of an ejection to full load.
    static constexpr Duration RETURN_TIME = Duration(10000);
    /// \brief Share at the start of the return, enough to learn whether the endpoint works again.
    static constexpr int FIRST_PERMILLE = 50;

    int failures_ = 0;
    Duration ejection_ = FIRST_EJECTION;
    Time ejectedUntil_ = Time::min();
};

} // namespace mimosatally::internal
