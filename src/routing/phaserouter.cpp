#include "phaserouterimpl.h"
#include "phasetimes.h"

#include <algorithm>
#include <set>

namespace mimosatally
{

using internal::chainOf;
using internal::INITIAL_PLAIN_MS;
using internal::learn;
using internal::roundTripMs;
using internal::toMs;

namespace
{
/// \brief An endpoint that answers nothing for so long gets no new calls until it answers again.
constexpr Duration LONGEST_SILENCE = Duration(600);
/// \brief After so long a silent endpoint is tried once more.
constexpr Duration SILENCE_RETRY = Duration(2500);
constexpr Duration FIRST_REJECTION_PAUSE = Duration(100);
constexpr Duration LONGEST_REJECTION_PAUSE = Duration(800);
/// \brief An endpoint that asks for a longer pause is tried once in this time, so that a false answer cannot take it out of service.
constexpr Duration LONGEST_PAUSE = Duration(60'000);
/// \brief Readings that are kept for other processes; more begin in the time between two exchanges only if nobody takes them.
constexpr std::size_t MOST_NOTICES = 1000;
constexpr double LEAST_SLOWNESS = 0.3;
constexpr double MOST_SLOWNESS = 8;
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

void PhaseRouter::setEndpoints(const std::map<EndpointId, EndpointRecord> &endpoints, const ServingConfiguration &configuration, Time)
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
            // A new incarnation knows nothing of the one before.
            impl.cache.clear(found->second.cacheIndex);
            const auto index = found->second.cacheIndex;
            found->second = Impl::Endpoint();
            found->second.cacheIndex = index;
        }
        if (found == impl.endpoints.end()) {
            found = impl.endpoints.emplace(id, Impl::Endpoint()).first;
            found->second.cacheIndex = impl.nextCacheIndex++;
            impl.endpointOfCache.emplace(found->second.cacheIndex, id);
        }
        Impl::Endpoint &endpoint = found->second;
        endpoint.record = record;
        endpoint.listed = true;
        impl.endpointOfHash[internal::hashOf(id)] = &endpoint;
        endpoint.distance = impl.distanceTo(record.dataCentre);
        const auto service = configuration.services.find(record.service);
        const std::optional<EngineProfile> engine = service == configuration.services.end() ? std::nullopt : service->second.engine;
        impl.cache.setCapacity(endpoint.cacheIndex, engine ? static_cast<std::size_t>(engine->cacheTokens.count()) : 0);
        if (engine) {
            impl.engines[record.service] = *engine;
        }
        // Calls of an earlier configuration may still be placed on engines of a service that this one has dropped.
        endpoint.model = impl.engines.contains(record.service) ? &impl.models[record.service] : nullptr;
        Impl::ServiceFleet &fleet = impl.services[record.service];
        (endpoint.distance == internal::Distance::OtherRegion ? fleet.far : fleet.near).push_back(&endpoint);
        if (record.phase == EnginePhase::Prefill) {
            fleet.readers[impl.location.regionOf(record.dataCentre)].push_back({internal::hashOf(id), &endpoint});
        }
    }
    std::erase_if(impl.meanLoads, [&impl](const auto &entry) {
        return !impl.services.contains(entry.first.first);
    });
    std::erase_if(impl.delays, [&impl](const auto &entry) {
        return !impl.services.contains(entry.first.first);
    });
    std::erase_if(impl.endpoints, [&impl](const auto &entry) {
        const bool gone = !entry.second.listed && entry.second.ownAttempts == 0;
        if (gone) {
            impl.cache.clear(entry.second.cacheIndex);
            impl.endpointOfCache.erase(entry.second.cacheIndex);
        }
        return gone;
    });
    impl.forgetEngines();
}

void PhaseRouter::Impl::forgetEngines()
{
    std::set<ServiceId> used;
    for (const auto &[id, endpoint] : endpoints) {
        used.insert(endpoint.record.service);
    }
    std::erase_if(engines, [&used](const auto &entry) {
        return !used.contains(entry.first);
    });
    std::erase_if(models, [&used](const auto &entry) {
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
    for (const auto &[service, model] : impl_->models) {
        times.emplace(service, model.times());
    }
    return times;
}

const EndpointRecord *PhaseRouter::record(const EndpointId &endpoint) const
{
    const auto found = impl_->endpoints.find(endpoint);
    return found == impl_->endpoints.end() ? nullptr : &found->second.record;
}

bool PhaseRouter::Impl::accepts(const Endpoint &endpoint, Time now)
{
    return endpoint.listed && !endpoint.record.leaving && !endpoint.announcedLeaving && now >= endpoint.pausedUntil;
}

bool PhaseRouter::Impl::mayServe(const Endpoint &endpoint, const PlacementRequest &request, Time now)
{
    const bool excluded = std::ranges::find(request.excluded, endpoint.record.id) != request.excluded.end();
    return accepts(endpoint, now) && !excluded;
}

std::optional<Duration> PhaseRouter::Impl::shortestPause(const ServiceFleet &fleet, Time now)
{
    std::optional<Duration> shortest;
    for (const auto *part : {&fleet.near, &fleet.far}) {
        for (const Endpoint *endpoint : *part) {
            const Duration left = endpoint->pausedUntil - now;
            const bool stays = !endpoint->record.leaving && !endpoint->announcedLeaving;
            if (stays && now < endpoint->pausedUntil && (!shortest || left < *shortest)) {
                shortest = left;
            }
        }
    }
    return shortest;
}

PhaseRouter::Impl::Endpoint *PhaseRouter::Impl::targetOf(const Attempt &attempt)
{
    const auto found = endpoints.find(attempt.endpoint);
    return found == endpoints.end() || found->second.record.startedAt != attempt.startedAt ? nullptr : &found->second;
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

std::vector<const PhaseRouter::Impl::Endpoint *> PhaseRouter::Impl::usable(const std::vector<const Endpoint *> &sample,
                                                                           const PlacementRequest &request,
                                                                           Time now)
{
    std::vector<const Endpoint *> candidates;
    std::vector<const Endpoint *> suspected;
    for (const Endpoint *endpoint : sample) {
        if (mayServe(*endpoint, request, now)) {
            (healthy(*endpoint, now) ? candidates : suspected).push_back(endpoint);
        }
    }
    const auto generates = [](const Endpoint *endpoint) {
        return endpoint->record.phase != EnginePhase::Prefill;
    };
    if (std::ranges::none_of(candidates, generates)) {
        // An endpoint that seems broken is better than none: the fault may be this process's own.
        std::ranges::copy_if(suspected, std::back_inserter(candidates), generates);
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
    const Impl::PromptView prompt = impl_->viewOf(request, fleet, now);
    std::vector<const Impl::Endpoint *> candidates = Impl::usable(impl_->sampleOf(fleet, prompt), request, now);
    if (candidates.empty()) {
        std::vector<const Impl::Endpoint *> all = fleet.near;
        all.insert(all.end(), fleet.far.begin(), fleet.far.end());
        candidates = Impl::usable(all, request, now);
    }
    Placement placement = impl_->engines.contains(request.service) ? impl_->placeEngine(candidates, prompt, now) : impl_->placePlain(candidates, now);
    if (!placement.run) {
        placement.retryAfter = Impl::shortestPause(fleet, now);
    }
    return placement;
}

Placement PhaseRouter::placeRun(const PlacementRequest &request, const EndpointId &reader, Time now) const
{
    const auto service = impl_->services.find(request.service);
    const auto source = impl_->endpoints.find(reader);
    if (service == impl_->services.end() || source == impl_->endpoints.end()) {
        return {};
    }
    std::vector<const Impl::Endpoint *> all = service->second.near;
    all.insert(all.end(), service->second.far.begin(), service->second.far.end());
    return impl_->placeGeneration(Impl::usable(all, request, now), source->second, request.promptTokens, now);
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
    attempt.begun = now;
    if (target.model != nullptr) {
        internal::EngineModel &model = impl_->models[target.record.service];
        attempt.chain = chainOf(request.promptParts);
        attempt.prompt = request.promptTokens;
        attempt.cache = plan.cache;
        attempt.workMs = Impl::expectedReadingMs(target, plan.work, request.promptTokens, plan.cache, 0);
        attempt.queueMs = plan.work == AttemptWork::Prefill ? 0 : impl_->slotWaitMs(target, now);
        attempt.queueMs += plan.work == AttemptWork::Run ? 0 : impl_->queueMs(target, now);
        attempt.backlogCorrections = target.readBacklog.corrections();
        attempt.delayMs = impl_->delayMs(target.record.service, plan.work, now);
        attempt.predictedMs = roundTripMs(target.distance) + attempt.queueMs + attempt.delayMs + attempt.workMs + model.firstByteMs(plan.work);
        model.observeWork(target.record.phase.value_or(EnginePhase::Decode), attempt.workMs);
        for (std::size_t part = 0; part < attempt.chain.size(); ++part) {
            impl_->cache.store(target.cacheIndex, attempt.chain[part], static_cast<std::size_t>(request.promptParts[part].tokens.count()));
        }
    } else {
        const auto known = impl_->plainMs.find(request.service);
        attempt.predictedMs = roundTripMs(target.distance) + (known == impl_->plainMs.end() ? INITIAL_PLAIN_MS : known->second);
    }
    const auto from = impl_->endpoints.find(plan.promptSource);
    if (from != impl_->endpoints.end()) {
        attempt.source = plan.promptSource;
        attempt.transferMs = impl_->transferMs(from->second, target, request.promptTokens);
        attempt.queueMs += target.transferBacklogMs;
        attempt.predictedMs += target.transferBacklogMs + attempt.transferMs;
        from->second.transferBacklogMs += attempt.transferMs;
        target.transferBacklogMs += attempt.transferMs;
    }
    target.readBacklog.add(attempt.workMs * target.slowness, now);
    if (attempt.workMs > 0) {
        impl_->addNotice(attempt, target, request, now);
    }
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
    ReadingNotice notice;
    notice.endpoint = internal::hashOf(target.record.id);
    notice.startedAt = target.record.startedAt;
    notice.readingMs = attempt.workMs * target.slowness;
    for (std::size_t part = 0; part < attempt.chain.size(); ++part) {
        notice.prefixes.push_back({attempt.chain[part], request.promptParts[part].tokens});
    }
    notices.emplace_back(now, std::move(notice));
    if (notices.size() > MOST_NOTICES) {
        notices.pop_front();
    }
}

std::vector<ReadingNotice> PhaseRouter::takeReadingNotices(Time now)
{
    std::vector<ReadingNotice> result;
    for (auto &[begun, notice] : impl_->notices) {
        notice.age = now - begun;
        result.push_back(std::move(notice));
    }
    impl_->notices.clear();
    return result;
}

void PhaseRouter::noteReading(const ReadingNotice &notice, Time now)
{
    const auto found = impl_->endpointOfHash.find(notice.endpoint);
    if (found == impl_->endpointOfHash.end() || found->second->record.startedAt != notice.startedAt) {
        return;
    }
    Impl::Endpoint &endpoint = *found->second;
    // An engine that had no other work has begun the reading already.
    const double idleMs = std::max(0.0, toMs(notice.age) - endpoint.readBacklog.leftMs(now));
    endpoint.readBacklog.add(std::max(0.0, notice.readingMs - idleMs), now);
    for (const PromptPrefix &prefix : notice.prefixes) {
        impl_->cache.store(endpoint.cacheIndex, prefix.hash, static_cast<std::size_t>(prefix.tokens.count()));
    }
}

void PhaseRouter::notePeers(Time now)
{
    impl_->peersHeardAt = now;
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
    attempt.reading = false;
    impl_->endTransfer(attempt);
    Impl::Endpoint *target = impl_->targetOf(attempt);
    if (target == nullptr) {
        return;
    }
    Impl::Endpoint &endpoint = *target;
    --endpoint.ownUnanswered;
    attempt.answeredAt = now;
    endpoint.unansweredSince = endpoint.ownAttempts > 1 ? std::optional<Time>(now) : std::nullopt;
    if (!attempt.chain.empty()) {
        const double measured = toMs(now - attempt.begun);
        const double unexplained = measured - (attempt.predictedMs - attempt.delayMs + attempt.workMs * (endpoint.slowness - 1));
        impl_->observeDelay(attempt, endpoint, unexplained, now);
        if (attempt.work == AttemptWork::Prefill) {
            endpoint.readBacklog.correct(unexplained, attempt.backlogCorrections, now);
        }
        learn(endpoint.slowness, std::clamp(measured / attempt.predictedMs, LEAST_SLOWNESS, MOST_SLOWNESS));
        const double net = std::max(0.0, measured - roundTripMs(endpoint.distance));
        impl_->models[endpoint.record.service].observe({attempt.work, attempt.prompt, attempt.cache, attempt.transferMs, attempt.queueMs, net});
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
        if (found->second.reading) {
            impl_->endTransfer(found->second);
        }
        impl_->attempts.erase(found);
        return;
    }
    Impl::Endpoint &endpoint = *target;
    if (result == AttemptOutcome::Answered || result == AttemptOutcome::Rejected || result == AttemptOutcome::AnsweredFailure) {
        firstByte(ticket, now);
        endpoint.health.recordSuccess(now);
    }
    if (result == AttemptOutcome::Rejected) {
        // An engine that changes its phase rejects everything for seconds, and its heartbeat shows that late.
        endpoint.rejectionPause = std::clamp(endpoint.rejectionPause * 2, FIRST_REJECTION_PAUSE, LONGEST_REJECTION_PAUSE);
        endpoint.avoidedUntil = std::max(endpoint.avoidedUntil, now + endpoint.rejectionPause);
    } else if (result == AttemptOutcome::Answered) {
        endpoint.rejectionPause = Duration(0);
    }
    if (result != AttemptOutcome::Abandoned && result != AttemptOutcome::Rejected) {
        learn(endpoint.failureShare, result == AttemptOutcome::Answered ? 0 : 1);
    }
    const Impl::Attempt attempt = std::move(found->second);
    if (attempt.reading) {
        impl_->endTransfer(attempt);
        --endpoint.ownUnanswered;
    }
    impl_->attempts.erase(ticket);
    --endpoint.ownAttempts;
    if (endpoint.ownAttempts == 0) {
        endpoint.transferBacklogMs = 0;
        endpoint.unansweredSince.reset();
    }
    if (result == AttemptOutcome::Failed || result == AttemptOutcome::Silent) {
        endpoint.health.recordFailure(now);
    }
    if (result == AttemptOutcome::Answered && !attempt.chain.empty() && attempt.work != AttemptWork::Prefill && attempt.answeredAt != Time::min()) {
        impl_->models[endpoint.record.service].observeGeneration(toMs(now - attempt.answeredAt));
    }
    if (result == AttemptOutcome::Answered && attempt.chain.empty() && attempt.work == AttemptWork::Run) {
        auto &mean = impl_->plainMs.emplace(endpoint.record.service, INITIAL_PLAIN_MS).first->second;
        learn(mean, std::max(1.0, toMs(now - attempt.begun) - roundTripMs(endpoint.distance)));
    }
}

EndpointNews PhaseRouter::observeAnswer(Ticket ticket, const EndpointAnswer &answer, Time now)
{
    EndpointNews news;
    const auto found = impl_->attempts.find(ticket);
    Impl::Endpoint *endpoint = found == impl_->attempts.end() ? nullptr : impl_->targetOf(found->second);
    if (endpoint == nullptr) {
        return news;
    }
    if (answer.load) {
        reportLoad(endpoint->record.id, *answer.load, now);
    }
    news.newlyLeaving = answer.leaving && !endpoint->announcedLeaving && !endpoint->record.leaving;
    endpoint->announcedLeaving = endpoint->announcedLeaving || answer.leaving;
    if (answer.retryAfter) {
        news.pause = std::min(*answer.retryAfter, LONGEST_PAUSE);
        endpoint->pausedUntil = std::max(endpoint->pausedUntil, now + *news.pause);
    }
    return news;
}

void PhaseRouter::reportLoad(const EndpointId &endpoint, const ReportedLoad &load, Time now)
{
    const auto found = impl_->endpoints.find(endpoint);
    if (found == impl_->endpoints.end()) {
        return;
    }
    Impl::Endpoint &reporting = found->second;
    reporting.foreign.requests = std::max(0, load.running + load.waiting - reporting.ownAttempts);
    reporting.foreign.waiting = std::max(0, load.waiting - reporting.ownUnanswered);
    reporting.reportedAt = now;
    internal::MeanLoad &mean = impl_->meanLoads[{reporting.record.service, reporting.record.phase}];
    learn(mean.load.requests, reporting.foreign.requests);
    learn(mean.load.waiting, reporting.foreign.waiting);
    mean.reportedAt = now;
}

} // namespace mimosatally
