#include "phaserouterimpl.h"
#include "phasetimes.h"

#include <algorithm>

namespace mimosatally
{

using internal::Distance;
using internal::ForeignLoad;
using internal::freshness;
using internal::updateMean;

namespace
{
/// \brief Time of a KV cache transfer relative to one within a data centre.
constexpr double SAME_REGION_TRANSFER_FACTOR = 2;
constexpr double OTHER_REGION_TRANSFER_FACTOR = 10;
/// \brief Age at which the reported load of one endpoint is no longer used.
constexpr Duration REPORT_LIFETIME = Duration(400);
/// \brief Age at which the mean load of a service is no longer used; it changes more slowly than the load of one endpoint.
constexpr Duration MEAN_LOAD_LIFETIME = Duration(1000);
/// \brief Share of a deviation that corrects a backlog; the remainder is attributed to the attempt itself.
constexpr double CORRECTION_SHARE = 1.0;
/// \brief Time since the last datagram of a peer after which the prefills of peers are considered unknown.
constexpr Duration MAX_PEER_SILENCE = Duration(3000);
} // namespace

namespace internal
{
void Backlog::add(double milliseconds, Time now)
{
    workMs_ = remainingMs(now) + milliseconds;
    updatedAt_ = now;
}

double Backlog::corrections() const
{
    return corrections_;
}

void Backlog::correct(double lateMs, double correctionsBefore, Time now)
{
    const double uncorrectedMs = lateMs - (corrections_ - correctionsBefore);
    const double previousMs = remainingMs(now);
    workMs_ = std::max(0.0, previousMs + CORRECTION_SHARE * uncorrectedMs);
    corrections_ += workMs_ - previousMs;
    updatedAt_ = now;
}

double Backlog::remainingMs(Time now) const
{
    return updatedAt_ == Time::min() ? 0 : std::max(0.0, workMs_ - toMs(now - updatedAt_));
}
} // namespace internal

Distance PhaseRouter::Impl::distanceTo(const DataCentreId &dataCentre) const
{
    return distanceBetween(location.dataCentre, dataCentre);
}

Distance PhaseRouter::Impl::distanceBetween(const DataCentreId &first, const DataCentreId &second) const
{
    if (first == second) {
        return Distance::SameDataCentre;
    }
    const RegionId firstRegion = location.regionOf(first);
    return !firstRegion.empty() && firstRegion == location.regionOf(second) ? Distance::SameRegion : Distance::OtherRegion;
}

ForeignLoad PhaseRouter::Impl::foreignLoad(const Endpoint &endpoint, Time now) const
{
    const double reportWeight = freshness(endpoint.reportedAt, now, REPORT_LIFETIME);
    ForeignLoad result {endpoint.foreign.requests * reportWeight, endpoint.foreign.waiting * reportWeight};
    const auto mean = meanLoads.find({endpoint.record.service, endpoint.record.phase});
    if (mean != meanLoads.end()) {
        const double meanWeight = (1 - reportWeight) * freshness(mean->second.reportedAt, now, MEAN_LOAD_LIFETIME);
        result.requests += mean->second.load.requests * meanWeight;
        result.waiting += mean->second.load.waiting * meanWeight;
    }
    return result;
}

double PhaseRouter::Impl::meanWaiting(const ServiceId &service, EnginePhase phase, Time now) const
{
    const auto mean = meanLoads.find({service, phase});
    return mean == meanLoads.end() ? 0 : mean->second.load.waiting * freshness(mean->second.reportedAt, now, MEAN_LOAD_LIFETIME);
}

double PhaseRouter::Impl::delayMs(const ServiceId &service, AttemptWork work, Time now) const
{
    const auto found = delays.find({service, work});
    return found == delays.end() ? 0 : found->second.ms * freshness(found->second.observedAt, now, MEAN_LOAD_LIFETIME);
}

void PhaseRouter::Impl::recordDelay(const Attempt &attempt, const Endpoint &endpoint, double unexplainedMs, Time now)
{
    internal::ObservedDelay &delay = delays[{endpoint.record.service, attempt.work}];
    delay.ms *= freshness(delay.observedAt, now, MEAN_LOAD_LIFETIME);
    updateMean(delay.ms, std::max(0.0, unexplainedMs));
    delay.observedAt = now;
}

double PhaseRouter::Impl::expectedPrefillMs(const Endpoint &endpoint, AttemptWork work, Tokens prompt, CachedPrefix cache, double fetchMs)
{
    const internal::EngineModel &model = *endpoint.model;
    const double hitProbability = model.hitProbability(cache.estimate);
    const double hitMs = fetchMs + model.prefillMs(work, {prompt, cache.tokens});
    return hitProbability * hitMs + (1 - hitProbability) * model.prefillMs(work, {prompt, Tokens(0)});
}

double PhaseRouter::Impl::queueMs(const Endpoint &endpoint, Time now) const
{
    const EnginePhase phase = endpoint.record.phase.value_or(EnginePhase::Decode);
    const ForeignLoad foreign = foreignLoad(endpoint, now);
    const double requests = phase == EnginePhase::Prefill ? foreign.requests : foreign.waiting;
    const double prefillMs = endpoint.model->meanPrefillMs(phase);
    const double backlogMs = endpoint.prefillBacklog.remainingMs(now);
    const double reportedMs = requests * prefillMs * prefillFactor(endpoint, now);
    // The backlog contains the prefills that peers have announced; a report also contains those that were not announced.
    return freshness(lastPeerDatagram, now, MAX_PEER_SILENCE) > 0 ? std::max(backlogMs, reportedMs) : backlogMs + reportedMs;
}

double PhaseRouter::Impl::slotWaitMs(const Endpoint &endpoint, Time now) const
{
    const double requests = endpoint.ownAttempts + foreignLoad(endpoint, now).requests;
    const double slots = endpoint.record.slots;
    return requests < slots ? 0 : endpoint.model->generationMs() * timeFactor(endpoint, now) / slots * (requests - slots + 1);
}

double PhaseRouter::Impl::transferMs(const Endpoint &from, const Endpoint &to, Tokens tokens) const
{
    const auto profile = engineProfiles.find(to.record.service);
    if (profile == engineProfiles.end() || profile->second.linkBitsPerMs <= 0) {
        return 0;
    }
    constexpr double bitsPerByte = 8;
    const double bits = static_cast<double>(tokens.count()) * static_cast<double>(profile->second.bytesPerToken.count()) * bitsPerByte;
    double factor = 1;
    switch (distanceBetween(from.record.dataCentre, to.record.dataCentre)) {
    case Distance::SameDataCentre:
        break;
    case Distance::SameRegion:
        factor = SAME_REGION_TRANSFER_FACTOR;
        break;
    case Distance::OtherRegion:
        factor = OTHER_REGION_TRANSFER_FACTOR;
        break;
    }
    return bits / profile->second.linkBitsPerMs * factor;
}

} // namespace mimosatally
