#include "dutyleasestate.h"

#include <algorithm>

namespace mimosatally::internal
{

namespace
{
/// \brief Time for an order or a call to arrive before the lease expires.
constexpr Duration LEASE_MARGIN = Duration(500);
/// \brief Generations of one era; the era takes the bits above.
constexpr std::int64_t GENERATIONS_PER_ERA = 1LL << 32;
} // namespace

DutyLeaseState::DutyLeaseState(Options options)
    : options_(options)
{
}

void DutyLeaseState::recordGrant(const Grant &grant, Time sent, Time now)
{
    const bool continues = isValid(now) && grant.era == era_ && grant.generation >= generation_;
    const bool sameGeneration = continues && grant.generation == generation_;
    generation_ = grant.generation;
    era_ = grant.era;
    validUntil_ = grant.holds ? sent + options_.lease : Time::min();
    if (!grant.holds) {
        waitOver_ = false;
        return;
    }
    highestToken_ = std::max(highestToken_, token());
    if (!continues) {
        acquired_ = now;
        waitOver_ = false;
    }
    if (!sameGeneration) {
        generationSince_ = now;
    }
    waitOver_ = waitOver_ || sent >= generationSince_ + options_.lease;
}

void DutyLeaseState::recordRejection(std::int64_t token)
{
    rejectedToken_ = token;
}

void DutyLeaseState::recordDutyRejection(std::int64_t token, Time now)
{
    recordRejection(token);
    rejectedDutyToken_ = std::max(rejectedDutyToken_, token);
    renewFrom_ = now + options_.lease + LEASE_MARGIN;
}

bool DutyLeaseState::isValid(Time now) const
{
    return validUntil_ != Time::min() && now + LEASE_MARGIN < validUntil_;
}

bool DutyLeaseState::covers(const StoreEraTracker &era, Time now) const
{
    // In an era that a restore has begun, the holder of the last era may still count on its lease.
    const bool predecessorExpired = era.current() == StoreEra() || now - era.since() >= options_.lease;
    return isValid(now) && era_ == era.current() && predecessorExpired && token() != rejectedToken_;
}

bool DutyLeaseState::coversOrders(const StoreEraTracker &era, Time now) const
{
    return options_.ordersWait ? coversDuties(era, now) : covers(era, now);
}

bool DutyLeaseState::coversDuties(const StoreEraTracker &era, Time now) const
{
    return covers(era, now) && waitOver_ && token() >= highestToken_ && token() > rejectedDutyToken_;
}

bool DutyLeaseState::mayRenew(Time now) const
{
    return now >= renewFrom_;
}

std::optional<Time> DutyLeaseState::waitsUntil() const
{
    const bool waits = validUntil_ != Time::min() && !waitOver_;
    return waits ? std::optional(generationSince_ + options_.lease) : std::nullopt;
}

std::int64_t DutyLeaseState::token() const
{
    return era_.count() * GENERATIONS_PER_ERA + generation_;
}

std::int64_t DutyLeaseState::generation() const
{
    return generation_;
}

StoreEra DutyLeaseState::era() const
{
    return era_;
}

Time DutyLeaseState::acquired() const
{
    return acquired_;
}

} // namespace mimosatally::internal
