#include "endpointlimit.h"

namespace mimosatally::internal
{

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

LimitChange EndpointLimit::recordAnswer(const EndpointAnswer &answer, Time sentAt, Time now)
{
    if (answer.requestLimit) {
        const std::optional<RequestRate> previous = rate_;
        rate_ = answer.requestLimit;
        namedAt_ = now;
        if (!previous) {
            return LimitChange::Named;
        }
        return previous == rate_ ? LimitChange::None : LimitChange::Changed;
    }
    if (!rate_ || answer.requestLimitUnreadable || sentAt < namedAt_) {
        return LimitChange::None;
    }
    rate_.reset();
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

} // namespace mimosatally::internal
