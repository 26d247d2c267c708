#include "callflow.h"

#include "admission.h"

#include <algorithm>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
/// \brief Attempts that reach an endpoint or try to, with those that were rejected there.
constexpr int MAX_ATTEMPTS = 4;
/// \brief An answer that takes so many times its predicted time is not expected any more.
constexpr double PATIENCE_FACTOR = 3;

std::string_view beliefName(CacheBelief belief)
{
    switch (belief) {
    case CacheBelief::None:
        return "none";
    case CacheBelief::Sent:
        return "sent";
    case CacheBelief::FleetHome:
        return "fleet-home";
    case CacheBelief::RegionHome:
        return "region-home";
    }
    return "none";
}

std::string wholeMs(double milliseconds)
{
    return std::to_string(static_cast<long>(milliseconds));
}
} // namespace

CallFlow::CallFlow(
    GatewayState &gateway, HttpExchange &exchange, CallRequest call, std::shared_ptr<const ServingConfiguration> configuration, const Route &route)
    : gateway_(gateway)
    , exchange_(exchange)
    , call_(std::move(call))
    , configuration_(std::move(configuration))
    , route_(route)
    , arrived_(MilliClock::now())
    , running_(gateway.runningSince.insert(arrived_))
{
    Duration limit = call_.remainingTime.value_or(route.timeout);
    if (route.timeout > Duration(0)) {
        limit = std::min(limit, route.timeout);
    }
    guard_ = std::make_shared<CallGuard>(gateway.io, arrived_ + limit);
    placementRequest_.service = chooseService();
    placementRequest_.promptTokens = call_.promptTokens;
    placementRequest_.promptParts = std::move(call_.promptParts);
}

CallFlow::~CallFlow()
{
    gateway_.runningSince.erase(running_);
}

ServiceId CallFlow::chooseService()
{
    int total = 0;
    for (const WeightedService &part : route_.services) {
        total += part.weight;
    }
    double point = gateway_.jitter() * total;
    for (const WeightedService &part : route_.services) {
        point -= part.weight;
        if (point < 0) {
            return part.service;
        }
    }
    return route_.services.back().service;
}

awaitable<void> CallFlow::run()
{
    ++gateway_.callsReceived;
    gateway_.retries.recordRequest(placementRequest_.service, arrived_);
    exchange_.onPeerClosed([weak = std::weak_ptr<CallGuard>(guard_)] {
        if (const auto guard = weak.lock()) {
            guard->callerGone();
        }
    });
    bool goesOn = true;
    while (goesOn) {
        goesOn = co_await placeAndAttempt();
    }
}

awaitable<bool> CallFlow::placeAndAttempt()
{
    // A process that was held up reads a request together with its caller's closing; the watch sees that only after the next wait.
    if (exchange_.isPeerClosed()) {
        guard_->callerGone();
    }
    if (guard_->stop() == CallStop::CallerGone) {
        logEvent(LogEvent::GatewayCallerGone, {{"request", call_.id}, {"after_ms", MilliClock::now() - arrived_}, {"runs", runs_}});
        gateway_.metrics.increment("mimosatally_calls_total", "result=\"caller_gone\"");
        exchange_.abort();
        co_return false;
    }
    const Time now = MilliClock::now();
    if (now >= guard_->deadline()) {
        co_await giveUp();
        co_return false;
    }
    const Placement placement = gateway_.router.place(placementRequest_, now);
    if (!placement.run) {
        if (attempts_ == 0) {
            co_await refuse(placement.retryAfter.value_or(DEFAULT_RETRY_AFTER), "no-endpoint");
        } else {
            co_await giveUp();
        }
        co_return false;
    }
    if (attempts_ == 0) {
        AdmissionInput input;
        input.firstByteMs = placement.firstByteMs;
        input.queueMs = placement.queueMs;
        input.elapsed = now - arrived_;
        input.remainingTime = guard_->remainingTime(now);
        input.latencyTarget = route_.latencyTarget;
        const AdmissionDecision decision = Admission::decide(input, gateway_.jitter());
        if (!decision.admitted) {
            lastFailure_ = "predicted " + wholeMs(placement.firstByteMs) + " ms, queue " + wholeMs(placement.queueMs) + " ms";
            co_await refuse(decision.retryAfter, "predicted-late");
            co_return false;
        }
    }
    const bool paid = payForRetries(placement);
    if (!paid) {
        co_await giveUp();
        co_return false;
    }
    const EndpointId endpoint = *placement.run;
    const Next next = co_await attempt(endpoint, placement);
    if (next == Next::Finished) {
        co_return false;
    }
    // g++ 12 evaluates an await on the right of && even if the left side is false.
    const bool goesOn = co_await continueAfter(next);
    co_return goesOn;
}

awaitable<bool> CallFlow::continueAfter(Next next)
{
    const CallStop stop = guard_->stop();
    if (stop == CallStop::CallerGone) {
        co_return true;
    }
    if (stop != CallStop::DeadlinePassed && (retryGranted_ || mayTryAgain(next))) {
        co_return true;
    }
    co_await giveUp();
    co_return false;
}

bool CallFlow::mayTryAgain(Next next) const
{
    if (attempts_ >= MAX_ATTEMPTS || runs_ >= route_.maxAttempts) {
        return false;
    }
    if (next == Next::TryAgainUnknown && route_.repeat != RepeatRule::Idempotent) {
        return false;
    }
    if (streaming_ && framer_.lastEventId().empty()) {
        return false;
    }
    return true;
}

bool CallFlow::payForRetries(const Placement &placement)
{
    int retries = runsReceived_ > 0 ? 1 : 0;
    if (placement.prefill && readingsReceived_ > 0) {
        ++retries;
    }
    if (retryGranted_) {
        --retries;
        retryGranted_ = false;
    }
    return retries <= 0 || gateway_.retries.tryRetry(placementRequest_.service, MilliClock::now(), retries);
}

Duration CallFlow::patienceFor(double predictedMs) const
{
    const Duration shareOfTime = guard_->remainingTime(MilliClock::now()) * 2 / 5;
    return std::max(shareOfTime, Duration(static_cast<Duration::rep>(predictedMs * PATIENCE_FACTOR)));
}

EndpointAttempt CallFlow::attemptFor(const EndpointId &endpoint) const
{
    EndpointAttempt attempt;
    attempt.target = endpoint;
    attempt.remainingTime = guard_->remainingTime(MilliClock::now());
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

awaitable<CallFlow::Next> CallFlow::attempt(EndpointId endpoint, Placement placement)
{
    ++attempts_;
    logEvent(LogEvent::GatewayCallPlaced,
             {{"request", call_.id},
              {"route", route_.id},
              {"repeat", route_.repeat == RepeatRule::Idempotent ? "idempotent" : "once"},
              {"attempt", attempts_},
              {"endpoint", endpoint},
              {"prefill", placement.prefill.value_or(EndpointId("-"))},
              {"reason", placement.reason},
              {"predicted_ms", wholeMs(placement.firstByteMs)},
              {"queue_ms", wholeMs(placement.queueMs)},
              {"prompt", placementRequest_.promptTokens},
              {"cached", placement.cache.tokens},
              {"cache_belief", beliefName(placement.cache.belief)},
              {"cache_source", placement.cacheSource.value_or(EndpointId("-"))},
              {"left_ms", guard_->remainingTime(MilliClock::now())},
              {"configuration", configuration_->version}});
    const Duration patience = patienceFor(placement.firstByteMs);
    cacheSource_ = addressOf(placement.cacheSource);
    cache_ = placement.cache;
    std::optional<PrefilledPrompt> prompt;
    AttemptWork work = placement.reason == "one-engine" ? AttemptWork::PrefillAndRun : AttemptWork::Run;
    if (placement.prefill) {
        const EndpointId reader = *placement.prefill;
        prompt = co_await prefill(reader, patience);
        if (!prompt) {
            placementRequest_.excluded.push_back(reader);
            co_return Next::TryAgainNotRun;
        }
        work = AttemptWork::Run;
        // The reading may have taken seconds, in which engines leave, fill up or fail.
        const Placement second = gateway_.router.placeRun(placementRequest_, reader, MilliClock::now());
        if (!second.run) {
            co_return Next::TryAgainNotRun;
        }
        endpoint = *second.run;
    }
    const EndpointId source = placement.prefill.value_or(EndpointId());
    const Next next = co_await runAt(endpoint, prompt, source, work, patience);
    co_return next;
}

void CallFlow::noteRun()
{
    mayHaveRun_ = true;
    ++runs_;
}

AttemptEnd CallFlow::endOfBrokenAttempt() const
{
    switch (guard_->stop()) {
    case CallStop::CallerGone:
        return AttemptEnd::Abandoned;
    case CallStop::DeadlinePassed:
    case CallStop::AttemptTimedOut:
        return AttemptEnd::Silent;
    case CallStop::None:
        break;
    }
    return AttemptEnd::Failed;
}

} // namespace mimosatally::internal
