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
/// \brief A decode engine reads prompts at half the speed, in small pieces between the steps of its batch.
constexpr double DECODE_READING_FACTOR = 2.8;
/// \brief Time of one reading besides its tokens.
constexpr double READING_OVERHEAD_MS = 1.5;
/// \brief Transfers of cache take so many times longer than within a data centre.
constexpr double SAME_REGION_TRANSFER_FACTOR = 2;
constexpr double OTHER_REGION_TRANSFER_FACTOR = 10;
constexpr double TRANSFER_OVERHEAD_MS = 1;
/// \brief A reported load says little about the time after this.
constexpr Duration REPORT_LIFETIME = Duration(400);
/// \brief The mean of a service changes more slowly than the load of one endpoint.
constexpr Duration MEAN_LOAD_LIFETIME = Duration(1000);
constexpr double WAIT_FOR_SLOT_MS = 50;
} // namespace

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

void PhaseRouter::Impl::observeDelay(const Attempt &attempt, const Endpoint &endpoint, double measuredMs, Time now)
{
    internal::ObservedDelay &delay = delays[{endpoint.record.service, attempt.work}];
    const double unexplained = std::max(0.0, measuredMs - (attempt.predictedMs - attempt.delayMs) * endpoint.slowness);
    delay.ms *= freshness(delay.observedAt, now, MEAN_LOAD_LIFETIME);
    learn(delay.ms, unexplained);
    delay.observedAt = now;
}

double PhaseRouter::Impl::readingMs(AttemptWork work, Tokens uncached) const
{
    if (work == AttemptWork::Run) {
        return 0;
    }
    const double nominal = READING_OVERHEAD_MS + static_cast<double>(uncached.count()) * msPerToken;
    return work == AttemptWork::PrefillAndRun ? nominal * DECODE_READING_FACTOR : nominal;
}

double PhaseRouter::Impl::queueMs(const Endpoint &endpoint, Time now) const
{
    const EnginePhase phase = endpoint.record.phase.value_or(EnginePhase::Decode);
    const ForeignLoad foreign = foreignLoad(endpoint, now);
    const double reading = phase == EnginePhase::Prefill ? foreign.requests : foreign.waiting;
    return (endpoint.backlogMs + reading * meanReadingMs.at(phase)) * endpoint.slowness;
}

double PhaseRouter::Impl::slotWaitMs(const Endpoint &endpoint, Time now) const
{
    const double requests = endpoint.ownAttempts + foreignLoad(endpoint, now).requests;
    const double slots = endpoint.record.slots;
    return requests < slots ? 0 : WAIT_FOR_SLOT_MS * (requests - slots + 1);
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
    return TRANSFER_OVERHEAD_MS + bits / profile->second.linkBitsPerMs * factor;
}

} // namespace mimosatally
