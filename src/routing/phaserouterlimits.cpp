#include "phaserouterimpl.h"
#include "phasetimes.h"

#include <algorithm>
#include <limits>

namespace mimosatally
{

using internal::toMs;

namespace
{
/// \brief Latest time of return for calls that are refused because of request limits; later ones would find other limits.
constexpr Duration MAX_RETURN_TIME = Duration(2000);
} // namespace

void PhaseRouter::setProcessCount(int count, Time now)
{
    if (count == impl_->processCount) {
        return;
    }
    impl_->processCount = count;
    for (auto &[id, endpoint] : impl_->endpoints) {
        endpoint.limit.setProcessCount(count, now);
    }
}

double PhaseRouter::Impl::limitPhase(const Endpoint &endpoint) const
{
    return static_cast<double>(internal::mix(seed ^ internal::hashOf(endpoint.record.id))) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

bool PhaseRouter::reserveRequest(const EndpointId &endpoint, Time now)
{
    const auto found = impl_->endpoints.find(endpoint);
    if (found == impl_->endpoints.end() || !found->second.limit.rate()) {
        return false;
    }
    found->second.limit.take(now);
    return true;
}

void PhaseRouter::returnRequest(const EndpointId &endpoint, Time reservedAt, Time now)
{
    const auto found = impl_->endpoints.find(endpoint);
    if (found != impl_->endpoints.end()) {
        found->second.limit.giveBack(reservedAt, now);
    }
}

std::optional<RequestLimitUse> PhaseRouter::requestLimit(const EndpointId &endpoint, Time now) const
{
    const auto found = impl_->endpoints.find(endpoint);
    if (found == impl_->endpoints.end() || !found->second.limit.rate()) {
        return std::nullopt;
    }
    const Impl::Endpoint &state = found->second;
    return RequestLimitUse {
        endpoint, *state.limit.rate(), now - state.limit.namedAt(), state.limit.ownPerSecond(), state.sentPrefills.count(now), state.sentRuns.count(now)};
}

std::vector<RequestLimitUse> PhaseRouter::requestLimits(Time now) const
{
    std::vector<RequestLimitUse> result;
    for (const auto &[id, endpoint] : impl_->endpoints) {
        if (endpoint.limit.rate()) {
            result.push_back(*requestLimit(id, now));
        }
    }
    return result;
}

std::optional<Duration> PhaseRouter::Impl::timeToAcceptance(const ServiceFleet &fleet, Time now)
{
    std::optional<Duration> shortest;
    for (const auto *part : {&fleet.near, &fleet.far}) {
        for (const Endpoint *endpoint : *part) {
            const Duration wait = std::max(endpoint->pausedUntil == Time::min() ? Duration(0) : endpoint->pausedUntil - now, endpoint->limit.timeToPermit(now));
            const bool remainsInService = !endpoint->record.leaving && !endpoint->announcedLeaving && endpoint->record.phase != EnginePhase::Prefill;
            if (remainsInService && wait > Duration(0) && (!shortest || wait < *shortest)) {
                shortest = wait;
            }
        }
    }
    return shortest;
}

std::optional<Duration> PhaseRouter::Impl::returnTime(const ServiceId &service, const ServiceFleet &fleet, Time now)
{
    const std::optional<Duration> wait = timeToAcceptance(fleet, now);
    double perSecond = 0;
    for (const auto *part : {&fleet.near, &fleet.far}) {
        for (const Endpoint *endpoint : *part) {
            perSecond += endpoint->record.phase == EnginePhase::Prefill ? 0 : endpoint->limit.ownPerSecond();
        }
    }
    if (!wait || perSecond <= 0) {
        return wait;
    }
    const Duration interval = Duration(static_cast<Duration::rep>(toMs(std::chrono::seconds(1)) / perSecond));
    Time &last = lastReturn[service];
    last = std::clamp(last + interval, now + *wait, now + std::max(*wait, MAX_RETURN_TIME));
    return last - now;
}

} // namespace mimosatally
