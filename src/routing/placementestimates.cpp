#include "phaserouterimpl.h"
#include "phasetimes.h"

#include <algorithm>
#include <cmath>

namespace mimosatally
{

using internal::Distance;
using internal::INITIAL_PLAIN_CALL_MS;
using internal::roundTripMs;

namespace
{
/// \brief Cost of a second call for the same prompt to the gateway, its links and both engines.
constexpr double SPLIT_OVERHEAD_MS = 8;
/// \brief Weight of engine time: the time that one call uses also delays every later call.
constexpr double ENGINE_TIME_WEIGHT = 2.5;
/// \brief Traffic to other regions is charged by volume; this is its equivalent in time.
constexpr double OTHER_REGION_PENALTY_MS = 10;
/// \brief Penalty for a full batch, charged in proportion to its requests, because each running request slows down the others.
constexpr double FULL_BATCH_PENALTY_MS = 100;
/// \brief Share of a prefill's time by which it delays each generation in the same batch.
constexpr double DELAYED_GENERATION_WEIGHT = 0.35;
/// \brief Time that a failed call costs its caller.
constexpr double FAILURE_PENALTY_MS = 300;
/// \brief Time that a rejected call costs its caller, whose attempts are few; with 300 ms an endpoint that rejected everything still got a call each 0.9 s.
constexpr double REJECTION_PENALTY_MS = 1000;
/// \brief Consecutive rejections after which the next call is expected to be rejected as well.
constexpr int CERTAIN_REJECTIONS = 4;
/// \brief Time in which this expectation halves, so that the endpoint is tried again after some seconds. A change of phase takes three.
constexpr double REJECTION_HALF_LIFE_MS = 2000;

double distancePenaltyMs(Distance distance)
{
    return distance == Distance::OtherRegion ? OTHER_REGION_PENALTY_MS : 0;
}

double failurePenaltyMs(const internal::DirectEndpoint &endpoint)
{
    return endpoint.failureShare * FAILURE_PENALTY_MS;
}

double batchPenaltyMs(const internal::DirectEndpoint &endpoint, double requests)
{
    return requests / endpoint.record.slots * FULL_BATCH_PENALTY_MS;
}
} // namespace

double PhaseRouter::Impl::rejectionPenaltyMs(const Endpoint &endpoint, Time now) const
{
    if (endpoint.consecutiveRejections == 0 || !usesSpeeds(endpoint.record.service, now)) {
        return 0;
    }
    const double probability = std::min(1.0, static_cast<double>(endpoint.consecutiveRejections) / CERTAIN_REJECTIONS);
    return REJECTION_PENALTY_MS * probability * std::exp2(-internal::toMs(now - endpoint.rejectedAt) / REJECTION_HALF_LIFE_MS);
}

PhaseRouter::Impl::AttemptEstimate PhaseRouter::Impl::prefillEstimate(const Endpoint &endpoint, AttemptWork work, const PromptContext &prompt, Time now) const
{
    AttemptEstimate estimate;
    estimate.endpoint = &endpoint;
    const PrefixSource prefix = prefixFor(endpoint, work, prompt);
    estimate.cache = prefix.cache;
    estimate.cacheSource = prefix.source;
    const double prefillMs = prefix.prefillMs * prefillFactor(endpoint, now);
    const double factor = timeFactor(endpoint, now);
    estimate.queueMs = queueMs(endpoint, now) + delayMs(endpoint.record.service, work, now);
    estimate.timeMs = roundTripMs(endpoint.distance) + estimate.queueMs + prefillMs + endpoint.model->firstByteMs(work) * factor;
    estimate.costMs = estimate.timeMs + (ENGINE_TIME_WEIGHT - 1) * prefillMs + distancePenaltyMs(endpoint.distance) + failurePenaltyMs(endpoint)
                      + rejectionPenaltyMs(endpoint, now);
    if (work == AttemptWork::PrefillAndRun) {
        const double requests = endpoint.ownAttempts + foreignLoad(endpoint, now).requests;
        const double wait = slotWaitMs(endpoint, now);
        estimate.queueMs += wait;
        estimate.timeMs += wait;
        // The prefill runs between the decode steps of the batch and delays all running generations.
        estimate.costMs += wait + batchPenaltyMs(endpoint, requests) * factor + requests * prefillMs * DELAYED_GENERATION_WEIGHT;
    }
    return estimate;
}

PhaseRouter::Impl::AttemptEstimate PhaseRouter::Impl::decodeEstimate(const Endpoint &endpoint, Time now) const
{
    AttemptEstimate estimate;
    estimate.endpoint = &endpoint;
    estimate.queueMs = slotWaitMs(endpoint, now) + endpoint.transferBacklogMs + delayMs(endpoint.record.service, AttemptWork::Run, now);
    estimate.timeMs = roundTripMs(endpoint.distance) + estimate.queueMs + endpoint.model->firstByteMs(AttemptWork::Run) * prefillFactor(endpoint, now);
    estimate.costMs = estimate.timeMs + batchPenaltyMs(endpoint, endpoint.ownAttempts + foreignLoad(endpoint, now).requests) * timeFactor(endpoint, now)
                      + failurePenaltyMs(endpoint) + rejectionPenaltyMs(endpoint, now) + distancePenaltyMs(endpoint.distance);
    return estimate;
}

PhaseRouter::Impl::AttemptEstimate PhaseRouter::Impl::withTransfer(const AttemptEstimate &decode, const Endpoint &source, Tokens tokens) const
{
    const double transfer = decode.endpoint->model->transferMs(transferMs(source, *decode.endpoint, tokens));
    AttemptEstimate estimate = decode;
    estimate.queueMs += source.transferBacklogMs;
    estimate.timeMs += source.transferBacklogMs + transfer;
    // Each of the two links carries one transfer at a time, so this one delays later transfers.
    estimate.costMs += source.transferBacklogMs + ENGINE_TIME_WEIGHT * transfer;
    return estimate;
}

std::optional<std::pair<PhaseRouter::Impl::AttemptEstimate, PhaseRouter::Impl::AttemptEstimate>> PhaseRouter::Impl::bestSplit(
    const std::vector<AttemptEstimate> &prefills, const std::vector<const Endpoint *> &decodeEngines, Tokens tokens, Time now) const
{
    // Each prefill is paired only with the best decode engine of its region, which avoids a slow transfer, and with the best of all regions.
    std::map<EngineGroup, std::vector<AttemptEstimate>> decodesOfGroup;
    std::map<SoftwareVersion, std::vector<AttemptEstimate>> decodesOfVersion;
    for (const Endpoint *endpoint : decodeEngines) {
        const AttemptEstimate estimate = decodeEstimate(*endpoint, now);
        decodesOfGroup[groupOf(*endpoint)].push_back(estimate);
        decodesOfVersion[endpoint->record.version].push_back(estimate);
    }
    std::map<EngineGroup, AttemptEstimate> bestOfGroup;
    for (const auto &[group, decodes] : decodesOfGroup) {
        bestOfGroup[group] = chooseEstimate(decodes, now);
    }
    std::map<SoftwareVersion, AttemptEstimate> bestOfVersion;
    for (const auto &[version, decodes] : decodesOfVersion) {
        bestOfVersion[version] = chooseEstimate(decodes, now);
    }
    std::vector<std::pair<AttemptEstimate, AttemptEstimate>> pairs;
    std::vector<double> costs;
    std::vector<const Endpoint *> prefillEngines;
    for (const AttemptEstimate &prefill : prefills) {
        const auto ofVersion = bestOfVersion.find(prefill.endpoint->record.version);
        if (ofVersion == bestOfVersion.end() || !canExchangeCache(*prefill.endpoint, *ofVersion->second.endpoint)) {
            continue;
        }
        const auto ofGroup = bestOfGroup.find(groupOf(*prefill.endpoint));
        for (const AttemptEstimate *decode : {ofGroup == bestOfGroup.end() ? &ofVersion->second : &ofGroup->second, &ofVersion->second}) {
            pairs.emplace_back(prefill, withTransfer(*decode, *prefill.endpoint, tokens));
            costs.push_back(pairs.back().first.costMs + pairs.back().second.costMs);
            prefillEngines.push_back(prefill.endpoint);
        }
    }
    return pairs.empty() ? std::nullopt : std::optional(pairs[choose(costs, prefillEngines, now)]);
}

PhaseRouter::Impl::AttemptEstimate PhaseRouter::Impl::plainCallEstimate(const Endpoint &endpoint, Time now) const
{
    AttemptEstimate estimate;
    estimate.endpoint = &endpoint;
    const auto mean = plainCallMs.find(endpoint.record.service);
    const double workMs = (mean == plainCallMs.end() ? INITIAL_PLAIN_CALL_MS : mean->second) * prefillFactor(endpoint, now);
    const double requests = endpoint.ownAttempts + foreignLoad(endpoint, now).requests;
    const double slots = endpoint.record.slots;
    estimate.queueMs = std::max(0.0, requests - slots + 1) * workMs / slots;
    estimate.timeMs = roundTripMs(endpoint.distance) + estimate.queueMs + workMs;
    estimate.costMs = estimate.timeMs + requests / slots * workMs / 2 + failurePenaltyMs(endpoint) + rejectionPenaltyMs(endpoint, now);
    return estimate;
}

Placement PhaseRouter::Impl::placePlain(const std::vector<const Endpoint *> &candidates, Time now) const
{
    std::vector<AttemptEstimate> estimates;
    estimates.reserve(candidates.size());
    for (const Endpoint *candidate : candidates) {
        estimates.push_back(plainCallEstimate(*candidate, now));
    }
    const AttemptEstimate best = chooseEstimate(estimates, now);
    Placement placement;
    if (best.endpoint != nullptr) {
        placement.run = best.endpoint->record.id;
        placement.firstByteMs = best.timeMs;
        placement.queueMs = best.queueMs;
        placement.reason = "least-predicted-time";
    }
    return placement;
}

std::optional<EndpointId> PhaseRouter::Impl::cacheSourceOf(const AttemptEstimate &estimate)
{
    return estimate.cacheSource == nullptr ? std::nullopt : std::optional<EndpointId>(estimate.cacheSource->record.id);
}

Placement PhaseRouter::Impl::placeOnDecodeEngine(const std::vector<const Endpoint *> &candidates, const Endpoint &source, Tokens tokens, Time now) const
{
    Placement placement;
    std::vector<AttemptEstimate> estimates;
    for (const Endpoint *candidate : candidates) {
        if (candidate->record.phase == EnginePhase::Prefill || !canExchangeCache(source, *candidate)) {
            continue;
        }
        estimates.push_back(withTransfer(decodeEstimate(*candidate, now), source, tokens));
    }
    const AttemptEstimate best = chooseEstimate(estimates, now);
    if (best.endpoint != nullptr) {
        placement.run = best.endpoint->record.id;
        placement.firstByteMs = best.timeMs;
        placement.queueMs = best.queueMs;
        placement.reason = "prompt-read";
    }
    return placement;
}

Placement PhaseRouter::Impl::placeEngine(const std::vector<const Endpoint *> &candidates, const PromptContext &prompt, Time now) const
{
    std::vector<AttemptEstimate> prefills;
    std::vector<const Endpoint *> decodeEngines;
    std::vector<AttemptEstimate> oneEngines;
    for (const Endpoint *candidate : candidates) {
        if (candidate->record.phase == EnginePhase::Prefill) {
            prefills.push_back(prefillEstimate(*candidate, AttemptWork::Prefill, prompt, now));
            continue;
        }
        decodeEngines.push_back(candidate);
        oneEngines.push_back(prefillEstimate(*candidate, AttemptWork::PrefillAndRun, prompt, now));
    }
    const AttemptEstimate oneEngine = chooseEstimate(oneEngines, now);
    Placement placement;
    if (oneEngine.endpoint == nullptr) {
        return placement;
    }
    const auto split = bestSplit(prefills, decodeEngines, prompt.request.promptTokens, now);
    if (split && split->first.costMs + split->second.costMs + SPLIT_OVERHEAD_MS < oneEngine.costMs) {
        const auto &[prefill, decode] = *split;
        placement.prefill = prefill.endpoint->record.id;
        placement.run = decode.endpoint->record.id;
        placement.firstByteMs = prefill.timeMs + decode.timeMs;
        placement.queueMs = prefill.queueMs + decode.queueMs;
        placement.cache = prefill.cache;
        placement.cacheSource = cacheSourceOf(prefill);
        placement.reason = "split-phases";
        return placement;
    }
    placement.run = oneEngine.endpoint->record.id;
    placement.firstByteMs = oneEngine.timeMs;
    placement.queueMs = oneEngine.queueMs;
    placement.cache = oneEngine.cache;
    placement.cacheSource = cacheSourceOf(oneEngine);
    placement.reason = "one-engine";
    return placement;
}

} // namespace mimosatally
