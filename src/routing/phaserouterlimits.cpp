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
constexpr Duration LIMIT_UPDATE_INTERVAL = Duration(100);
} // namespace

void PhaseRouter::setProcessCount(int count, Time now)
{
    if (count == impl_->processCount && impl_->limitsUpdatedAt != Time::min() && now - impl_->limitsUpdatedAt < LIMIT_UPDATE_INTERVAL) {
        return;
    }
    impl_->processCount = count;
    impl_->limitsUpdatedAt = now;
    for (auto &[id, endpoint] : impl_->endpoints) {
        Impl::updateLimit(endpoint, count, now);
    }
}

void PhaseRouter::Impl::updateLimit(Endpoint &endpoint, int processCount, Time now)
{
    const int sends = endpoint.limit.rate() ? sendsOfLastSecond(endpoint, now) : 0;
    endpoint.limit.update(processCount, sends, now);
}

int PhaseRouter::Impl::sendsOfLastSecond(const Endpoint &endpoint, Time now)
{
    return endpoint.sentPrefills.countOfLastSecond(now) + endpoint.sentRuns.countOfLastSecond(now);
}

std::vector<LimitNotice> PhaseRouter::limitNotices(Time now) const
{
    std::vector<LimitNotice> notices;
    for (const auto &[id, endpoint] : impl_->endpoints) {
        const std::optional<RequestRate> rate = endpoint.limit.rate();
        if (rate) {
            const RequestRate unused = endpoint.limit.unused(Impl::sendsOfLastSecond(endpoint, now));
            notices.push_back({internal::hashOf(id), endpoint.record.startedAt, *rate, now - endpoint.limit.namedAt(), unused});
        }
    }
    return notices;
}

void PhaseRouter::recordLimitNotice(std::uint64_t peer, const LimitNotice &notice, Time now)
{
    const auto found = impl_->endpointOfHash.find(notice.endpoint);
    if (found != impl_->endpointOfHash.end() && found->second->record.startedAt == notice.startedAt) {
        found->second->limit.recordNotice(peer, notice, impl_->limitPhase(*found->second), now);
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

bool PhaseRouter::acceptsRequest(const EndpointId &endpoint, Time now) const
{
    const auto found = impl_->endpoints.find(endpoint);
    return found == impl_->endpoints.end() || (now >= found->second.pausedUntil && found->second.limit.permits(now));
}

std::optional<RequestLimitUse> PhaseRouter::requestLimit(const EndpointId &endpoint, Time now) const
{
    const auto found = impl_->endpoints.find(endpoint);
    const std::optional<RequestRate> rate = found == impl_->endpoints.end() ? std::nullopt : found->second.limit.rate();
    if (!rate) {
        return std::nullopt;
    }
    const Impl::Endpoint &state = found->second;
    return RequestLimitUse {endpoint,
                            *rate,
                            now - state.limit.namedAt(),
                            state.limit.isFromPeer(),
                            state.limit.ownPerSecond(),
                            state.sentPrefills.count(now),
                            state.sentRuns.count(now)};
}

std::vector<RequestLimitUse> PhaseRouter::requestLimits(Time now) const
{
    std::vector<RequestLimitUse> result;
    for (const auto &[id, endpoint] : impl_->endpoints) {
        if (const std::optional<RequestLimitUse> use = requestLimit(id, now)) {
            result.push_back(*use);
        }
    }
    return result;
}

std::optional<Duration> PhaseRouter::Impl::timeToAcceptance(const std::vector<const Endpoint *> &fitting, Time now)
{
    std::optional<Duration> shortest;
    for (const Endpoint *endpoint : fitting) {
        const Duration wait = std::max(endpoint->pausedUntil == Time::min() ? Duration(0) : endpoint->pausedUntil - now, endpoint->limit.timeToPermit(now));
        const bool remainsInService = !endpoint->record.leaving && !endpoint->announcedLeaving && endpoint->record.phase != EnginePhase::Prefill;
        if (remainsInService && wait > Duration(0) && (!shortest || wait < *shortest)) {
            shortest = wait;
        }
    }
    return shortest;
}

std::optional<Duration> PhaseRouter::Impl::returnTime(const ServiceId &service, const std::vector<const Endpoint *> &fitting, Time now)
{
    const std::optional<Duration> wait = timeToAcceptance(fitting, now);
    double perSecond = 0;
    for (const Endpoint *endpoint : fitting) {
        perSecond += endpoint->record.phase == EnginePhase::Prefill ? 0 : endpoint->limit.ownPerSecond();
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
