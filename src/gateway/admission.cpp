#include "admission.h"

#include <algorithm>

namespace mimosatally::internal
{

namespace
{
/// \brief Part of the latency target that a prediction may use; the rest is for what the prediction does not know.
constexpr double TARGET_PART = 0.75;
/// \brief A queue up to this part of the latency target is no reason to refuse.
constexpr double SHORT_QUEUE_PART = 0.5;
/// \brief Part of the time left that a call may use until its first byte; the rest of the answer needs time as well.
constexpr double LATEST_FIRST_BYTE = 0.8;
/// \brief Callers come back within a third of their time; later than this they would be late in any case.
constexpr double LATEST_RETURN = 0.33;
constexpr double LEAST_RETRY_AFTER_MS = 150;
constexpr double MOST_RETRY_AFTER_MS = 2000;
/// \brief Refused calls return spread over this part of the pause.
constexpr double RETURN_SPREAD = 0.4;
} // namespace

AdmissionDecision Admission::decide(const AdmissionInput &input, double jitter)
{
    const auto elapsed = static_cast<double>(input.elapsed.count());
    const auto target = static_cast<double>(input.latencyTarget.count());
    const auto left = static_cast<double>(input.remainingTime.count());
    const bool onTime = target <= 0 || elapsed + input.firstByteMs <= target * TARGET_PART;
    const bool answerable = input.firstByteMs <= left * LATEST_FIRST_BYTE;
    // A call that is late by its own size is as fast now as it will ever be; only a queue can be shorter later.
    const bool queued = input.queueMs > target * SHORT_QUEUE_PART;
    AdmissionDecision decision;
    decision.admitted = answerable && (onTime || !queued);
    if (!decision.admitted) {
        // Overloads of seconds end sooner for a call that comes back as late as it can still be served.
        const double latest = std::clamp(left * LATEST_RETURN, LEAST_RETRY_AFTER_MS, MOST_RETRY_AFTER_MS);
        decision.retryAfter = Duration(static_cast<Duration::rep>(latest * (1 - RETURN_SPREAD * jitter)));
    }
    return decision;
}

} // namespace mimosatally::internal
