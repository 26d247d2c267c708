#include "endpointhealth.h"

#include <algorithm>

namespace mimosatally::internal
{

void EndpointHealth::recordSuccess(Time now)
{
    failures_ = 0;
    if (admittedPermille(now) == 1000) {
        ejection_ = INITIAL_EJECTION;
    }
}

void EndpointHealth::recordFailure(Time now)
{
    ++failures_;
    const bool isRampingUp = admittedPermille(now) < 1000;
    if (failures_ < FAILURES_TO_EJECT && !isRampingUp) {
        return;
    }
    if (now < ejectedUntil_) {
        // Late failures of requests sent before the ejection carry no new information.
        return;
    }
    ejectedUntil_ = now + ejection_;
    ejection_ = std::min(ejection_ * 2, MAX_EJECTION);
}

int EndpointHealth::admittedPermille(Time now) const
{
    if (ejectedUntil_ == Time::min()) {
        return 1000;
    }
    if (now < ejectedUntil_) {
        return 0;
    }
    const auto permille = (now - ejectedUntil_).count() * 1000 / RAMP_UP_TIME.count();
    return static_cast<int>(std::clamp<std::int64_t>(permille, INITIAL_PERMILLE, 1000));
}

} // namespace mimosatally::internal
