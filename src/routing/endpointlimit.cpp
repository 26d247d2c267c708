#include "endpointlimit.h"

#include <algorithm>

namespace mimosatally::internal
{

namespace
{
/// \brief Lowest rate of all processes together. Without any request, no answer could say that a limit of zero has ended.
constexpr double MIN_PER_SECOND = 0.25;
} // namespace

std::int64_t RecentSends::bucketNumber(Time time)
{
    return time.time_since_epoch() / BUCKET;
}

void RecentSends::add(Time now)
{
    const std::int64_t number = bucketNumber(now);
    Bucket &bucket = buckets_[static_cast<std::size_t>(number) % BUCKETS];
    if (bucket.number != number) {
        bucket = {number, 0};
    }
    ++bucket.sends;
}

int RecentSends::count(Time now) const
{
    const std::int64_t oldest = bucketNumber(now) - static_cast<std::int64_t>(BUCKETS);
    int sends = 0;
    for (const Bucket &bucket : buckets_) {
        sends += bucket.number > oldest ? bucket.sends : 0;
    }
    return sends;
}

LimitChange EndpointLimit::recordAnswer(const EndpointAnswer &answer, Time sentAt, double phase, Time now)
{
    if (answer.requestLimit) {
        const std::optional<RequestRate> previous = rate_;
        rate_ = answer.requestLimit;
        namedAt_ = now;
        if (!previous) {
            pacer_.emplace(sharePerSecond(), phase, now);
            return LimitChange::Named;
        }
        if (previous == rate_) {
            return LimitChange::None;
        }
        pacer_->setRate(sharePerSecond(), now);
        return LimitChange::Changed;
    }
    if (!rate_ || answer.requestLimitUnreadable || sentAt < namedAt_) {
        return LimitChange::None;
    }
    rate_.reset();
    pacer_.reset();
    return LimitChange::Ended;
}

const std::optional<RequestRate> &EndpointLimit::rate() const
{
    return rate_;
}

Time EndpointLimit::namedAt() const
{
    return namedAt_;
}

double EndpointLimit::sharePerSecond() const
{
    return std::max(requestsPerSecond(*rate_), MIN_PER_SECOND) / processCount_;
}

void EndpointLimit::setProcessCount(int count, Time now)
{
    processCount_ = std::max(1, count);
    if (pacer_) {
        pacer_->setRate(sharePerSecond(), now);
    }
}

double EndpointLimit::ownPerSecond() const
{
    return pacer_ ? pacer_->perSecond() : 0;
}

bool EndpointLimit::permits(Time now) const
{
    return !pacer_ || pacer_->hasPermit(now);
}

Duration EndpointLimit::timeToPermit(Time now) const
{
    return pacer_ ? pacer_->timeToPermit(now) : Duration(0);
}

void EndpointLimit::take(Time now)
{
    if (pacer_) {
        pacer_->take(now);
    }
}

void EndpointLimit::giveBack(Time takenAt, Time now)
{
    if (pacer_) {
        pacer_->giveBack(takenAt, now);
    }
}

} // namespace mimosatally::internal
