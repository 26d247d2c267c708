#include "phaserouterimpl.h"

#include <algorithm>
#include <cmath>

namespace mimosatally
{

using internal::Distance;

namespace
{
/// \brief Round trips (docs/design.md, section 1.2).
constexpr double SAME_DATA_CENTRE_MS = 1;
constexpr double SAME_REGION_MS = 3;
constexpr double OTHER_REGION_MS = 25;
/// \brief Engine time of one prompt token before it was measured.
constexpr double INITIAL_MS_PER_TOKEN = 0.0025;
/// \brief A decode engine reads prompts at half the speed, in small pieces between the steps of its batch.
constexpr double DECODE_READING_FACTOR = 2.8;
/// \brief Time of one reading besides its tokens.
constexpr double READING_OVERHEAD_MS = 1.5;
/// \brief From the end of the reading to the first event.
constexpr double FIRST_EVENT_MS = 15;
/// \brief Transfers of cache take so many times longer than within a data centre.
constexpr double SAME_REGION_TRANSFER_FACTOR = 2;
constexpr double OTHER_REGION_TRANSFER_FACTOR = 10;
constexpr double TRANSFER_OVERHEAD_MS = 1;
/// \brief A second call for the same prompt costs the gateway, its links and two engines this much.
constexpr double SPLIT_OVERHEAD_MS = 8;
/// \brief Engine time that one call uses delays every later call, not this one alone.
constexpr double ENGINE_TIME_WEIGHT = 2.5;
/// \brief Bytes to another region are paid by volume; this much time makes up for them.
constexpr double OTHER_REGION_PENALTY_MS = 10;
/// \brief Spreads prompts that no engine has read yet in the same way in every process.
constexpr double COLD_SPREAD_MS = 5;
/// \brief Each running request slows the batch for all others.
constexpr double FULL_BATCH_PENALTY_MS = 100;
/// \brief Part of a reading's time that it costs each generation in the same batch.
constexpr double DISTURBED_GENERATION_WEIGHT = 0.45;
/// \brief A reported load says little about the time after this.
constexpr Duration REPORT_LIFETIME = Duration(400);
/// \brief An endpoint that answers nothing for so long gets no new calls until it answers again.
constexpr Duration LONGEST_SILENCE = Duration(600);
/// \brief After so long a silent endpoint is tried once more.
constexpr Duration SILENCE_RETRY = Duration(2500);
constexpr Duration FIRST_REJECTION_PAUSE = Duration(100);
constexpr Duration LONGEST_REJECTION_PAUSE = Duration(800);
constexpr double LEARNING_RATE = 0.1;
constexpr double LEAST_SLOWNESS = 0.3;
constexpr double MOST_SLOWNESS = 8;
constexpr double INITIAL_PLAIN_MS = 20;
constexpr double INITIAL_READING_MS = 10;
/// \brief Mean tokens of a part, to turn cache memory into a number of parts.
constexpr std::int64_t MEAN_PART_TOKENS = 3000;
constexpr double WAIT_FOR_SLOT_MS = 50;
/// \brief Time that a failed call costs its caller.
constexpr double FAILURE_PENALTY_MS = 300;

std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

/// \brief Hash of the prompt up to the end of each part.
std::vector<std::uint64_t> chainOf(const std::vector<PromptPart> &parts)
{
    std::vector<std::uint64_t> chain;
    std::uint64_t hash = 0;
    for (const PromptPart &part : parts) {
        hash = mix(hash ^ mix(part.id + static_cast<std::uint64_t>(part.tokens.count())));
        chain.push_back(hash);
    }
    return chain;
}

double roundTripMs(Distance distance)
{
    switch (distance) {
    case Distance::SameDataCentre:
        return SAME_DATA_CENTRE_MS;
    case Distance::SameRegion:
        return SAME_REGION_MS;
    case Distance::OtherRegion:
        return OTHER_REGION_MS;
    }
    return OTHER_REGION_MS;
}

double distancePenaltyMs(Distance distance)
{
    return distance == Distance::OtherRegion ? OTHER_REGION_PENALTY_MS : 0;
}

double batchPenaltyMs(const internal::DirectEndpoint &endpoint, double requests)
{
    return requests / endpoint.record.slots * FULL_BATCH_PENALTY_MS;
}

double toMs(Duration duration)
{
    return static_cast<double>(duration.count());
}

void learn(double &mean, double sample)
{
    mean += LEARNING_RATE * (sample - mean);
}

/// \brief Number in [0, 1) that all processes compute alike.
double spread(std::uint64_t prompt, const EndpointId &endpoint)
{
    const std::uint64_t hash = mix(prompt ^ std::hash<std::string>()(endpoint.value()));
    return static_cast<double>(hash >> 11U) / static_cast<double>(1ULL << 53U);
}
} // namespace

RegionId NetworkLocation::regionOf(const DataCentreId &other) const
{
    const auto found = regions.find(other);
    return found == regions.end() ? RegionId() : found->second;
}

PhaseRouter::Impl::Impl(NetworkLocation where, std::uint64_t randomSeed)
    : location(std::move(where))
    , region(location.regionOf(location.dataCentre))
    , seed(randomSeed)
    , meanReadingMs {{EnginePhase::Prefill, INITIAL_READING_MS}, {EnginePhase::Decode, INITIAL_READING_MS}}
    , msPerToken(INITIAL_MS_PER_TOKEN)
{
}

PhaseRouter::PhaseRouter(NetworkLocation location, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(location), seed))
{
}

PhaseRouter::~PhaseRouter() = default;
PhaseRouter::PhaseRouter(PhaseRouter &&) noexcept = default;
PhaseRouter &PhaseRouter::operator=(PhaseRouter &&) noexcept = default;

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

void PhaseRouter::setEndpoints(const std::map<EndpointId, EndpointRecord> &endpoints, const ServingConfiguration &configuration, Time)
{
    Impl &impl = *impl_;
    for (auto &[id, endpoint] : impl.endpoints) {
        endpoint.listed = false;
    }
    impl.services.clear();
    for (const auto &[id, record] : endpoints) {
        auto found = impl.endpoints.find(id);
        if (found != impl.endpoints.end() && found->second.record.startedAt != record.startedAt) {
            // A new incarnation knows nothing of the one before.
            impl.cache.clear(found->second.cacheIndex);
            const auto index = found->second.cacheIndex;
            found->second = Impl::Endpoint();
            found->second.cacheIndex = index;
        }
        if (found == impl.endpoints.end()) {
            found = impl.endpoints.emplace(id, Impl::Endpoint()).first;
            found->second.cacheIndex = impl.nextCacheIndex++;
        }
        Impl::Endpoint &endpoint = found->second;
        endpoint.record = record;
        endpoint.listed = true;
        endpoint.distance = impl.distanceTo(record.dataCentre);
        const auto service = configuration.services.find(record.service);
        const std::optional<EngineProfile> engine = service == configuration.services.end() ? std::nullopt : service->second.engine;
        const std::int64_t parts = engine ? engine->cacheTokens.count() / MEAN_PART_TOKENS : 0;
        impl.cache.setCapacity(endpoint.cacheIndex, static_cast<std::size_t>(parts));
        if (engine) {
            impl.engines[record.service] = *engine;
        }
        impl.services[record.service].push_back(id);
    }
    std::erase_if(impl.endpoints, [&impl](const auto &entry) {
        const bool gone = !entry.second.listed && entry.second.ownAttempts == 0;
        if (gone) {
            impl.cache.clear(entry.second.cacheIndex);
        }
        return gone;
    });
}

const EndpointRecord *PhaseRouter::record(const EndpointId &endpoint) const
{
    const auto found = impl_->endpoints.find(endpoint);
    return found == impl_->endpoints.end() ? nullptr : &found->second.record;
}

bool PhaseRouter::Impl::mayServe(const Endpoint &endpoint, const PlacementRequest &request)
{
    const bool excluded = std::ranges::find(request.excluded, endpoint.record.id) != request.excluded.end();
    return endpoint.listed && !endpoint.record.leaving && !excluded;
}

bool PhaseRouter::Impl::healthy(const Endpoint &endpoint, Time now)
{
    if (endpoint.health.admittedPermille(now) == 0 || now < endpoint.avoidedUntil) {
        return false;
    }
    if (!endpoint.unansweredSince) {
        return true;
    }
    const Duration silence = now - *endpoint.unansweredSince;
    return silence <= LONGEST_SILENCE || silence >= SILENCE_RETRY;
}

Tokens PhaseRouter::Impl::cachedTokens(const Endpoint &endpoint, const PlacementRequest &request, const std::vector<std::uint64_t> &chain) const
{
    const std::size_t parts = cache.cachedBlocks(endpoint.cacheIndex, chain);
    Tokens tokens;
    for (std::size_t i = 0; i < parts; ++i) {
        tokens += request.promptParts[i].tokens;
    }
    return std::min(tokens, request.promptTokens);
}

double PhaseRouter::Impl::aged(int reported, const Endpoint &endpoint, Time now)
{
    if (endpoint.reportedAt == Time::min() || now - endpoint.reportedAt >= REPORT_LIFETIME) {
        return 0;
    }
    return reported * (1 - toMs(now - endpoint.reportedAt) / toMs(REPORT_LIFETIME));
}

double PhaseRouter::Impl::foreign(const Endpoint &endpoint, Time now)
{
    return aged(endpoint.foreignRequests, endpoint, now);
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
    const int reading = phase == EnginePhase::Prefill ? endpoint.foreignRequests : endpoint.foreignWaiting;
    return (endpoint.backlogMs + aged(reading, endpoint, now) * meanReadingMs.at(phase)) * endpoint.slowness;
}

double PhaseRouter::Impl::slotWaitMs(const Endpoint &endpoint, Time now)
{
    const double requests = endpoint.ownAttempts + foreign(endpoint, now);
    const double slots = endpoint.record.slots;
    return requests < slots ? 0 : WAIT_FOR_SLOT_MS * (requests - slots + 1);
}

PhaseRouter::Impl::Leg PhaseRouter::Impl::readingLeg(
    const Endpoint &endpoint, AttemptWork work, const PlacementRequest &request, const std::vector<std::uint64_t> &chain, Time now) const
{
    Leg leg;
    leg.endpoint = &endpoint;
    leg.cached = cachedTokens(endpoint, request, chain);
    const double reading = readingMs(work, request.promptTokens - leg.cached) * endpoint.slowness;
    leg.queueMs = queueMs(endpoint, now);
    leg.timeMs = roundTripMs(endpoint.distance) + leg.queueMs + reading;
    leg.costMs = leg.timeMs + (ENGINE_TIME_WEIGHT - 1) * reading + distancePenaltyMs(endpoint.distance) + endpoint.failureShare * FAILURE_PENALTY_MS;
    if (chain.size() > 1) {
        leg.costMs += COLD_SPREAD_MS * spread(chain[chain.size() - 2], endpoint.record.id);
    }
    if (work == AttemptWork::PrefillAndRun) {
        const double requests = endpoint.ownAttempts + foreign(endpoint, now);
        const double wait = slotWaitMs(endpoint, now);
        leg.queueMs += wait;
        leg.timeMs += wait + FIRST_EVENT_MS;
        // The reading stands between the steps of all running generations.
        leg.costMs += wait + FIRST_EVENT_MS + batchPenaltyMs(endpoint, requests) + requests * reading * DISTURBED_GENERATION_WEIGHT;
    }
    return leg;
}

PhaseRouter::Impl::Leg PhaseRouter::Impl::generatingLeg(const Endpoint &endpoint, Time now)
{
    Leg leg;
    leg.endpoint = &endpoint;
    leg.queueMs = slotWaitMs(endpoint, now) + endpoint.transferBacklogMs;
    leg.timeMs = roundTripMs(endpoint.distance) + leg.queueMs + FIRST_EVENT_MS * endpoint.slowness;
    leg.costMs = leg.timeMs + batchPenaltyMs(endpoint, endpoint.ownAttempts + foreign(endpoint, now)) + endpoint.failureShare * FAILURE_PENALTY_MS
                 + distancePenaltyMs(endpoint.distance);
    return leg;
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

PhaseRouter::Impl::Leg PhaseRouter::Impl::withTransfer(const Leg &generating, const Endpoint &source, Tokens tokens) const
{
    const double transfer = transferMs(source, *generating.endpoint, tokens);
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
    const double requests = endpoint.ownAttempts + foreign(endpoint, now);
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

Placement PhaseRouter::Impl::placeEngine(const std::vector<const Endpoint *> &candidates, const PlacementRequest &request, Time now) const
{
    const std::vector<std::uint64_t> chain = chainOf(request.promptParts);
    std::vector<Leg> reading;
    std::vector<const Endpoint *> generating;
    Leg direct;
    for (const Endpoint *candidate : candidates) {
        if (candidate->record.phase == EnginePhase::Prefill) {
            reading.push_back(readingLeg(*candidate, AttemptWork::Prefill, request, chain, now));
            continue;
        }
        generating.push_back(candidate);
        const Leg leg = readingLeg(*candidate, AttemptWork::PrefillAndRun, request, chain, now);
        if (direct.endpoint == nullptr || leg.costMs < direct.costMs) {
            direct = leg;
        }
    }
    Placement placement;
    if (direct.endpoint == nullptr) {
        return placement;
    }
    const auto split = bestSplit(reading, generating, request.promptTokens, now);
    if (split && split->first.costMs + split->second.costMs + SPLIT_OVERHEAD_MS < direct.costMs) {
        const auto &[first, second] = *split;
        placement.prefill = first.endpoint->record.id;
        placement.run = second.endpoint->record.id;
        placement.firstByteMs = first.timeMs + second.timeMs;
        placement.queueMs = first.queueMs + second.queueMs;
        placement.cachedTokens = first.cached;
        placement.reason = "split-phases";
        return placement;
    }
    placement.run = direct.endpoint->record.id;
    placement.firstByteMs = direct.timeMs;
    placement.queueMs = direct.queueMs;
    placement.cachedTokens = direct.cached;
    placement.reason = "one-engine";
    return placement;
}

Placement PhaseRouter::place(const PlacementRequest &request, Time now) const
{
    const auto service = impl_->services.find(request.service);
    if (service == impl_->services.end()) {
        return {};
    }
    std::vector<const Impl::Endpoint *> candidates;
    std::vector<const Impl::Endpoint *> suspected;
    for (const EndpointId &id : service->second) {
        const Impl::Endpoint &endpoint = impl_->endpoints.at(id);
        if (!impl_->mayServe(endpoint, request)) {
            continue;
        }
        (impl_->healthy(endpoint, now) ? candidates : suspected).push_back(&endpoint);
    }
    const auto generates = [](const Impl::Endpoint *endpoint) {
        return endpoint->record.phase != EnginePhase::Prefill;
    };
    if (std::ranges::none_of(candidates, generates)) {
        // An endpoint that seems broken is better than none: the fault may be this process's own.
        std::ranges::copy_if(suspected, std::back_inserter(candidates), generates);
    }
    return impl_->engines.contains(request.service) ? impl_->placeEngine(candidates, request, now) : impl_->placePlain(candidates, now);
}

PhaseRouter::Ticket PhaseRouter::begin(const EndpointId &endpoint, AttemptWork work, const PlacementRequest &request, Time now, const EndpointId &source)
{
    const Ticket ticket = impl_->nextTicket++;
    const auto found = impl_->endpoints.find(endpoint);
    if (found == impl_->endpoints.end()) {
        return ticket;
    }
    Impl::Endpoint &target = found->second;
    Impl::Attempt attempt;
    attempt.endpoint = endpoint;
    attempt.work = work;
    attempt.begun = now;
    if (impl_->engines.contains(request.service)) {
        attempt.chain = chainOf(request.promptParts);
        const Tokens cached = impl_->cachedTokens(target, request, attempt.chain);
        attempt.workMs = impl_->readingMs(work, request.promptTokens - cached);
        attempt.predictedMs = roundTripMs(target.distance) + impl_->queueMs(target, now) / target.slowness + attempt.workMs;
        attempt.predictedMs += work == AttemptWork::Prefill ? 0 : FIRST_EVENT_MS;
        learn(impl_->meanReadingMs.at(target.record.phase.value_or(EnginePhase::Decode)), attempt.workMs);
        for (const std::uint64_t block : attempt.chain) {
            impl_->cache.store(target.cacheIndex, block);
        }
    } else {
        const auto known = impl_->plainMs.find(request.service);
        attempt.predictedMs = roundTripMs(target.distance) + (known == impl_->plainMs.end() ? INITIAL_PLAIN_MS : known->second);
    }
    const auto from = impl_->endpoints.find(source);
    if (from != impl_->endpoints.end()) {
        attempt.source = source;
        attempt.transferMs = impl_->transferMs(from->second, target, request.promptTokens);
        attempt.predictedMs += target.transferBacklogMs + attempt.transferMs;
        from->second.transferBacklogMs += attempt.transferMs;
        target.transferBacklogMs += attempt.transferMs;
    }
    target.backlogMs += attempt.workMs;
    ++target.ownAttempts;
    ++target.ownUnanswered;
    if (!target.unansweredSince) {
        target.unansweredSince = now;
    }
    impl_->attempts.emplace(ticket, std::move(attempt));
    return ticket;
}

void PhaseRouter::Impl::endTransfer(const Attempt &attempt)
{
    for (const EndpointId &id : {attempt.endpoint, attempt.source}) {
        const auto found = endpoints.find(id);
        if (found != endpoints.end()) {
            found->second.transferBacklogMs = std::max(0.0, found->second.transferBacklogMs - attempt.transferMs);
        }
    }
}

void PhaseRouter::firstByte(Ticket ticket, Time now)
{
    const auto found = impl_->attempts.find(ticket);
    if (found == impl_->attempts.end() || !found->second.reading) {
        return;
    }
    Impl::Attempt &attempt = found->second;
    Impl::Endpoint &endpoint = impl_->endpoints.at(attempt.endpoint);
    attempt.reading = false;
    impl_->endTransfer(attempt);
    --endpoint.ownUnanswered;
    endpoint.backlogMs = std::max(0.0, endpoint.backlogMs - attempt.workMs);
    endpoint.unansweredSince = endpoint.ownAttempts > 1 ? std::optional<Time>(now) : std::nullopt;
    if (!attempt.chain.empty()) {
        learn(endpoint.slowness, std::clamp(toMs(now - attempt.begun) / attempt.predictedMs, LEAST_SLOWNESS, MOST_SLOWNESS));
    }
}

void PhaseRouter::end(Ticket ticket, AttemptEnd result, Time now)
{
    const auto found = impl_->attempts.find(ticket);
    if (found == impl_->attempts.end()) {
        return;
    }
    Impl::Endpoint &endpoint = impl_->endpoints.at(found->second.endpoint);
    if (result == AttemptEnd::Answered || result == AttemptEnd::Rejected || result == AttemptEnd::AnsweredFailure) {
        firstByte(ticket, now);
        endpoint.health.recordSuccess(now);
    }
    if (result == AttemptEnd::Rejected) {
        // An engine that changes its phase rejects everything for seconds, and its heartbeat shows that late.
        endpoint.rejectionPause = std::clamp(endpoint.rejectionPause * 2, FIRST_REJECTION_PAUSE, LONGEST_REJECTION_PAUSE);
        endpoint.avoidedUntil = std::max(endpoint.avoidedUntil, now + endpoint.rejectionPause);
    } else if (result == AttemptEnd::Answered) {
        endpoint.rejectionPause = Duration(0);
    }
    if (result != AttemptEnd::Abandoned && result != AttemptEnd::Rejected) {
        learn(endpoint.failureShare, result == AttemptEnd::Answered ? 0 : 1);
    }
    const Impl::Attempt attempt = std::move(found->second);
    if (attempt.reading) {
        impl_->endTransfer(attempt);
        --endpoint.ownUnanswered;
        endpoint.backlogMs = std::max(0.0, endpoint.backlogMs - attempt.workMs);
    }
    impl_->attempts.erase(ticket);
    --endpoint.ownAttempts;
    if (endpoint.ownAttempts == 0) {
        endpoint.backlogMs = 0;
        endpoint.transferBacklogMs = 0;
        endpoint.unansweredSince.reset();
    }
    if (result == AttemptEnd::Failed || result == AttemptEnd::Silent) {
        endpoint.health.recordFailure(now);
    }
    if (result == AttemptEnd::Answered && attempt.chain.empty() && attempt.work == AttemptWork::Run) {
        auto &mean = impl_->plainMs.emplace(endpoint.record.service, INITIAL_PLAIN_MS).first->second;
        learn(mean, std::max(1.0, toMs(now - attempt.begun) - roundTripMs(endpoint.distance)));
    }
}

void PhaseRouter::reportLoad(const EndpointId &endpoint, const ReportedLoad &load, Time now)
{
    const auto found = impl_->endpoints.find(endpoint);
    if (found == impl_->endpoints.end()) {
        return;
    }
    found->second.foreignRequests = std::max(0, load.running + load.waiting - found->second.ownAttempts);
    found->second.foreignWaiting = std::max(0, load.waiting - found->second.ownUnanswered);
    found->second.reportedAt = now;
}

std::map<ServiceId, PhaseRouter::PhaseDemand> PhaseRouter::takeDemand()
{
    return std::exchange(impl_->demand, {});
}

} // namespace mimosatally
