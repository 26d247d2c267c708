#include "callflow.h"

#include "admission.h"
#include "logtext.h"
#include "requestreservation.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
/// \brief Limit on attempts, including those that did not reach an endpoint or were rejected there, except for refused connections.
constexpr int MAX_ATTEMPTS = 4;
/// \brief An attempt does not time out before this multiple of its predicted time.
constexpr double ATTEMPT_TIMEOUT_FACTOR = 3;
/// \brief Longest wait for an endpoint of a stream's version. An endpoint that crashed is registered again after about as long.
constexpr Duration MAX_VERSION_WAIT = Duration(3000);
constexpr Duration VERSION_POLL_INTERVAL = Duration(100);

/// \brief Time that a call may take: what its caller has stated, up to the timeout of its route.
Duration timeLimit(const CallRequest &call, const Route &route)
{
    const Duration limit = call.remainingTime.value_or(route.timeout);
    return route.timeout > Duration(0) ? std::min(limit, route.timeout) : limit;
}
} // namespace

CallFlow::CallFlow(GatewayState &gateway,
                   HttpExchange &exchange,
                   CallRequest call,
                   CallerIdentity caller,
                   std::shared_ptr<const ServingConfiguration> configuration,
                   const Route &route)
    : gateway_(gateway)
    , exchange_(exchange)
    , call_(std::move(call))
    , caller_(std::move(caller))
    , configuration_(std::move(configuration))
    , route_(route)
    , stream_(call_.id, chooseService())
    , registration_(gateway.streams, gateway.streamLookup)
    , arrived_(MilliClock::now() - exchange.waited())
    , guard_(std::make_shared<CallGuard>(gateway.io, arrived_ + timeLimit(call_, route)))
    , activeEntry_(gateway.activeCalls.emplace(arrived_, ActiveCall {guard_, route.isPublic ? CallerIdentity() : caller_}))
    , suspects_(gateway.suspects, exchange.request(), call_.promptParts)
    , extraTimer_(gateway.io)
    , extraSignal_(gateway.io)
{
    placementRequest_.promptParts = call_.promptParts;
    placementRequest_.service = stream_.service();
    placementRequest_.promptTokens = call_.promptTokens;
    if (gateway_.contention.isActive()) {
        contention_.emplace(gateway_, call_, route_, caller_.organisation, arrived_);
    }
}

CallFlow::~CallFlow()
{
    endMeasurement(false, MilliClock::now());
    if (extra_) {
        extra_->stop();
    }
    gateway_.activeCalls.erase(activeEntry_);
}

ServiceId CallFlow::chooseService()
{
    if (isResumable(route_) && !call_.id.empty()) {
        return gateway_.streams.rules().chooseService(call_.id, route_);
    }
    int total = 0;
    for (const WeightedService &weightedService : route_.services) {
        total += weightedService.weight;
    }
    double point = gateway_.jitter() * total;
    for (const WeightedService &weightedService : route_.services) {
        point -= weightedService.weight;
        if (point < 0) {
            return weightedService.service;
        }
    }
    return route_.services.back().service;
}

awaitable<void> CallFlow::run()
{
    ++gateway_.callsReceived;
    exchange_.onPeerClosed([weak = std::weak_ptr<CallGuard>(guard_)] {
        if (const auto guard = weak.lock()) {
            guard->callerDisconnected();
        }
    });
    guard_->onStopped([this](StopReason reason) {
        stopExtraAttempt();
        // A caller that does not read would otherwise hold the answer for the whole time of a write.
        if (reason == StopReason::KeyRevoked && exchange_.hasResponded()) {
            exchange_.abort();
        }
    });
    try {
        bool retry = true;
        if (call_.resumed) {
            retry = co_await bindResumedStream();
        }
        gateway_.retries.recordRequest(placementRequest_.service, arrived_);
        gateway_.suspects.recordCall(suspects_.parts(), arrived_);
        while (retry) {
            retry = co_await placeAndAttempt();
        }
    } catch (const boost::system::system_error &error) {
        if (guard_->stopReason() == StopReason::KeyRevoked) {
            cutStream(REVOKED_REASON);
        } else {
            logUndelivered(error.code().message());
        }
        throw;
    } catch (const std::exception &error) {
        logUndelivered(error.what());
        throw;
    }
}

awaitable<bool> CallFlow::bindResumedStream()
{
    if (route_.form != AnswerForm::Events) {
        co_return true;
    }
    const RequestId root = call_.resumed ? call_.resumed->root : RequestId();
    // Of several services any may have begun the stream, so no conclusion is drawn from the versions of one of them.
    const ServiceId service = route_.services.size() == 1 ? stream_.service() : ServiceId();
    const std::optional<StreamOrigin> origin = co_await gateway_.streamLookup.lookUp(root, service, &route_);
    const bool isServed = origin && std::ranges::any_of(route_.services, [&origin](const WeightedService &candidate) {
                              return candidate.service == origin->service;
                          });
    if (!isServed) {
        // Events of another version would not fit those that the caller has.
        co_await refuse(DEFAULT_RETRY_AFTER, "version-unknown");
        co_return false;
    }
    stream_.resume(root.empty() ? call_.id : root, origin->service, origin->version);
    placementRequest_.service = origin->service;
    placementRequest_.version = origin->version;
    co_return true;
}

bool CallFlow::bindNewStream(Time now)
{
    const bool begins = isResumable(route_) && !call_.resumed && !stream_.version() && !call_.id.empty();
    placementRequest_.beginsStream = begins;
    if (!begins) {
        return true;
    }
    OriginRules &rules = gateway_.streams.rules();
    ruleVersion_ = rules.chooseVersion(call_.id, stream_.service());
    ruleAsOf_ = gateway_.endpointsAsOf();
    placementRequest_.version = rules.isMixed(stream_.service()) ? ruleVersion_ : std::nullopt;
    return gateway_.hasFreshView(now);
}

bool CallFlow::mayBegin(const EndpointRecord *endpoint, Time now)
{
    if (!isResumable(route_) || call_.resumed || stream_.version() || !ruleVersion_) {
        return true;
    }
    const bool isOld = !gateway_.settings.peers.empty() && (!ruleAsOf_ || now - *ruleAsOf_ > OriginRules::VIEW_LIFETIME);
    if (!isOld && isSameVersion(stream_.writer(endpoint), *ruleVersion_)) {
        return true;
    }
    // The endpoints have changed since the call was placed.
    const std::optional<SoftwareVersion> present = gateway_.streams.rules().chooseVersion(call_.id, stream_.service());
    return gateway_.hasFreshView(now) && present && isSameVersion(stream_.writer(endpoint), *present);
}

awaitable<bool> CallFlow::placeAndAttempt()
{
    // After a stall of the process, a request and the close by its caller arrive together; onPeerClosed() reports that only after the next wait.
    if (exchange_.isPeerClosed()) {
        guard_->callerDisconnected();
    }
    if (guard_->stopReason() == StopReason::CallerDisconnected) {
        co_await endCallerGone();
        co_return false;
    }
    const Time now = MilliClock::now();
    if (guard_->stopReason() == StopReason::KeyRevoked) {
        co_await endRevoked();
        co_return false;
    }
    if (now >= guard_->deadline()) {
        co_await giveUp();
        co_return false;
    }
    const bool blocked = co_await refuseBlocked(now);
    if (blocked) {
        co_return false;
    }
    if (contention_) {
        placementRequest_.reservedSlots = contention_->reservedSlots(placementRequest_.service, now);
    }
    if (!bindNewStream(now)) {
        lastFailure_ = "the endpoints were not read for too long";
        if (attempts_ > 0) {
            co_await giveUp();
        } else {
            co_await refuse(DEFAULT_RETRY_AFTER, "endpoints-unknown");
        }
        co_return false;
    }
    const Placement placement = gateway_.router.place(placementRequest_, now);
    if (!placement.run) {
        const bool waits = awaitsVersion(placement, now);
        if (waits) {
            co_await pauseForVersion();
            co_return true;
        }
        co_await endUnplaced(placement);
        co_return false;
    }
    if (attempts_ == 0) {
        const std::optional<bool> placeAgain = co_await admit(placement, now);
        if (placeAgain) {
            co_return *placeAgain;
        }
    }
    const bool withinBudget = chargeRetryBudget(placement);
    if (!withinBudget) {
        co_await giveUp();
        co_return false;
    }
    const EndpointId endpoint = *placement.run;
    const NextStep next = co_await attempt(endpoint, placement);
    if (next == NextStep::Finished) {
        co_return false;
    }
    // g++ 12 evaluates a co_await on the right of && even if the left side is false.
    const bool retry = co_await retryOrGiveUp(next);
    co_return retry;
}

awaitable<std::optional<bool>> CallFlow::admit(Placement placement, Time now)
{
    if (contention_) {
        const std::optional<bool> placeAgain = co_await admitContended(placement, now);
        co_return placeAgain;
    }
    AdmissionInput input;
    input.firstByteMs = placement.firstByteMs;
    input.queueMs = placement.queueMs;
    input.elapsed = now - arrived_;
    input.remainingTime = guard_->remainingTime(now);
    input.latencyTarget = route_.latencyTarget;
    const AdmissionDecision decision = Admission::decide(input, gateway_.jitter());
    if (decision.admitted) {
        co_return std::nullopt;
    }
    lastFailure_ = "predicted " + truncatedMs(placement.firstByteMs) + " ms, queue " + truncatedMs(placement.queueMs) + " ms";
    co_await refuse(decision.retryAfter, "predicted-late");
    co_return false;
}

bool CallFlow::awaitsVersion(const Placement &placement, Time now)
{
    const bool continues = call_.resumed || stream_.version();
    if (!continues || !placementRequest_.version || placement.versionGone || placement.retryAfter) {
        return false;
    }
    if (!versionWaitEnd_) {
        // The other half of the time is left for the rest of the stream.
        versionWaitEnd_ = now + std::min(MAX_VERSION_WAIT, guard_->remainingTime(now) / 2);
        gateway_.metrics.increment("mimosatally_version_waits_total", {});
    }
    return now < *versionWaitEnd_;
}

awaitable<void> CallFlow::pauseForVersion()
{
    boost::asio::steady_timer timer(gateway_.io, VERSION_POLL_INTERVAL);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

awaitable<void> CallFlow::endUnplaced(const Placement &placement)
{
    if (streaming_ && placement.versionGone) {
        cutStream("version-gone");
    } else if (attempts_ > 0) {
        co_await giveUp();
    } else {
        lastFailure_ = placement.retryAfter ? "endpoints are paused or take no more requests" : "";
        co_await refuse(placement.retryAfter.value_or(DEFAULT_RETRY_AFTER), placement.versionGone ? "version-gone" : "no-endpoint");
    }
}

awaitable<bool> CallFlow::refuseBlocked(Time now)
{
    const std::vector<SuspectId> &own = suspects_.known();
    const bool hasBlocked = gateway_.suspects.isBlocked(own);
    const std::optional<BlockedSuspect> blocked = gateway_.suspects.check(own, now);
    if (!blocked) {
        testsBlocked_ = hasBlocked;
        co_return false;
    }
    const char *kind = isRequestSuspect(blocked->suspect) ? "the request" : "a part of the prompt";
    lastFailure_ = std::string(kind) + " ended " + std::to_string(blocked->crashes) + " endpoints: " + suspectsText(own);
    if (mayHaveRun_ || streaming_) {
        co_await giveUp();
    } else {
        co_await refuse(blocked->retryAfter, "crash-suspect");
    }
    co_return true;
}

awaitable<bool> CallFlow::retryOrGiveUp(NextStep next)
{
    const StopReason stopReason = guard_->stopReason();
    if (stopReason == StopReason::CallerDisconnected || stopReason == StopReason::KeyRevoked) {
        co_return true;
    }
    if (stopReason != StopReason::DeadlinePassed && (retryGranted_ || canRetry(next))) {
        co_return true;
    }
    co_await giveUp();
    co_return false;
}

bool CallFlow::canRetry(NextStep next) const
{
    if (attempts_ - refusedAttempts_ >= MAX_ATTEMPTS || runs_ >= route_.maxAttempts) {
        return false;
    }
    // A repeat could end the next endpoint.
    if (crashed_ && gateway_.suspects.preventsRepeat(suspects_.all(), streaming_)) {
        return false;
    }
    if (next == NextStep::RetryOutcomeUnknown && route_.retryPolicy != RetryPolicy::Idempotent) {
        return false;
    }
    return !streaming_ || framer_.isResumable();
}

bool CallFlow::chargeRetryBudget(const Placement &placement)
{
    int retries = receivedRuns_ > 0 ? 1 : 0;
    if (placement.prefill && receivedPrefills_ > 0) {
        ++retries;
    }
    if (retryGranted_) {
        --retries;
        retryGranted_ = false;
    }
    return retries <= 0 || gateway_.retries.tryRetry(placementRequest_.service, MilliClock::now(), retries);
}

Duration CallFlow::attemptTimeout(double predictedMs) const
{
    const Duration fractionOfRemaining = guard_->remainingTime(MilliClock::now()) * 2 / 5;
    return std::max(fractionOfRemaining, Duration(static_cast<Duration::rep>(predictedMs * ATTEMPT_TIMEOUT_FACTOR)));
}

EndpointAttempt CallFlow::attemptFor(const EndpointId &endpoint) const
{
    EndpointAttempt attempt;
    attempt.target = endpoint;
    attempt.remainingTime = guard_->remainingTime(MilliClock::now());
    // A call may have arrived before the first configuration with organisations, and be repeated after it.
    if (configuration_->organisations || gateway_.keys.isActive()) {
        attempt.organisation = caller_.organisation.id;
    }
    if (streaming_) {
        attempt.resumeAfter = framer_.lastEventId();
    }
    return attempt;
}

std::optional<boost::asio::ip::tcp::endpoint> CallFlow::addressOf(const std::optional<EndpointId> &endpoint) const
{
    const EndpointRecord *record = endpoint ? gateway_.router.record(*endpoint) : nullptr;
    return record == nullptr ? std::nullopt : std::optional(record->address);
}

awaitable<CallFlow::NextStep> CallFlow::attempt(EndpointId endpoint, Placement placement)
{
    ++attempts_;
    logPlaced(endpoint, placement);
    const Duration timeout = attemptTimeout(placement.firstByteMs);
    predicted_ = Duration(static_cast<Duration::rep>(placement.firstByteMs));
    cacheSource_ = addressOf(placement.cacheSource);
    cachedPrefix_ = placement.cache;
    std::optional<PrefilledPrompt> prompt;
    const AttemptWork work = placement.reason == "one-engine" ? AttemptWork::PrefillAndRun : AttemptWork::Run;
    if (placement.prefill) {
        const EndpointId prefillEngine = *placement.prefill;
        const EndpointRecord *prefillRecord = gateway_.router.record(prefillEngine);
        const SoftwareVersion prefillVersion = prefillRecord == nullptr ? SoftwareVersion() : prefillRecord->version;
        RequestReservation reservation(gateway_.router, endpoint);
        prompt = co_await prefill(prefillEngine, timeout);
        reservation.end();
        if (!prompt) {
            placementRequest_.excluded.push_back(prefillEngine);
            co_return NextStep::RetryNotRun;
        }
        if (!testsBlocked_ && gateway_.suspects.isBlocked(suspects_.known())) {
            co_return NextStep::RetryNotRun;
        }
        const NextStep next = co_await runPrefilled(prompt, prefillEngine, prefillVersion, timeout);
        co_return next;
    }
    const EndpointId noPrefillEngine;
    const NextStep next = co_await runAt(endpoint, prompt, noPrefillEngine, work, timeout);
    const NextStep settled = co_await settleExtraAttempt(next);
    co_return settled;
}

awaitable<CallFlow::NextStep> CallFlow::runPrefilled(std::optional<PrefilledPrompt> prompt, EndpointId prefillEngine, SoftwareVersion version, Duration timeout)
{
    NextStep next = NextStep::RetryNotRun;
    bool refused = false;
    do {
        // The prefill may have taken seconds, during which engines can leave, fill up or fail.
        PlacementRequest decodeRequest = placementRequest_;
        decodeRequest.version = version;
        const Placement placement = gateway_.router.placeDecode(decodeRequest, prefillEngine, MilliClock::now());
        if (!placement.run) {
            co_return NextStep::RetryNotRun;
        }
        const EndpointId endpoint = *placement.run;
        const int refusedBefore = refusedAttempts_;
        next = co_await runAt(endpoint, prompt, prefillEngine, AttemptWork::Run, timeout);
        // An engine that has received nothing has not taken the prompt's KV cache either, so another one can.
        refused = refusedAttempts_ > refusedBefore;
        attempts_ += refused ? 1 : 0;
    } while (refused && guard_->stopReason() == StopReason::None);
    co_return next;
}

void CallFlow::recordIfRefused(const EndpointCall &call, const EndpointId &endpoint, std::int64_t startedAt)
{
    if (!call.wasRefused()) {
        return;
    }
    const bool isNews = gateway_.router.recordRefusedConnection(endpoint, startedAt, MilliClock::now());
    // An endpoint that is known to have ended is tried last, and such attempts are limited like others.
    refusedAttempts_ += isNews ? 1 : 0;
}

void CallFlow::recordRun()
{
    mayHaveRun_ = true;
    ++runs_;
    // A stream begins to run with its first event.
    if (route_.form != AnswerForm::Events) {
        countRun(sentAt_);
    }
}

void CallFlow::countRun(Time begun)
{
    // A call that continues a stream runs a request again that has counted at its first event.
    const bool continues = call_.resumed && route_.form == AnswerForm::Events;
    if (!usageCounted_ && !continues) {
        usageCounted_ = true;
        gateway_.usageCounter.count(caller_.organisation.id, begun);
    }
}

AttemptOutcome CallFlow::failedAttemptOutcome() const
{
    switch (guard_->stopReason()) {
    case StopReason::CallerDisconnected:
    case StopReason::KeyRevoked:
    case StopReason::Superseded:
        return AttemptOutcome::Abandoned;
    case StopReason::DeadlinePassed:
    case StopReason::AttemptTimedOut:
        return AttemptOutcome::TimedOut;
    case StopReason::None:
        break;
    }
    return AttemptOutcome::Failed;
}

} // namespace mimosatally::internal
