#pragma once

#include <mimosatally/Routing>

#include <optional>

namespace mimosatally::internal
{

/// \brief Predicted and available times by which a call is admitted or refused.
struct AdmissionInput {
    /// \brief Predicted time from now to the first byte.
    double firstByteMs = 0;
    /// \brief Part of `firstByteMs` that the call waits behind other requests.
    double queueMs = 0;
    /// \brief Time since the call arrived.
    Duration elapsed = Duration(0);
    Duration remainingTime = Duration(0);
    Duration latencyTarget = Duration(0);
};

struct AdmissionDecision {
    bool admitted = true;
    /// \brief Time after which the caller may retry a refused call.
    Duration retryAfter = Duration(0);
};

/// \brief Refuses a call on arrival if its answer is predicted to be late, so that endpoint capacity goes to calls that can be on time.
///
/// Sheds load in overloads of several seconds, in which prompts arrive faster than the engines can prefill them: with an unbounded queue,
/// every call would be late.
class Admission
{
public:
    /// \param jitter number in [0, 1) that spreads the retries of refused calls.
    [[nodiscard]] static AdmissionDecision decide(const AdmissionInput &input, double jitter);
};

} // namespace mimosatally::internal
