#include "endpointhealth.h"

#include <algorithm>

namespace mimosatally::internal
{

void EndpointHealth::recordSuccess(Time now)
{
    failures_ = 0;
    if (admittedPermille(now) == 1000) {
        ejection_ = FIRST_EJECTION;
    }
}

void EndpointHealth::recordFailure(Time now)
{
    ++failures_;
    const bool returning = admittedPermille(now) < 1000;
    if (failures_ < FAILURES_TO_EJECT && !returning) {
        return;
    }
    if (now < ejectedUntil_) {
        // Requests sent before the ejection fail late and say nothing new.
        return;
    }
    ejectedUntil_ = now + ejection_;
    ejection_ = std::min(ejection_ * 2, LONGEST_EJECTION);
}

int EndpointHealth::admittedPermille(Time now) const
{
    if (ejectedUntil_ == Time::min()) {
        return 1000;
    }
    if (now < ejectedUntil_) {
        return 0;
    }
    const auto returned = (now - ejectedUntil_).count() * 1000 / RETURN_TIME.count();
    return static_cast<int>(std::clamp<std::int64_t>(returned, FIRST_PERMILLE, 1000));
}

} // namespace mimosatally::internal
