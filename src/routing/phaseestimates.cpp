#include "phaserouterimpl.h"
#include "phasetimes.h"

#include <algorithm>

namespace mimosatally
{

using internal::Distance;
using internal::ForeignLoad;
using internal::freshness;
using internal::learn;

namespace
{
/// \brief Transfers of cache take so many times longer than within a data centre.
constexpr double SAME_REGION_TRANSFER_FACTOR = 2;
constexpr double OTHER_REGION_TRANSFER_FACTOR = 10;
/// \brief A reported load says little about the time after this.
constexpr Duration REPORT_LIFETIME = Duration(400);
/// \brief The mean of a service changes more slowly than the load of one endpoint.
constexpr Duration MEAN_LOAD_LIFETIME = Duration(1000);
/// \brief Part of a deviation by which a backlog is corrected; the rest may be the attempt's own.
constexpr double CORRECTION_PART = 1.0;
/// \brief Without a datagram for so long this process does not know the others' readings.
constexpr Duration PEERS_LIFETIME = Duration(3000);
} // namespace

namespace internal
{
void Backlog::add(double milliseconds, Time now)
{
    milliseconds_ = leftMs(now) + milliseconds;
    since_ = now;
}

double Backlog::corrections() const
{
    return corrections_;
}

void Backlog::correct(double lateMs, double correctionsBefore, Time now)
{
    const double unknown = lateMs - (corrections_ - correctionsBefore);
    const double before = leftMs(now);
    milliseconds_ = std::max(0.0, before + CORRECTION_PART * unknown);
    corrections_ += milliseconds_ - before;
    since_ = now;
}

double Backlog::leftMs(Time now) const
{
    return since_ == Time::min() ? 0 : std::max(0.0, milliseconds_ - toMs(now - since_));
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
    const double own = freshness(endpoint.reportedAt, now, REPORT_LIFETIME);
    ForeignLoad result {endpoint.foreign.requests * own, endpoint.foreign.waiting * own};
    const auto mean = meanLoads.find({endpoint.record.service, endpoint.record.phase});
    if (mean != meanLoads.end()) {
        const double others = (1 - own) * freshness(mean->second.reportedAt, now, MEAN_LOAD_LIFETIME);
        result.requests += mean->second.load.requests * others;
        result.waiting += mean->second.load.waiting * others;
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

void PhaseRouter::Impl::observeDelay(const Attempt &attempt, const Endpoint &endpoint, double unexplainedMs, Time now)
{
    internal::ObservedDelay &delay = delays[{endpoint.record.service, attempt.work}];
    delay.ms *= freshness(delay.observedAt, now, MEAN_LOAD_LIFETIME);
    learn(delay.ms, std::max(0.0, unexplainedMs));
    delay.observedAt = now;
}

double PhaseRouter::Impl::expectedPrefillMs(const Endpoint &endpoint, AttemptWork work, Tokens prompt, CachedPrefix cache, double fetchMs)
{
    const internal::EngineModel &model = *endpoint.model;
    const double probability = model.hitProbability(cache.estimate);
    const double hit = fetchMs + model.prefillMs(work, {prompt, cache.tokens});
    return probability * hit + (1 - probability) * model.prefillMs(work, {prompt, Tokens(0)});
}

double PhaseRouter::Impl::queueMs(const Endpoint &endpoint, Time now) const
{
    const EnginePhase phase = endpoint.record.phase.value_or(EnginePhase::Decode);
    const ForeignLoad foreign = foreignLoad(endpoint, now);
    const double requests = phase == EnginePhase::Prefill ? foreign.requests : foreign.waiting;
    const double reading = endpoint.model->meanReadingMs(phase);
    const double told = endpoint.readBacklog.leftMs(now);
    const double reported = requests * reading * endpoint.slowness;
    // What peers told is in the backlog; a report shows what they could not tell.
    return freshness(peersHeardAt, now, PEERS_LIFETIME) > 0 ? std::max(told, reported) : told + reported;
}

double PhaseRouter::Impl::slotWaitMs(const Endpoint &endpoint, Time now) const
{
    const double requests = endpoint.ownAttempts + foreignLoad(endpoint, now).requests;
    const double slots = endpoint.record.slots;
    return requests < slots ? 0 : endpoint.model->generationMs() / slots * (requests - slots + 1);
}

double PhaseRouter::Impl::transferMs(const Endpoint &from, const Endpoint &to, Tokens tokens) const
{
    const auto profile = engines.find(to.record.service);
    if (profile == engines.end() || profile->second.linkBitsPerMs <= 0) {
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
