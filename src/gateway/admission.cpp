#include "admission.h"

#include <algorithm>

namespace mimosatally::internal
{

namespace
{
/// \brief Fraction of the latency target that the predicted first byte may use; the rest covers delays that the prediction does not include.
constexpr double MAX_TARGET_FRACTION = 0.75;
/// \brief Fraction of the latency target up to which a queueing delay is no reason to refuse.
constexpr double MAX_QUEUE_FRACTION = 0.5;
/// \brief Fraction of the remaining time that the predicted first byte may use; the rest of the answer takes time as well.
constexpr double MAX_FIRST_BYTE_FRACTION = 0.8;
/// \brief Fraction of the remaining time within which a refused call is retried; a later retry would miss its deadline in any case.
constexpr double MAX_RETRY_FRACTION = 0.33;
constexpr double MIN_RETRY_AFTER_MS = 150;
constexpr double MAX_RETRY_AFTER_MS = 2000;
/// \brief Fraction of the delay over which the retries of refused calls are spread.
constexpr double RETRY_JITTER = 0.4;
} // namespace

AdmissionDecision Admission::decide(const AdmissionInput &input, double jitter)
{
    const auto elapsed = static_cast<double>(input.elapsed.count());
    const auto target = static_cast<double>(input.latencyTarget.count());
    const auto remaining = static_cast<double>(input.remainingTime.count());
    const bool meetsTarget = target <= 0 || elapsed + input.firstByteMs <= target * MAX_TARGET_FRACTION;
    const bool meetsDeadline = input.firstByteMs <= remaining * MAX_FIRST_BYTE_FRACTION;
    // A call that is late because of its own size gains nothing from a retry; only a queue can be shorter later.
    const bool hasLongQueue = input.queueMs > target * MAX_QUEUE_FRACTION;
    AdmissionDecision decision;
    decision.admitted = meetsDeadline && (meetsTarget || !hasLongQueue);
    if (!decision.admitted) {
        // An overload of a few seconds is more likely to be over if the retry comes as late as the call can still be served.
        const double maxDelay = std::clamp(remaining * MAX_RETRY_FRACTION, MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        decision.retryAfter = Duration(static_cast<Duration::rep>(maxDelay * (1 - RETRY_JITTER * jitter)));
    }
    return decision;
}

} // namespace mimosatally::internal
