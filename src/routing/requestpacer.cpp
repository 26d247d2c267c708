#include "requestpacer.h"

#include <algorithm>
#include <cmath>

namespace mimosatally::internal
{

namespace
{
constexpr double MILLISECONDS_PER_SECOND = 1000;

double toClockMs(Time time)
{
    return static_cast<double>(time.time_since_epoch().count());
}
} // namespace

RequestPacer::RequestPacer(double perSecond, double phase, Time now)
    : intervalMs_(MILLISECONDS_PER_SECOND / perSecond)
    , nextMs_(toClockMs(now) + phase * intervalMs_)
{
}

void RequestPacer::setRate(double perSecond, Time now)
{
    const double previousMs = intervalMs_;
    nextMs_ = oldestPermit(now);
    intervalMs_ = MILLISECONDS_PER_SECOND / perSecond;
    const double waitMs = nextMs_ - toClockMs(now);
    if (waitMs > 0) {
        nextMs_ = toClockMs(now) + waitMs * intervalMs_ / previousMs;
    }
}

double RequestPacer::perSecond() const
{
    return MILLISECONDS_PER_SECOND / intervalMs_;
}

double RequestPacer::oldestPermit(Time now) const
{
    const double oldestValidMs = toClockMs(now - PERMIT_LIFETIME);
    const double expired = std::ceil((oldestValidMs - nextMs_) / intervalMs_);
    return nextMs_ + std::max(0.0, expired) * intervalMs_;
}

bool RequestPacer::hasPermit(Time now) const
{
    return oldestPermit(now) <= toClockMs(now);
}

void RequestPacer::take(Time now)
{
    nextMs_ = oldestPermit(now) + intervalMs_;
}

void RequestPacer::giveBack(Time takenAt, Time now)
{
    nextMs_ = oldestPermit(now) - intervalMs_;
    if (now - takenAt <= PERMIT_LIFETIME) {
        nextMs_ = std::max(nextMs_, toClockMs(now - PERMIT_LIFETIME));
    }
}

Duration RequestPacer::timeToPermit(Time now) const
{
    const double waitMs = std::ceil(oldestPermit(now) - toClockMs(now));
    return Duration(static_cast<Duration::rep>(std::max(0.0, waitMs)));
}

} // namespace mimosatally::internal
