#include "kinddemand.h"

#include <algorithm>
#include <cmath>

namespace mimosatally::internal
{

namespace
{
/// \brief Weight of a new value in a mean.
constexpr double MEAN_WEIGHT = 0.1;
/// \brief Standard deviations of the number of calls in progress that are kept free above its mean.
constexpr double CHANCE_MARGIN = 1.0;
/// \brief Demand counts as ended after this many mean intervals without a call; by chance, an interval is as long once in twenty times.
constexpr double MAX_SILENT_INTERVALS = 3;

void updateMean(double &mean, double value)
{
    mean = mean == 0 ? value : mean + MEAN_WEIGHT * (value - mean);
}
} // namespace

void KindDemand::recordArrival(Time now)
{
    arrivals_.add(1, now);
    latestArrivals_.add(1, now);
    lastArrival_ = now;
}

void KindDemand::recordRefusal(Time now)
{
    refusals_.add(1, now);
}

void KindDemand::recordStart(double ownMs, Time now)
{
    starts_.add(1, now);
    latestStarts_.add(1, now);
    ++inProgress_;
    updateMean(meanOwnMs_, ownMs);
}

void KindDemand::recordEnd(Duration held)
{
    // A service that was configured again begins without the calls that were in progress before.
    inProgress_ = std::max(0, inProgress_ - 1);
    updateMean(meanHeldMs_, static_cast<double>(held.count()));
}

double KindDemand::neededSlots(Time now) const
{
    // The rate at the last arrival tells how long an interval without a call may be.
    const double rate = arrivals_.perMs(lastArrival_);
    if (rate <= 0 || static_cast<double>((now - lastArrival_).count()) * rate > MAX_SILENT_INTERVALS) {
        return 0;
    }
    const double mean = arrivals_.perMs(now) * meanHeldMs_;
    return mean + CHANCE_MARGIN * std::sqrt(mean);
}

double KindDemand::servedShare(Time now) const
{
    const double all = decided(now);
    return all <= 0 ? 1 : starts_.value(now) / all;
}

double KindDemand::decided(Time now) const
{
    return starts_.value(now) + refusals_.value(now);
}

double KindDemand::startedSlotMs(Time now) const
{
    return starts_.value(now) * meanHeldMs_;
}

int KindDemand::inProgress() const
{
    return inProgress_;
}

double KindDemand::meanOwnMs() const
{
    return meanOwnMs_;
}

double KindDemand::startsPerMs(Time now) const
{
    return latestStarts_.perMs(now);
}

double KindDemand::arrivalsPerMs(Time now) const
{
    return latestArrivals_.perMs(now);
}

} // namespace mimosatally::internal
