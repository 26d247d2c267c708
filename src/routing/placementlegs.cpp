#include "phaserouterimpl.h"
#include "phasetimes.h"

#include <algorithm>

namespace mimosatally
{

using internal::Distance;
using internal::INITIAL_PLAIN_MS;
using internal::roundTripMs;

namespace
{
/// \brief A second call for the same prompt costs the gateway, its links and two engines this much.
constexpr double SPLIT_OVERHEAD_MS = 8;
/// \brief Engine time that one call uses delays every later call, not this one alone.
constexpr double ENGINE_TIME_WEIGHT = 2.5;
/// \brief Bytes to another region are paid by volume; this much time makes up for them.
constexpr double OTHER_REGION_PENALTY_MS = 10;
/// \brief Each running request slows the batch for all others.
constexpr double FULL_BATCH_PENALTY_MS = 100;
/// \brief Part of a reading's time that it costs each generation in the same batch.
constexpr double DISTURBED_GENERATION_WEIGHT = 0.35;
/// \brief Time that a failed call costs its caller.
constexpr double FAILURE_PENALTY_MS = 300;

double distancePenaltyMs(Distance distance)
{
    return distance == Distance::OtherRegion ? OTHER_REGION_PENALTY_MS : 0;
}

double batchPenaltyMs(const internal::DirectEndpoint &endpoint, double requests)
{
    return requests / endpoint.record.slots * FULL_BATCH_PENALTY_MS;
}
} // namespace

PhaseRouter::Impl::Leg PhaseRouter::Impl::readingLeg(const Endpoint &endpoint, AttemptWork work, const PromptContext &prompt, Time now) const
{
    Leg leg;
    leg.endpoint = &endpoint;
    const PrefixSource prefix = prefixFor(endpoint, work, prompt);
    leg.cache = prefix.cache;
    leg.cacheSource = prefix.source;
    const double reading = prefix.prefillMs * endpoint.slowness;
    leg.queueMs = queueMs(endpoint, now) + delayMs(endpoint.record.service, work, now);
    leg.timeMs = roundTripMs(endpoint.distance) + leg.queueMs + reading + endpoint.model->firstByteMs(work);
    leg.costMs = leg.timeMs + (ENGINE_TIME_WEIGHT - 1) * reading + distancePenaltyMs(endpoint.distance) + endpoint.failureShare * FAILURE_PENALTY_MS;
    if (work == AttemptWork::PrefillAndRun) {
        const double requests = endpoint.ownAttempts + foreignLoad(endpoint, now).requests;
        const double wait = slotWaitMs(endpoint, now);
        leg.queueMs += wait;
        leg.timeMs += wait;
        // The reading stands between the steps of all running generations.
        leg.costMs += wait + batchPenaltyMs(endpoint, requests) + requests * reading * DISTURBED_GENERATION_WEIGHT;
    }
    return leg;
}

PhaseRouter::Impl::Leg PhaseRouter::Impl::generatingLeg(const Endpoint &endpoint, Time now) const
{
    Leg leg;
    leg.endpoint = &endpoint;
    leg.queueMs = slotWaitMs(endpoint, now) + endpoint.transferBacklogMs + delayMs(endpoint.record.service, AttemptWork::Run, now);
    leg.timeMs = roundTripMs(endpoint.distance) + leg.queueMs + endpoint.model->firstByteMs(AttemptWork::Run) * endpoint.slowness;
    leg.costMs = leg.timeMs + batchPenaltyMs(endpoint, endpoint.ownAttempts + foreignLoad(endpoint, now).requests) + endpoint.failureShare * FAILURE_PENALTY_MS
                 + distancePenaltyMs(endpoint.distance);
    return leg;
}

PhaseRouter::Impl::Leg PhaseRouter::Impl::withTransfer(const Leg &generating, const Endpoint &source, Tokens tokens) const
{
    const double transfer = generating.endpoint->model->transferMs(transferMs(source, *generating.endpoint, tokens));
    Leg leg = generating;
    leg.queueMs += source.transferBacklogMs;
    leg.timeMs += source.transferBacklogMs + transfer;
    // Both links carry one transfer at a time.
    leg.costMs += source.transferBacklogMs + ENGINE_TIME_WEIGHT * transfer;
    return leg;
}

std::optional<std::pair<PhaseRouter::Impl::Leg, PhaseRouter::Impl::Leg>> PhaseRouter::Impl::bestSplit(const std::vector<Leg> &reading,
                                                                                                      const std::vector<const Endpoint *> &generating,
                                                                                                      Tokens tokens,
                                                                                                      Time now) const
{
    // Only the best engine of each region and the best of all can be part of the best pair.
    std::map<RegionId, Leg> best;
    Leg bestOfAll;
    for (const Endpoint *endpoint : generating) {
        const Leg leg = generatingLeg(*endpoint, now);
        Leg &inRegion = best[location.regionOf(endpoint->record.dataCentre)];
        if (inRegion.endpoint == nullptr || leg.costMs < inRegion.costMs) {
            inRegion = leg;
        }
        if (bestOfAll.endpoint == nullptr || leg.costMs < bestOfAll.costMs) {
            bestOfAll = leg;
        }
    }
    std::optional<std::pair<Leg, Leg>> result;
    for (const Leg &first : reading) {
        const auto near = best.find(location.regionOf(first.endpoint->record.dataCentre));
        for (const Leg *second : {near == best.end() ? &bestOfAll : &near->second, &bestOfAll}) {
            if (second->endpoint == nullptr) {
                continue;
            }
            const Leg complete = withTransfer(*second, *first.endpoint, tokens);
            if (!result || first.costMs + complete.costMs < result->first.costMs + result->second.costMs) {
                result = std::pair(first, complete);
            }
        }
    }
    return result;
}

PhaseRouter::Impl::Leg PhaseRouter::Impl::plainLeg(const Endpoint &endpoint, Time now) const
{
    Leg leg;
    leg.endpoint = &endpoint;
    const auto known = plainMs.find(endpoint.record.service);
    const double workMs = (known == plainMs.end() ? INITIAL_PLAIN_MS : known->second) * endpoint.slowness;
    const double requests = endpoint.ownAttempts + foreignLoad(endpoint, now).requests;
    const double slots = endpoint.record.slots;
    leg.queueMs = std::max(0.0, requests - slots + 1) * workMs / slots;
    leg.timeMs = roundTripMs(endpoint.distance) + leg.queueMs + workMs;
    leg.costMs = leg.timeMs + requests / slots * workMs / 2 + endpoint.failureShare * FAILURE_PENALTY_MS;
    return leg;
}

Placement PhaseRouter::Impl::placePlain(const std::vector<const Endpoint *> &candidates, Time now) const
{
    Leg best;
    for (const Endpoint *candidate : candidates) {
        const Leg leg = plainLeg(*candidate, now);
        if (best.endpoint == nullptr || leg.costMs < best.costMs) {
            best = leg;
        }
    }
    Placement placement;
    if (best.endpoint != nullptr) {
        placement.run = best.endpoint->record.id;
        placement.firstByteMs = best.timeMs;
        placement.queueMs = best.queueMs;
        placement.reason = "least-predicted-time";
    }
    return placement;
}

std::optional<EndpointId> PhaseRouter::Impl::sourceOf(const Leg &leg)
{
    return leg.cacheSource == nullptr ? std::nullopt : std::optional<EndpointId>(leg.cacheSource->record.id);
}

Placement PhaseRouter::Impl::placeGeneration(const std::vector<const Endpoint *> &candidates, const Endpoint &source, Tokens tokens, Time now) const
{
    Placement placement;
    Leg best;
    for (const Endpoint *candidate : candidates) {
        if (candidate->record.phase == EnginePhase::Prefill) {
            continue;
        }
        const Leg leg = withTransfer(generatingLeg(*candidate, now), source, tokens);
        if (best.endpoint == nullptr || leg.costMs < best.costMs) {
            best = leg;
        }
    }
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
    std::vector<Leg> reading;
    std::vector<const Endpoint *> generating;
    Leg direct;
    for (const Endpoint *candidate : candidates) {
        if (candidate->record.phase == EnginePhase::Prefill) {
            reading.push_back(readingLeg(*candidate, AttemptWork::Prefill, prompt, now));
            continue;
        }
        generating.push_back(candidate);
        const Leg leg = readingLeg(*candidate, AttemptWork::PrefillAndRun, prompt, now);
        if (direct.endpoint == nullptr || leg.costMs < direct.costMs) {
            direct = leg;
        }
    }
    Placement placement;
    if (direct.endpoint == nullptr) {
        return placement;
    }
    const auto split = bestSplit(reading, generating, prompt.request.promptTokens, now);
    if (split && split->first.costMs + split->second.costMs + SPLIT_OVERHEAD_MS < direct.costMs) {
        const auto &[first, second] = *split;
        placement.prefill = first.endpoint->record.id;
        placement.run = second.endpoint->record.id;
        placement.firstByteMs = first.timeMs + second.timeMs;
        placement.queueMs = first.queueMs + second.queueMs;
        placement.cache = first.cache;
        placement.cacheSource = sourceOf(first);
        placement.reason = "split-phases";
        return placement;
    }
    placement.run = direct.endpoint->record.id;
    placement.firstByteMs = direct.timeMs;
    placement.queueMs = direct.queueMs;
    placement.cache = direct.cache;
    placement.cacheSource = sourceOf(direct);
    placement.reason = "one-engine";
    return placement;
}

} // namespace mimosatally
