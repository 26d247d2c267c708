#include "endpointlimit.h"

#include <algorithm>

namespace mimosatally::internal
{

namespace
{
/// \brief Lowest rate of all processes together. Without any request, no answer could say that a limit of zero has ended.
constexpr double MIN_PER_SECOND = 0.25;
/// \brief Smallest part of a limit that is lent. Below it, the requests of one second do not show whether a process needs its part.
constexpr double MIN_LENT_SHARE_PER_SECOND = 2;
/// \brief Multiple of its present sends that a process keeps, and what it keeps beside that, so that it can grow between two reports.
constexpr double SENDS_HEADROOM = 1.25;
constexpr double KEPT_PER_SECOND = 1;
constexpr double RATE_PER_REQUEST = 1000;
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
    return countOfBuckets(BUCKETS, now);
}

int RecentSends::countOfLastSecond(Time now) const
{
    constexpr std::size_t bucketsOfASecondAndTheCurrentOne = 3;
    return countOfBuckets(bucketsOfASecondAndTheCurrentOne, now);
}

int RecentSends::countOfBuckets(std::size_t buckets, Time now) const
{
    const std::int64_t oldest = bucketNumber(now) - static_cast<std::int64_t>(buckets);
    int sends = 0;
    for (const Bucket &bucket : buckets_) {
        sends += bucket.number > oldest ? bucket.sends : 0;
    }
    return sends;
}

LimitChange EndpointLimit::recordAnswer(const EndpointAnswer &answer, Time sentAt, double phase, Time now)
{
    answeredAt_ = now;
    if (answer.requestLimit) {
        namedAt_ = now;
        peerLimitUntil_.reset();
        return setLimit(*answer.requestLimit, phase, now);
    }
    if (!limit_ || answer.requestLimitUnreadable || sentAt < namedAt_) {
        return LimitChange::None;
    }
    end();
    return LimitChange::Ended;
}

void EndpointLimit::end()
{
    limit_.reset();
    loans_.clear();
    peerLimitUntil_.reset();
}

LimitChange EndpointLimit::setLimit(RequestRate rate, double phase, Time now)
{
    if (!limit_) {
        limit_.emplace(rate, RequestPacer(sharePerSecond(rate), phase, now));
        return LimitChange::Named;
    }
    if (limit_->rate == rate) {
        return LimitChange::None;
    }
    limit_->rate = rate;
    limit_->pacer.setRate(sharePerSecond(rate), now);
    return LimitChange::Changed;
}

std::optional<RequestRate> EndpointLimit::rate() const
{
    return limit_ ? std::optional(limit_->rate) : std::nullopt;
}

Time EndpointLimit::namedAt() const
{
    return namedAt_;
}

double EndpointLimit::sharePerSecond(RequestRate rate) const
{
    return std::max(requestsPerSecond(rate), MIN_PER_SECOND) / processCount_;
}

double EndpointLimit::borrowedPerSecond(double share, Time now) const
{
    double lent = 0;
    int lenders = 0;
    for (const auto &[peer, loan] : loans_) {
        const bool valid = loan.perSecond > 0 && now - loan.receivedAt < LOAN_TIME;
        lent += valid ? std::min(loan.perSecond, share) : 0;
        lenders += valid ? 1 : 0;
    }
    return lent / std::max(1, processCount_ - lenders);
}

void EndpointLimit::update(int processCount, int ownSends, Time now)
{
    processCount_ = std::max(1, processCount);
    if (peerLimitUntil_ && now >= *peerLimitUntil_) {
        end();
    }
    if (!limit_) {
        return;
    }
    std::erase_if(loans_, [now](const auto &entry) {
        return now - entry.second.receivedAt >= LOAN_TIME;
    });
    const double share = sharePerSecond(limit_->rate);
    const bool borrows = unused(ownSends) == RequestRate(0);
    limit_->pacer.setRate(share + (borrows ? borrowedPerSecond(share, now) : 0), now);
}

RequestRate EndpointLimit::unused(int ownSends) const
{
    const double share = limit_ ? sharePerSecond(limit_->rate) : 0;
    if (share < MIN_LENT_SHARE_PER_SECOND) {
        return {};
    }
    const double free = share - SENDS_HEADROOM * ownSends - KEPT_PER_SECOND;
    return RequestRate(static_cast<std::int64_t>(std::max(0.0, free) * RATE_PER_REQUEST));
}

void EndpointLimit::recordNotice(std::uint64_t peer, const LimitNotice &notice, double phase, Time now)
{
    const Time named = now - notice.age;
    const bool isNews = answeredAt_ == Time::min() || named > answeredAt_;
    if (isNews && notice.age < PEER_LIMIT_TIME && (!limit_ || peerLimitUntil_)) {
        namedAt_ = std::max(namedAt_, named);
        peerLimitUntil_ = now + PEER_LIMIT_TIME;
        setLimit(notice.limit, phase, now);
    }
    recordLoan(peer, notice.unused, now);
}

bool EndpointLimit::isFromPeer() const
{
    return peerLimitUntil_.has_value();
}

void EndpointLimit::recordLoan(std::uint64_t peer, RequestRate unused, Time now)
{
    if (limit_ && (loans_.size() < MAX_LOANS || loans_.contains(peer))) {
        loans_[peer] = {requestsPerSecond(unused), now};
    }
}

double EndpointLimit::ownPerSecond() const
{
    return limit_ ? limit_->pacer.perSecond() : 0;
}

bool EndpointLimit::permits(Time now) const
{
    return !limit_ || limit_->pacer.hasPermit(now);
}

Duration EndpointLimit::timeToPermit(Time now) const
{
    return limit_ ? limit_->pacer.timeToPermit(now) : Duration(0);
}

void EndpointLimit::take(Time now)
{
    if (limit_) {
        limit_->pacer.take(now);
    }
}

void EndpointLimit::giveBack(Time takenAt, Time now)
{
    if (limit_) {
        limit_->pacer.giveBack(takenAt, now);
    }
}

} // namespace mimosatally::internal
