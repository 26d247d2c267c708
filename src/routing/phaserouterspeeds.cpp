#include "phaserouterimpl.h"
#include "phasetimes.h"

#include <algorithm>
#include <cmath>

namespace mimosatally
{

using internal::Distance;
using internal::EngineModel;
using internal::EngineSpeed;
using internal::PhaseSpeeds;
using internal::roundTripMs;
using internal::toMs;

namespace
{
/// \brief Difference of learned speeds from which they are used, and below which they are not used any more.
constexpr double MIN_DIFFERENCE = 1.15;
constexpr double MIN_DIFFERENCE_IN_USE = 1.10;
/// \brief Time since the last report of a relative time for which the speeds of a service are used because of it.
constexpr Duration REPORTING_TIME = Duration(10'000);
/// \brief Interval at which the speeds of a service are compared; the comparison visits all its endpoints.
constexpr Duration UPDATE_INTERVAL = Duration(200);
/// \brief Time since the last datagram of a peer after which the work that others have sent is considered unknown.
constexpr Duration MAX_PEER_SILENCE = Duration(3000);

std::optional<Duration> ageOf(Time time, Time now)
{
    return time == Time::min() ? std::nullopt : std::optional(now - time);
}
} // namespace

bool PhaseRouter::Impl::usesSpeeds(const ServiceId &service, Time now) const
{
    const auto reported = relativeTimeReportedAt.find(service);
    if (reported != relativeTimeReportedAt.end() && now - reported->second < REPORTING_TIME) {
        return true;
    }
    for (auto found = phaseSpeeds.lower_bound({service, std::nullopt}); found != phaseSpeeds.end() && found->first.first == service; ++found) {
        if (found->second.differ) {
            return true;
        }
    }
    return false;
}

double PhaseRouter::Impl::timeFactor(const Endpoint &endpoint, Time now) const
{
    if (!usesSpeeds(endpoint.record.service, now)) {
        return 1;
    }
    // An endpoint that rejects calls is not believed to be quicker than usual.
    const double leastFactor = endpoint.consecutiveRejections > 0 ? 1 : EngineSpeed::MIN_FACTOR;
    const double momentary = std::max(leastFactor, endpoint.speed.momentaryFactor(now));
    const auto speeds = phaseSpeeds.find({endpoint.record.service, endpoint.record.phase});
    const bool isMeasured = speeds != phaseSpeeds.end() && endpoint.speed.isMeasured();
    return isMeasured ? speeds->second.mean / endpoint.speed.speed(now) * momentary : momentary;
}

double PhaseRouter::Impl::prefillFactor(const Endpoint &endpoint, Time now) const
{
    return usesSpeeds(endpoint.record.service, now) ? timeFactor(endpoint, now) : endpoint.slowness;
}

EngineModel::Sample PhaseRouter::Impl::modelSampleOf(const Attempt &attempt, const Endpoint &endpoint, Time now)
{
    const double netMs = std::max(0.0, toMs(now - attempt.beganAt) - roundTripMs(endpoint.distance));
    const double servedMs = std::max(0.0, netMs - attempt.queueMs);
    const double atMeanSpeedMs = attempt.usesSpeeds && servedMs > 0 ? attempt.queueMs + servedMs / attempt.timeFactor : netMs;
    return {attempt.work, attempt.prompt, attempt.cache, attempt.transferMs, attempt.queueMs, atMeanSpeedMs};
}

std::optional<EngineSpeed::Sample> PhaseRouter::Impl::speedSampleOf(const Attempt &attempt, const Endpoint &endpoint, Time now) const
{
    const bool knowsQueue = internal::freshness(lastPeerDatagram, now, MAX_PEER_SILENCE) > 0 || endpoint.foreign.waiting == 0;
    if (endpoint.model == nullptr || !knowsQueue) {
        return std::nullopt;
    }
    const EngineModel::Sample atMeanSpeed = modelSampleOf(attempt, endpoint, now);
    const double netMs = toMs(now - attempt.beganAt) - roundTripMs(endpoint.distance);
    const double measuredMs = netMs - endpoint.model->transferMs(attempt.transferMs);
    const double factor = (attempt.reportedFactor + endpoint.speed.momentaryFactor(now)) / 2;
    return EngineSpeed::Sample {endpoint.model->serviceMs(atMeanSpeed), measuredMs, attempt.queueMs / attempt.queueFactor, factor};
}

std::optional<EngineSpeed::Sample> PhaseRouter::Impl::plainSpeedSampleOf(const Attempt &attempt, const Endpoint &endpoint, Time now) const
{
    const auto mean = plainCallMs.find(endpoint.record.service);
    const bool hasQueue = endpoint.foreign.waiting > 0 || endpoint.ownAttempts + foreignLoad(endpoint, now).requests >= endpoint.record.slots;
    if (mean == plainCallMs.end() || hasQueue) {
        return std::nullopt;
    }
    const double servedMs = toMs(now - attempt.beganAt) - roundTripMs(endpoint.distance);
    return EngineSpeed::Sample {mean->second, servedMs, 0, (attempt.reportedFactor + endpoint.speed.momentaryFactor(now)) / 2};
}

void PhaseRouter::Impl::learnSpeed(const Attempt &attempt, Endpoint &endpoint, Time now)
{
    const std::optional<EngineSpeed::Sample> sample = endpoint.model == nullptr ? plainSpeedSampleOf(attempt, endpoint, now) : attempt.speedSample;
    if (sample && endpoint.speed.record(*sample, now)) {
        updatePhaseSpeeds(endpoint.record.service, endpoint.record.phase, now);
    }
}

std::vector<const EngineSpeed *> PhaseRouter::Impl::measuredSpeeds(const ServiceFleet &fleet, std::optional<EnginePhase> phase)
{
    std::vector<const EngineSpeed *> measured;
    for (const auto *part : {&fleet.near, &fleet.far}) {
        for (const Endpoint *endpoint : *part) {
            if (endpoint->record.phase == phase && endpoint->speed.isMeasured()) {
                measured.push_back(&endpoint->speed);
            }
        }
    }
    return measured;
}

void PhaseRouter::Impl::updatePhaseSpeeds(const ServiceId &service, std::optional<EnginePhase> phase, Time now)
{
    PhaseSpeeds &speeds = phaseSpeeds[{service, phase}];
    const auto fleet = services.find(service);
    if (fleet == services.end() || (speeds.updatedAt != Time::min() && now - speeds.updatedAt < UPDATE_INTERVAL)) {
        return;
    }
    speeds.updatedAt = now;
    std::vector<double> measured;
    double sumOfLogs = 0;
    double greatestLowerBound = 0;
    double leastUpperBound = EngineSpeed::MAX_SPEED;
    for (const EngineSpeed *measurement : measuredSpeeds(fleet->second, phase)) {
        const double speed = measurement->speed(now);
        measured.push_back(speed);
        sumOfLogs += std::log(speed);
        greatestLowerBound = std::max(greatestLowerBound, speed / measurement->uncertainty());
        leastUpperBound = std::min(leastUpperBound, speed * measurement->uncertainty());
    }
    if (measured.empty()) {
        speeds = PhaseSpeeds();
        return;
    }
    std::ranges::sort(measured);
    speeds.summary = {measured.size(), measured.front(), measured[measured.size() / 2], measured.back()};
    speeds.mean = std::exp(sumOfLogs / static_cast<double>(measured.size()));
    speeds.differ = greatestLowerBound / leastUpperBound > (speeds.differ ? MIN_DIFFERENCE_IN_USE : MIN_DIFFERENCE);
}

std::size_t PhaseRouter::Impl::choose(const std::vector<double> &costs, const std::vector<const Endpoint *> &candidates, Time now) const
{
    const auto best = static_cast<std::size_t>(std::ranges::min_element(costs) - costs.begin());
    if (!usesSpeeds(candidates[best]->record.service, now)) {
        return best;
    }
    // Calls leave the region only if that is best, not because it is nearly as good.
    const bool staysInRegion = candidates[best]->distance != Distance::OtherRegion;
    std::vector<std::size_t> indices;
    std::vector<internal::WeightedCost> weighted;
    for (std::size_t i = 0; i < costs.size(); ++i) {
        if (staysInRegion && candidates[i]->distance == Distance::OtherRegion) {
            continue;
        }
        indices.push_back(i);
        weighted.push_back({costs[i], 1 / (timeFactor(*candidates[i], now) * (1 + candidates[i]->recentAttempts.value(now)))});
    }
    return indices[internal::chooseNearEqual(weighted, seed ^ internal::mix(++draws))];
}

PhaseRouter::Impl::AttemptEstimate PhaseRouter::Impl::chooseEstimate(const std::vector<AttemptEstimate> &estimates, Time now) const
{
    if (estimates.empty()) {
        return {};
    }
    std::vector<double> costs;
    std::vector<const Endpoint *> candidates;
    for (const AttemptEstimate &estimate : estimates) {
        costs.push_back(estimate.costMs);
        candidates.push_back(estimate.endpoint);
    }
    return estimates[choose(costs, candidates, now)];
}

std::map<std::pair<ServiceId, std::optional<EnginePhase>>, SpeedSummary> PhaseRouter::speedSummaries() const
{
    std::map<std::pair<ServiceId, std::optional<EnginePhase>>, SpeedSummary> summaries;
    for (const auto &[key, speeds] : impl_->phaseSpeeds) {
        summaries.emplace(key, speeds.summary);
    }
    return summaries;
}

bool PhaseRouter::usesSpeeds(const ServiceId &service, Time now) const
{
    return impl_->usesSpeeds(service, now);
}

std::optional<SpeedUse> PhaseRouter::speedUse(const EndpointId &endpoint, Time now) const
{
    const auto found = impl_->endpoints.find(endpoint);
    if (found == impl_->endpoints.end() || !impl_->usesSpeeds(found->second.record.service, now)) {
        return std::nullopt;
    }
    const EngineSpeed &speed = found->second.speed;
    const double factor = speed.momentaryFactor(now);
    return SpeedUse {factor / impl_->timeFactor(found->second, now), ageOf(speed.measuredAt(), now), factor, ageOf(speed.reportedAt(), now)};
}

} // namespace mimosatally
