#include "phaserouterimpl.h"
#include "phasetimes.h"

#include <algorithm>

namespace mimosatally
{

using internal::INITIAL_PLAIN_CALL_MS;
using internal::prefixHashesOf;
using internal::roundTripMs;
using internal::toMs;
using internal::updateMean;

namespace
{
constexpr Duration MIN_REJECTION_BACKOFF = Duration(100);
constexpr Duration MAX_REJECTION_BACKOFF = Duration(800);
/// \brief Upper bound for the pause that an endpoint asks for, so that a wrong answer cannot take its incarnation out of service for ever.
constexpr Duration MAX_PAUSE = std::chrono::hours(24);
/// \brief Maximum number of prefill notices kept for other processes; exceeded between two calls of takePrefillNotices() only if the notices are not taken.
constexpr std::size_t MAX_NOTICES = 1000;
/// \brief Interval between reports of unreadable limits or loads of one endpoint.
constexpr Duration FINDING_INTERVAL = Duration(10'000);
constexpr double MIN_SLOWNESS = 0.3;
constexpr double MAX_SLOWNESS = 8;

/// \brief Returns whether a finding that was last reported at \a reportedAt is reported again, and records that.
bool isFindingDue(Time &reportedAt, Time now)
{
    const bool due = reportedAt == Time::min() || now - reportedAt >= FINDING_INTERVAL;
    reportedAt = due ? now : reportedAt;
    return due;
}
} // namespace

PhaseRouter::Impl::Endpoint *PhaseRouter::Impl::targetOf(const Attempt &attempt)
{
    const auto found = endpoints.find(attempt.endpoint);
    return found == endpoints.end() || found->second.record.startedAt != attempt.startedAt ? nullptr : &found->second;
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
    attempt.usesSpeeds = impl_->usesSpeeds(target.record.service, now);
    attempt.timeFactor = impl_->timeFactor(target, now);
    attempt.reportedFactor = target.speed.momentaryFactor(now);
    const double prefillFactor = impl_->prefillFactor(target, now);
    attempt.queueFactor = prefillFactor;
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
        attempt.predictedMs = roundTripMs(target.distance) + attempt.queueMs + attempt.delayMs + attempt.workMs * attempt.timeFactor
                              + model.firstByteMs(plan.work) * attempt.timeFactor;
        model.recordPrefillStart(target.record.phase.value_or(EnginePhase::Decode), attempt.workMs);
        for (std::size_t part = 0; part < attempt.prefixHashes.size(); ++part) {
            impl_->cache.store(target.cacheIndex, attempt.prefixHashes[part], static_cast<std::size_t>(request.promptParts[part].tokens.count()));
        }
    } else {
        const auto mean = impl_->plainCallMs.find(request.service);
        attempt.predictedMs = roundTripMs(target.distance) + (mean == impl_->plainCallMs.end() ? INITIAL_PLAIN_CALL_MS : mean->second) * attempt.timeFactor;
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
    target.prefillBacklog.add(attempt.workMs * prefillFactor, now);
    if (attempt.workMs > 0) {
        impl_->addNotice(attempt, attempt.workMs * prefillFactor, target, request, now);
    }
    target.recentAttempts.add(Duration(0), now);
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

void PhaseRouter::Impl::addNotice(const Attempt &attempt, double prefillMs, const Endpoint &target, const PlacementRequest &request, Time now)
{
    PrefillNotice notice;
    notice.endpoint = internal::hashOf(target.record.id);
    notice.startedAt = target.record.startedAt;
    notice.prefillMs = prefillMs;
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
    endpoint.recentAttempts.add(notice.age, now);
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
    if (found != impl_->attempts.end()) {
        impl_->recordFirstByte(found->second, false, now);
    }
}

void PhaseRouter::Impl::recordFirstByte(Attempt &attempt, bool rejected, Time now)
{
    if (!attempt.awaitingFirstByte) {
        return;
    }
    attempt.awaitingFirstByte = false;
    endTransfer(attempt);
    Endpoint *target = targetOf(attempt);
    if (target == nullptr) {
        return;
    }
    --target->ownUnanswered;
    attempt.answeredAt = now;
    target->unansweredSince = target->ownAttempts > 1 ? std::optional<Time>(now) : std::nullopt;
    // The time of a rejection is no time of work. An endpoint that rejects at once would make the whole service look quick.
    if (!attempt.prefixHashes.empty() && !(rejected && attempt.usesSpeeds)) {
        learnFirstByte(attempt, *target, now);
    }
}

void PhaseRouter::Impl::learnFirstByte(Attempt &attempt, Endpoint &endpoint, Time now)
{
    const double measuredMs = toMs(now - attempt.beganAt);
    const double slowerMs = attempt.usesSpeeds ? 0 : attempt.workMs * (endpoint.slowness - 1);
    const double unexplainedMs = measuredMs - (attempt.predictedMs - attempt.delayMs + slowerMs);
    recordDelay(attempt, endpoint, unexplainedMs, now);
    if (attempt.work == AttemptWork::Prefill) {
        endpoint.prefillBacklog.correct(unexplainedMs, attempt.backlogCorrections, now);
    }
    updateMean(endpoint.slowness, std::clamp(measuredMs / attempt.predictedMs, MIN_SLOWNESS, MAX_SLOWNESS));
    attempt.speedSample = speedSampleOf(attempt, endpoint, now);
    engineModels[endpoint.record.service].recordFirstByte(modelSampleOf(attempt, endpoint, now));
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
        impl_->recordFirstByte(found->second, result == AttemptOutcome::Rejected, now);
        endpoint.health.recordSuccess(now);
        endpoint.refusal.observeAnswer(found->second.beganAt);
    }
    if (result == AttemptOutcome::Rejected) {
        // An engine that changes its phase rejects all calls for seconds, and its heartbeat reports the change late.
        endpoint.rejectionBackoff = std::clamp(endpoint.rejectionBackoff * 2, MIN_REJECTION_BACKOFF, MAX_REJECTION_BACKOFF);
        endpoint.avoidedUntil = std::max(endpoint.avoidedUntil, now + endpoint.rejectionBackoff);
        ++endpoint.consecutiveRejections;
        endpoint.rejectedAt = now;
    } else if (result == AttemptOutcome::Answered) {
        endpoint.rejectionBackoff = Duration(0);
        endpoint.consecutiveRejections = 0;
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
        impl_->engineModels[endpoint.record.service].recordGeneration(toMs(now - attempt.answeredAt) / attempt.timeFactor);
    }
    if (result == AttemptOutcome::Answered && attempt.prefixHashes.empty() && attempt.work == AttemptWork::Run) {
        auto &mean = impl_->plainCallMs.emplace(endpoint.record.service, INITIAL_PLAIN_CALL_MS).first->second;
        updateMean(mean, std::max(1.0, (toMs(now - attempt.beganAt) - roundTripMs(endpoint.distance)) / attempt.timeFactor));
    }
    if (result == AttemptOutcome::Answered) {
        impl_->learnSpeed(attempt, endpoint, now);
    }
}

bool PhaseRouter::recordRefusedConnection(const EndpointId &endpoint, std::int64_t startedAt, Time now)
{
    const auto found = impl_->endpoints.find(endpoint);
    if (found == impl_->endpoints.end() || found->second.record.startedAt != startedAt) {
        return true;
    }
    if (found->second.refusal.isEnded(now)) {
        return false;
    }
    found->second.refusal.record(found->second.record.heartbeat, now);
    return true;
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
    update.limitUnreadable = answer.requestLimitUnreadable && isFindingDue(endpoint->unreadableLimitReportedAt, now);
    update.loadUnreadable = answer.loadUnreadable && isFindingDue(endpoint->unreadableLoadReportedAt, now);
    if (answer.retryAfter) {
        update.pause = pause(endpoint->record.id, *answer.retryAfter, now);
    }
    return update;
}

Duration PhaseRouter::pause(const EndpointId &endpoint, Duration pause, Time now)
{
    const auto found = impl_->endpoints.find(endpoint);
    const Duration limited = std::min(pause, MAX_PAUSE);
    if (found != impl_->endpoints.end()) {
        found->second.pausedUntil = std::max(found->second.pausedUntil, now + limited);
    }
    return limited;
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
    if (load.relativeTime) {
        state.speed.reportRelativeTime(*load.relativeTime, now);
        impl_->relativeTimeReportedAt[state.record.service] = now;
    }
    internal::MeanLoad &mean = impl_->meanLoads[{state.record.service, state.record.phase}];
    updateMean(mean.load.requests, state.foreign.requests);
    updateMean(mean.load.waiting, state.foreign.waiting);
    mean.reportedAt = now;
}

} // namespace mimosatally
