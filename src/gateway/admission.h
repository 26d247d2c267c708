#pragma once

#include <mimosatally/Routing>

#include <optional>

namespace mimosatally::internal
{

/// \brief What decides whether a call is sent now.
struct AdmissionInput {
    /// \brief Predicted time from now to the first byte.
    double firstByteMs = 0;
    /// \brief Part of it that is spent behind other work.
    double queueMs = 0;
    /// \brief Time since the call arrived.
    Duration elapsed = Duration(0);
    Duration remainingTime = Duration(0);
    Duration latencyTarget = Duration(0);
};

/// \brief Admission of one call.
struct AdmissionDecision {
    bool admitted = true;
    /// \brief When a refused call may come back.
    Duration retryAfter = Duration(0);
};

/// \brief Refuses a call at once if its answer would come too late, so that the endpoints' time goes to calls that can be on time.
///
/// Answers the load in which more prompts arrive for seconds than the engines can read: with an open queue every call is late.
class Admission
{
public:
    /// \brief \param jitter number in [0, 1) that spreads the return of refused calls.
    [[nodiscard]] static AdmissionDecision decide(const AdmissionInput &input, double jitter);
};

} // namespace mimosatally::internal
