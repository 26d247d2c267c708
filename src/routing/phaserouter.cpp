#include "phaserouterimpl.h"
#include "phasetimes.h"

#include <algorithm>
#include <limits>
#include <set>

namespace mimosatally
{

using internal::INITIAL_PLAIN_CALL_MS;
using internal::prefixHashesOf;
using internal::roundTripMs;
using internal::toMs;
using internal::updateMean;

namespace
{
/// \brief An endpoint that has not answered for longer than this gets no new calls until it answers or SILENCE_RETRY_TIME has passed.
constexpr Duration MAX_SILENCE = Duration(600);
/// \brief Silence after which an endpoint gets calls again, to test whether it answers.
constexpr Duration SILENCE_RETRY_TIME = Duration(2500);
constexpr Duration MIN_REJECTION_BACKOFF = Duration(100);
constexpr Duration MAX_REJECTION_BACKOFF = Duration(800);
/// \brief Upper bound for the pause that an endpoint asks for, so that a wrong answer cannot take it out of service for longer.
constexpr Duration MAX_PAUSE = Duration(60'000);
/// \brief Maximum number of prefill notices kept for other processes; exceeded between two calls of takePrefillNotices() only if the notices are not taken.
constexpr std::size_t MAX_NOTICES = 1000;
/// \brief Latest time of return for calls that are refused because of request limits; later ones would find other limits.
constexpr Duration MAX_RETURN_TIME = Duration(2000);
/// \brief Interval between reports of unreadable limits of one endpoint.
constexpr Duration FINDING_INTERVAL = Duration(10'000);
constexpr double MIN_SLOWNESS = 0.3;
constexpr double MAX_SLOWNESS = 8;
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
{
}

PhaseRouter::PhaseRouter(NetworkLocation location, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(location), seed))
{
}

PhaseRouter::~PhaseRouter() = default;
PhaseRouter::PhaseRouter(PhaseRouter &&) noexcept = default;
PhaseRouter &PhaseRouter::operator=(PhaseRouter &&) noexcept = default;

void PhaseRouter::setEndpoints(const std::map<EndpointId, EndpointRecord> &endpoints, const ServingConfiguration &configuration, Time now)
{
    Impl &impl = *impl_;
    for (auto &[id, endpoint] : impl.endpoints) {
        endpoint.listed = false;
    }
    impl.services.clear();
    impl.endpointOfHash.clear();
    for (const auto &[id, record] : endpoints) {
        auto found = impl.endpoints.find(id);
        if (found != impl.endpoints.end() && found->second.record.startedAt != record.startedAt) {
            // A new incarnation starts with an empty cache and without the state of the previous one.
            impl.cache.clear(found->second.cacheIndex);
            const auto index = found->second.cacheIndex;
            found->second = Impl::Endpoint();
            found->second.cacheIndex = index;
        }
        if (found == impl.endpoints.end()) {
            found = impl.endpoints.emplace(id, Impl::Endpoint()).first;
            found->second.cacheIndex = impl.nextCacheIndex++;
            impl.endpointOfCacheIndex.emplace(found->second.cacheIndex, id);
        }
        Impl::Endpoint &endpoint = found->second;
        endpoint.limit.setProcessCount(impl.processCount, now);
        endpoint.record = record;
        endpoint.listed = true;
        impl.endpointOfHash[internal::hashOf(id)] = &endpoint;
        endpoint.distance = impl.distanceTo(record.dataCentre);
        const auto service = configuration.services.find(record.service);
        const std::optional<EngineProfile> engine = service == configuration.services.end() ? std::nullopt : service->second.engine;
        impl.cache.setCapacity(endpoint.cacheIndex, engine ? static_cast<std::size_t>(engine->cacheTokens.count()) : 0);
        if (engine) {
            impl.engineProfiles[record.service] = *engine;
        }
        // Calls of an earlier configuration may still be placed on engines of a service that this configuration has removed.
        endpoint.model = impl.engineProfiles.contains(record.service) ? &impl.engineModels[record.service] : nullptr;
        Impl::ServiceFleet &fleet = impl.services[record.service];
        (endpoint.distance == internal::Distance::OtherRegion ? fleet.far : fleet.near).push_back(&endpoint);
        if (record.phase == EnginePhase::Prefill) {
            fleet.prefillEngines[impl.location.regionOf(record.dataCentre)].push_back({internal::hashOf(id), &endpoint});
        }
    }
    std::erase_if(impl.meanLoads, [&impl](const auto &entry) {
        return !impl.services.contains(entry.first.first);
    });
    std::erase_if(impl.lastReturn, [&impl](const auto &entry) {
        return !impl.services.contains(entry.first);
    });
    std::erase_if(impl.delays, [&impl](const auto &entry) {
        return !impl.services.contains(entry.first.first);
    });
    std::erase_if(impl.endpoints, [&impl](const auto &entry) {
        const bool unused = !entry.second.listed && entry.second.ownAttempts == 0;
        if (unused) {
            impl.cache.clear(entry.second.cacheIndex);
            impl.endpointOfCacheIndex.erase(entry.second.cacheIndex);
        }
        return unused;
    });
    impl.pruneEngineModels();
}

void PhaseRouter::Impl::pruneEngineModels()
{
    std::set<ServiceId> used;
    for (const auto &[id, endpoint] : endpoints) {
        used.insert(endpoint.record.service);
    }
    std::erase_if(engineProfiles, [&used](const auto &entry) {
        return !used.contains(entry.first);
    });
    std::erase_if(engineModels, [&used](const auto &entry) {
        return !used.contains(entry.first);
    });
}

double PhaseRouter::meanWaiting(const ServiceId &service, EnginePhase phase, Time now) const
{
    return impl_->meanWaiting(service, phase, now);
}

std::map<ServiceId, EngineTimes> PhaseRouter::engineTimes() const
{
    std::map<ServiceId, EngineTimes> times;
    for (const auto &[service, model] : impl_->engineModels) {
        times.emplace(service, model.times());
    }
    return times;
}

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

const EndpointRecord *PhaseRouter::record(const EndpointId &endpoint) const
{
    const auto found = impl_->endpoints.find(endpoint);
    return found == impl_->endpoints.end() ? nullptr : &found->second.record;
}

bool PhaseRouter::Impl::acceptsCalls(const Endpoint &endpoint, Time now)
{
    return endpoint.listed && !endpoint.record.leaving && !endpoint.announcedLeaving && now >= endpoint.pausedUntil;
}

bool PhaseRouter::Impl::isExcluded(const Endpoint &endpoint, const PlacementRequest &request)
{
    return std::ranges::find(request.excluded, endpoint.record.id) != request.excluded.end();
}

bool PhaseRouter::Impl::canServe(const Endpoint &endpoint, const PlacementRequest &request, Time now)
{
    return acceptsCalls(endpoint, now) && endpoint.limit.permits(now) && !isExcluded(endpoint, request);
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

PhaseRouter::Impl::Endpoint *PhaseRouter::Impl::targetOf(const Attempt &attempt)
{
    const auto found = endpoints.find(attempt.endpoint);
    return found == endpoints.end() || found->second.record.startedAt != attempt.startedAt ? nullptr : &found->second;
}

bool PhaseRouter::Impl::isHealthy(const Endpoint &endpoint, Time now)
{
    if (endpoint.health.admittedPermille(now) == 0 || now < endpoint.avoidedUntil) {
        return false;
    }
    if (!endpoint.unansweredSince) {
        return true;
    }
    const Duration silence = now - *endpoint.unansweredSince;
    return silence <= MAX_SILENCE || silence >= SILENCE_RETRY_TIME;
}

std::vector<const PhaseRouter::Impl::Endpoint *> PhaseRouter::Impl::usableEndpoints(const std::vector<const Endpoint *> &sample,
                                                                                    const PlacementRequest &request,
                                                                                    Time now)
{
    std::vector<const Endpoint *> candidates;
    std::vector<const Endpoint *> suspected;
    for (const Endpoint *endpoint : sample) {
        if (canServe(*endpoint, request, now)) {
            (isHealthy(*endpoint, now) ? candidates : suspected).push_back(endpoint);
        }
    }
    const auto canRunCalls = [](const Endpoint *endpoint) {
        return endpoint->record.phase != EnginePhase::Prefill;
    };
    if (std::ranges::none_of(candidates, canRunCalls)) {
        // A suspected endpoint is better than none: the failures may be caused by this process or its network link.
        std::ranges::copy_if(suspected, std::back_inserter(candidates), canRunCalls);
    }
    return candidates;
}

Placement PhaseRouter::place(const PlacementRequest &request, Time now) const
{
    const auto service = impl_->services.find(request.service);
    if (service == impl_->services.end()) {
        return {};
    }
    const Impl::ServiceFleet &fleet = service->second;
    const Impl::PromptContext prompt = impl_->promptContextFor(request, fleet, now);
    std::vector<const Impl::Endpoint *> candidates = Impl::usableEndpoints(impl_->sampleEndpoints(fleet, prompt), request, now);
    if (candidates.empty()) {
        std::vector<const Impl::Endpoint *> all = fleet.near;
        all.insert(all.end(), fleet.far.begin(), fleet.far.end());
        candidates = Impl::usableEndpoints(all, request, now);
    }
    Placement placement = impl_->engineProfiles.contains(request.service) ? impl_->placeEngine(candidates, prompt, now) : impl_->placePlain(candidates, now);
    if (!placement.run) {
        placement.retryAfter = impl_->returnTime(request.service, fleet, now);
    }
    return placement;
}

Placement PhaseRouter::placeDecode(const PlacementRequest &request, const EndpointId &prefillEngine, Time now) const
{
    const auto service = impl_->services.find(request.service);
    const auto source = impl_->endpoints.find(prefillEngine);
    if (service == impl_->services.end() || source == impl_->endpoints.end()) {
        return {};
    }
    std::vector<const Impl::Endpoint *> all = service->second.near;
    all.insert(all.end(), service->second.far.begin(), service->second.far.end());
    return impl_->placeOnDecodeEngine(Impl::usableEndpoints(all, request, now), source->second, request.promptTokens, now);
}

PhaseRouter::Ticket PhaseRouter::begin(const AttemptPlan &plan, const PlacementRequest &request, Time now)
{
    const Ticket ticket = impl_->nextTicket++;
    const auto found = impl_->endpoints.find(plan.endpoint);
    if (found == impl_->endpoints.end()) {
        return ticket;
    }
    Impl::Endpoint &target = found->second;
    Impl::Attempt attempt;
    attempt.endpoint = plan.endpoint;
    attempt.startedAt = target.record.startedAt;
    attempt.work = plan.work;
    attempt.beganAt = now;
    if (target.model != nullptr) {
        internal::EngineModel &model = impl_->engineModels[target.record.service];
        attempt.prefixHashes = prefixHashesOf(request.promptParts);
        attempt.prompt = request.promptTokens;
        attempt.cache = plan.cache;
        attempt.workMs = Impl::expectedPrefillMs(target, plan.work, request.promptTokens, plan.cache, 0);
        attempt.queueMs = plan.work == AttemptWork::Prefill ? 0 : impl_->slotWaitMs(target, now);
        attempt.queueMs += plan.work == AttemptWork::Run ? 0 : impl_->queueMs(target, now);
        attempt.backlogCorrections = target.prefillBacklog.corrections();
        attempt.delayMs = impl_->delayMs(target.record.service, plan.work, now);
        attempt.predictedMs = roundTripMs(target.distance) + attempt.queueMs + attempt.delayMs + attempt.workMs + model.firstByteMs(plan.work);
        model.recordPrefillStart(target.record.phase.value_or(EnginePhase::Decode), attempt.workMs);
        for (std::size_t part = 0; part < attempt.prefixHashes.size(); ++part) {
            impl_->cache.store(target.cacheIndex, attempt.prefixHashes[part], static_cast<std::size_t>(request.promptParts[part].tokens.count()));
        }
    } else {
        const auto mean = impl_->plainCallMs.find(request.service);
        attempt.predictedMs = roundTripMs(target.distance) + (mean == impl_->plainCallMs.end() ? INITIAL_PLAIN_CALL_MS : mean->second);
    }
    const auto source = impl_->endpoints.find(plan.promptSource);
    if (source != impl_->endpoints.end()) {
        attempt.promptSource = plan.promptSource;
        attempt.transferMs = impl_->transferMs(source->second, target, request.promptTokens);
        attempt.queueMs += target.transferBacklogMs;
        attempt.predictedMs += target.transferBacklogMs + attempt.transferMs;
        source->second.transferBacklogMs += attempt.transferMs;
        target.transferBacklogMs += attempt.transferMs;
    }
    target.prefillBacklog.add(attempt.workMs * target.slowness, now);
    if (attempt.workMs > 0) {
        impl_->addNotice(attempt, target, request, now);
    }
    target.limit.take(now);
    (plan.work == AttemptWork::Prefill ? target.sentPrefills : target.sentRuns).add(now);
    ++target.ownAttempts;
    ++target.ownUnanswered;
    if (!target.unansweredSince) {
        target.unansweredSince = now;
    }
    impl_->attempts.emplace(ticket, std::move(attempt));
    return ticket;
}

void PhaseRouter::Impl::addNotice(const Attempt &attempt, const Endpoint &target, const PlacementRequest &request, Time now)
{
    PrefillNotice notice;
    notice.endpoint = internal::hashOf(target.record.id);
    notice.startedAt = target.record.startedAt;
    notice.prefillMs = attempt.workMs * target.slowness;
    for (std::size_t part = 0; part < attempt.prefixHashes.size(); ++part) {
        notice.prefixes.push_back({attempt.prefixHashes[part], request.promptParts[part].tokens});
    }
    notices.emplace_back(now, std::move(notice));
    if (notices.size() > MAX_NOTICES) {
        notices.pop_front();
    }
}

std::vector<PrefillNotice> PhaseRouter::takePrefillNotices(Time now)
{
    std::vector<PrefillNotice> result;
    for (auto &[beganAt, notice] : impl_->notices) {
        notice.age = now - beganAt;
        result.push_back(std::move(notice));
    }
    impl_->notices.clear();
    return result;
}

void PhaseRouter::recordPrefillNotice(const PrefillNotice &notice, Time now)
{
    const auto found = impl_->endpointOfHash.find(notice.endpoint);
    if (found == impl_->endpointOfHash.end() || found->second->record.startedAt != notice.startedAt) {
        return;
    }
    Impl::Endpoint &endpoint = *found->second;
    // If the engine was idle in the meantime, it has already done a part of the prefill.
    const double idleMs = std::max(0.0, toMs(notice.age) - endpoint.prefillBacklog.remainingMs(now));
    endpoint.prefillBacklog.add(std::max(0.0, notice.prefillMs - idleMs), now);
    for (const PromptPrefix &prefix : notice.prefixes) {
        impl_->cache.store(endpoint.cacheIndex, prefix.hash, static_cast<std::size_t>(prefix.tokens.count()));
    }
}

void PhaseRouter::recordPeerDatagram(Time now)
{
    impl_->lastPeerDatagram = now;
}

void PhaseRouter::Impl::endTransfer(const Attempt &attempt)
{
    for (const EndpointId &id : {attempt.endpoint, attempt.promptSource}) {
        const auto found = endpoints.find(id);
        if (found != endpoints.end()) {
            found->second.transferBacklogMs = std::max(0.0, found->second.transferBacklogMs - attempt.transferMs);
        }
    }
}

void PhaseRouter::recordFirstByte(Ticket ticket, Time now)
{
    const auto found = impl_->attempts.find(ticket);
    if (found == impl_->attempts.end() || !found->second.awaitingFirstByte) {
        return;
    }
    Impl::Attempt &attempt = found->second;
    attempt.awaitingFirstByte = false;
    impl_->endTransfer(attempt);
    Impl::Endpoint *target = impl_->targetOf(attempt);
    if (target == nullptr) {
        return;
    }
    Impl::Endpoint &endpoint = *target;
    --endpoint.ownUnanswered;
    attempt.answeredAt = now;
    endpoint.unansweredSince = endpoint.ownAttempts > 1 ? std::optional<Time>(now) : std::nullopt;
    if (!attempt.prefixHashes.empty()) {
        const double measuredMs = toMs(now - attempt.beganAt);
        const double unexplainedMs = measuredMs - (attempt.predictedMs - attempt.delayMs + attempt.workMs * (endpoint.slowness - 1));
        impl_->recordDelay(attempt, endpoint, unexplainedMs, now);
        if (attempt.work == AttemptWork::Prefill) {
            endpoint.prefillBacklog.correct(unexplainedMs, attempt.backlogCorrections, now);
        }
        updateMean(endpoint.slowness, std::clamp(measuredMs / attempt.predictedMs, MIN_SLOWNESS, MAX_SLOWNESS));
        const double netMs = std::max(0.0, measuredMs - roundTripMs(endpoint.distance));
        impl_->engineModels[endpoint.record.service].recordFirstByte({attempt.work, attempt.prompt, attempt.cache, attempt.transferMs, attempt.queueMs, netMs});
    }
}

void PhaseRouter::end(Ticket ticket, AttemptOutcome result, Time now)
{
    const auto found = impl_->attempts.find(ticket);
    if (found == impl_->attempts.end()) {
        return;
    }
    Impl::Endpoint *target = impl_->targetOf(found->second);
    if (target == nullptr) {
        if (found->second.awaitingFirstByte) {
            impl_->endTransfer(found->second);
        }
        impl_->attempts.erase(found);
        return;
    }
    Impl::Endpoint &endpoint = *target;
    if (result == AttemptOutcome::Answered || result == AttemptOutcome::Rejected || result == AttemptOutcome::AnsweredFailure) {
        recordFirstByte(ticket, now);
        endpoint.health.recordSuccess(now);
    }
    if (result == AttemptOutcome::Rejected) {
        // An engine that changes its phase rejects all calls for seconds, and its heartbeat reports the change late.
        endpoint.rejectionBackoff = std::clamp(endpoint.rejectionBackoff * 2, MIN_REJECTION_BACKOFF, MAX_REJECTION_BACKOFF);
        endpoint.avoidedUntil = std::max(endpoint.avoidedUntil, now + endpoint.rejectionBackoff);
    } else if (result == AttemptOutcome::Answered) {
        endpoint.rejectionBackoff = Duration(0);
    }
    if (result != AttemptOutcome::Abandoned && result != AttemptOutcome::Rejected) {
        updateMean(endpoint.failureShare, result == AttemptOutcome::Answered ? 0 : 1);
    }
    const Impl::Attempt attempt = std::move(found->second);
    if (attempt.awaitingFirstByte) {
        impl_->endTransfer(attempt);
        --endpoint.ownUnanswered;
    }
    impl_->attempts.erase(ticket);
    --endpoint.ownAttempts;
    if (endpoint.ownAttempts == 0) {
        endpoint.transferBacklogMs = 0;
        endpoint.unansweredSince.reset();
    }
    if (result == AttemptOutcome::Failed || result == AttemptOutcome::TimedOut) {
        endpoint.health.recordFailure(now);
    }
    if (result == AttemptOutcome::Answered && !attempt.prefixHashes.empty() && attempt.work != AttemptWork::Prefill && attempt.answeredAt != Time::min()) {
        impl_->engineModels[endpoint.record.service].recordGeneration(toMs(now - attempt.answeredAt));
    }
    if (result == AttemptOutcome::Answered && attempt.prefixHashes.empty() && attempt.work == AttemptWork::Run) {
        auto &mean = impl_->plainCallMs.emplace(endpoint.record.service, INITIAL_PLAIN_CALL_MS).first->second;
        updateMean(mean, std::max(1.0, toMs(now - attempt.beganAt) - roundTripMs(endpoint.distance)));
    }
}

EndpointUpdate PhaseRouter::observeAnswer(Ticket ticket, const EndpointAnswer &answer, Time now)
{
    EndpointUpdate update;
    const auto found = impl_->attempts.find(ticket);
    Impl::Endpoint *endpoint = found == impl_->attempts.end() ? nullptr : impl_->targetOf(found->second);
    if (endpoint == nullptr) {
        return update;
    }
    if (answer.load) {
        reportLoad(endpoint->record.id, *answer.load, now);
    }
    update.newlyLeaving = answer.leaving && !endpoint->announcedLeaving && !endpoint->record.leaving;
    endpoint->announcedLeaving = endpoint->announcedLeaving || answer.leaving;
    update.limitChange = endpoint->limit.recordAnswer(answer, found->second.beganAt, impl_->limitPhase(*endpoint), now);
    if (answer.requestLimitUnreadable
        && (endpoint->unreadableLimitReportedAt == Time::min() || now - endpoint->unreadableLimitReportedAt >= FINDING_INTERVAL)) {
        endpoint->unreadableLimitReportedAt = now;
        update.limitUnreadable = true;
    }
    if (answer.retryAfter) {
        update.pause = std::min(*answer.retryAfter, MAX_PAUSE);
        endpoint->pausedUntil = std::max(endpoint->pausedUntil, now + *update.pause);
    }
    return update;
}

void PhaseRouter::reportLoad(const EndpointId &endpoint, const ReportedLoad &load, Time now)
{
    const auto found = impl_->endpoints.find(endpoint);
    if (found == impl_->endpoints.end()) {
        return;
    }
    Impl::Endpoint &state = found->second;
    state.foreign.requests = std::max(0, load.running + load.waiting - state.ownAttempts);
    state.foreign.waiting = std::max(0, load.waiting - state.ownUnanswered);
    state.reportedAt = now;
    internal::MeanLoad &mean = impl_->meanLoads[{state.record.service, state.record.phase}];
    updateMean(mean.load.requests, state.foreign.requests);
    updateMean(mean.load.waiting, state.foreign.waiting);
    mean.reportedAt = now;
}

} // namespace mimosatally
