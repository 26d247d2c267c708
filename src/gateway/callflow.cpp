#include "callflow.h"

#include "admission.h"
#include "engineorder.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace mimosatally::internal
{

namespace http = boost::beast::http;
using boost::asio::awaitable;

namespace
{
constexpr unsigned STATUS_OK = 200;
constexpr unsigned STATUS_REDIRECT = 300;
constexpr unsigned STATUS_SERVER_ERROR = 500;
constexpr unsigned STATUS_BAD_GATEWAY = 502;
constexpr unsigned STATUS_UNAVAILABLE = 503;
constexpr unsigned STATUS_GATEWAY_TIMEOUT = 504;
/// \brief Attempts that reach an endpoint or try to, with those that were rejected there.
constexpr int MAX_ATTEMPTS = 4;
/// \brief An answer that takes so many times its predicted time is not expected any more.
constexpr double PATIENCE_FACTOR = 3;
/// \brief Pause for callers when nothing is known of the queue.
constexpr Duration DEFAULT_RETRY_AFTER = Duration(300);
/// \brief An answer that is delivered whole may be as large as this.
constexpr std::size_t MAX_WHOLE_ANSWER_BYTES = std::size_t(16) * 1024 * 1024;

/// \brief Seconds with three decimals.
std::string secondsText(Duration duration)
{
    constexpr Duration::rep millisecondsPerSecond = 1000;
    std::string fraction = std::to_string(duration.count() % millisecondsPerSecond);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::to_string(duration.count() / millisecondsPerSecond) + '.' + fraction;
}

std::string wholeMs(double milliseconds)
{
    return std::to_string(static_cast<long>(milliseconds));
}

/// \brief Counts an attempt at the router for as long as it lasts.
class CountedAttempt
{
public:
    CountedAttempt(PhaseRouter &router, const AttemptPlan &plan, const PlacementRequest &request)
        : router_(router)
        , ticket_(router.begin(plan, request, MilliClock::now()))
    {
    }

    ~CountedAttempt()
    {
        router_.end(ticket_, AttemptEnd::Abandoned, MilliClock::now());
    }

    CountedAttempt(const CountedAttempt &) = delete;
    CountedAttempt &operator=(const CountedAttempt &) = delete;

    [[nodiscard]] PhaseRouter::Ticket ticket() const
    {
        return ticket_;
    }

private:
    PhaseRouter &router_;
    PhaseRouter::Ticket ticket_;
};

bool isSuccess(unsigned status)
{
    return status >= STATUS_OK && status < STATUS_REDIRECT;
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
{
    Duration limit = call_.timeLeft.value_or(route.timeout);
    if (route.timeout > Duration(0)) {
        limit = std::min(limit, route.timeout);
    }
    guard_ = std::make_shared<CallGuard>(gateway.io, arrived_ + limit);
    placementRequest_.service = chooseService();
    placementRequest_.promptTokens = call_.promptTokens;
    placementRequest_.promptParts = std::move(call_.promptParts);
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
            co_await refuse(DEFAULT_RETRY_AFTER, "no-endpoint");
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
        input.timeLeft = guard_->timeLeft(now);
        input.latencyTarget = route_.latencyTarget;
        const AdmissionDecision decision = Admission::decide(input, gateway_.jitter());
        if (!decision.admitted) {
            lastFailure_ = "predicted " + wholeMs(placement.firstByteMs) + " ms, queue " + wholeMs(placement.queueMs) + " ms";
            co_await refuse(decision.retryAfter, "predicted-late");
            co_return false;
        }
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
        retryGranted_ = false;
        co_return true;
    }
    co_await giveUp();
    co_return false;
}

bool CallFlow::mayTryAgain(Next next)
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
    return next == Next::TryAgainUnseen || gateway_.retries.tryRetry(placementRequest_.service, MilliClock::now());
}

Duration CallFlow::patienceFor(double predictedMs) const
{
    const Duration shareOfTime = guard_->timeLeft(MilliClock::now()) * 2 / 5;
    return std::max(shareOfTime, Duration(static_cast<Duration::rep>(predictedMs * PATIENCE_FACTOR)));
}

EndpointAttempt CallFlow::attemptFor(const EndpointId &endpoint) const
{
    EndpointAttempt attempt;
    attempt.target = endpoint;
    attempt.timeLeft = guard_->timeLeft(MilliClock::now());
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
              {"attempt", attempts_},
              {"endpoint", endpoint},
              {"prefill", placement.prefill.value_or(EndpointId("-"))},
              {"reason", placement.reason},
              {"predicted_ms", wholeMs(placement.firstByteMs)},
              {"queue_ms", wholeMs(placement.queueMs)},
              {"prompt", placementRequest_.promptTokens},
              {"cached", placement.cachedTokens},
              {"cache_source", placement.cacheSource.value_or(EndpointId("-"))},
              {"left_ms", guard_->timeLeft(MilliClock::now())},
              {"configuration", configuration_->version}});
    const Duration patience = patienceFor(placement.firstByteMs);
    cacheSource_ = addressOf(placement.cacheSource);
    cached_ = placement.cachedTokens;
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
    }
    const EndpointId source = placement.prefill.value_or(EndpointId());
    const Next next = co_await runAt(endpoint, prompt, source, work, patience);
    co_return next;
}

awaitable<std::optional<PrefilledPrompt>> CallFlow::prefill(EndpointId endpoint, Duration patience)
{
    const EndpointRecord *record = gateway_.router.record(endpoint);
    if (record == nullptr) {
        co_return std::nullopt;
    }
    const boost::asio::ip::tcp::endpoint address = record->address;
    EndpointAttempt attempt = attemptFor(endpoint);
    attempt.prefillOnly = true;
    attempt.cacheSource = cacheSource_;
    attempt.priority = engineOrder(route_.priority, Tokens(0));
    platform::EndpointRequest request = platform::encodeAttempt(exchange_.request(), attempt);
    const AttemptPlan plan {endpoint, AttemptWork::Prefill, cached_};
    CountedAttempt counted(gateway_.router, plan, placementRequest_);
    EndpointCall call(gateway_.connections, *guard_);
    const Time limit = MilliClock::now() + patience;
    const CallProgress progress = co_await call.open(address, std::move(request), call_.id, limit);
    std::string body;
    while (progress == CallProgress::HeadReceived && !call.isComplete() && !call.isBroken()) {
        const std::string_view data = co_await call.read();
        body.append(data);
    }
    const Time now = MilliClock::now();
    const std::optional<ReportedLoad> load = call.answer().load;
    if (load) {
        gateway_.router.reportLoad(endpoint, *load, now);
    }
    const bool answered = progress == CallProgress::HeadReceived && call.isComplete() && call.answer().status == STATUS_OK;
    const std::optional<std::string> handle = answered ? platform::decodePrefillHandle(body) : std::nullopt;
    call.release();
    if (!handle) {
        const bool rejected = progress == CallProgress::HeadReceived && call.answer().notExecuted;
        gateway_.router.end(counted.ticket(), rejected ? AttemptEnd::Rejected : endOfBrokenAttempt(), now);
        logAttempt(endpoint, "prefill", call);
        co_return std::nullopt;
    }
    gateway_.router.end(counted.ticket(), AttemptEnd::Answered, now);
    prefillTime_ = now - arrived_;
    co_return PrefilledPrompt {toString(address), *handle};
}

awaitable<CallFlow::Next> CallFlow::runAt(EndpointId endpoint, std::optional<PrefilledPrompt> prompt, EndpointId source, AttemptWork work, Duration patience)
{
    const EndpointRecord *record = gateway_.router.record(endpoint);
    if (record == nullptr) {
        placementRequest_.excluded.push_back(endpoint);
        co_return Next::TryAgainUnseen;
    }
    const boost::asio::ip::tcp::endpoint address = record->address;
    EndpointAttempt attempt = attemptFor(endpoint);
    if (work == AttemptWork::PrefillAndRun) {
        attempt.priority = engineOrder(route_.priority, placementRequest_.promptTokens - cached_);
        attempt.cacheSource = cacheSource_;
    } else if (prompt) {
        attempt.priority = engineOrder(route_.priority, Tokens(0));
    }
    attempt.prefilled = std::move(prompt);
    platform::EndpointRequest request = platform::encodeAttempt(exchange_.request(), attempt);
    const AttemptPlan plan {endpoint, work, cached_, source};
    CountedAttempt counted(gateway_.router, plan, placementRequest_);
    EndpointCall call(gateway_.connections, *guard_);
    const bool repeatable = route_.repeat == RepeatRule::Idempotent && runs_ + 1 < route_.maxAttempts;
    const Time limit = repeatable ? MilliClock::now() + patience : guard_->deadline();
    const CallProgress progress = co_await call.open(address, std::move(request), call_.id, limit);
    if (progress == CallProgress::HeadReceived) {
        guard_->extendAttempt(guard_->deadline());
        const Next next = co_await deliver(call, endpoint, counted.ticket());
        co_return next;
    }
    gateway_.router.end(counted.ticket(), endOfBrokenAttempt(), MilliClock::now());
    logAttempt(endpoint, "run", call);
    placementRequest_.excluded.push_back(endpoint);
    if (progress == CallProgress::NotConnected) {
        co_return Next::TryAgainUnseen;
    }
    noteRun();
    co_return Next::TryAgainUnknown;
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

void CallFlow::logAttempt(const EndpointId &endpoint, const char *phase, const EndpointCall &call)
{
    lastFailure_ = call.failure().empty() ? "status " + std::to_string(call.answer().status) : call.failure();
    logEvent(LogEvent::GatewayAttemptFailed,
             {{"request", call_.id},
              {"endpoint", endpoint},
              {"phase", phase},
              {"status", call.answer().status},
              {"not_executed", call.answer().notExecuted ? "true" : "false"},
              {"stopped", guard_->stop() == CallStop::None ? "false" : "true"},
              {"error", call.failure()},
              {"prefill_ms", prefillTime_},
              {"after_ms", MilliClock::now() - arrived_}});
    gateway_.metrics.increment("mimosatally_attempts_failed_total", std::string("phase=\"") + phase + '"');
}

awaitable<CallFlow::Next> CallFlow::deliver(EndpointCall &call, EndpointId endpoint, PhaseRouter::Ticket ticket)
{
    const EndpointAnswer &answer = call.answer();
    const Time now = MilliClock::now();
    if (answer.load) {
        gateway_.router.reportLoad(endpoint, *answer.load, now);
    }
    if (answer.notExecuted) {
        gateway_.router.end(ticket, AttemptEnd::Rejected, now);
        logAttempt(endpoint, "run", call);
        placementRequest_.excluded.push_back(endpoint);
        co_return Next::TryAgainNotRun;
    }
    noteRun();
    const bool success = isSuccess(answer.status);
    const bool usable = success ? answer.sealed : !streaming_;
    if (!usable) {
        gateway_.router.end(ticket, AttemptEnd::Failed, now);
        logAttempt(endpoint, "run", call);
        placementRequest_.excluded.push_back(endpoint);
        co_return Next::TryAgainUnknown;
    }
    if (answer.status >= STATUS_SERVER_ERROR && mayTryAgain(Next::TryAgainUnknown)) {
        retryGranted_ = true;
        gateway_.router.end(ticket, AttemptEnd::AnsweredFailure, now);
        logAttempt(endpoint, "run", call);
        placementRequest_.excluded.push_back(endpoint);
        co_return Next::TryAgainUnknown;
    }
    const bool asEvents = success && route_.form == AnswerForm::Events;
    bool delivered = false;
    if (asEvents) {
        delivered = co_await deliverEvents(call, ticket);
    } else {
        delivered = co_await deliverWhole(call);
    }
    if (!delivered) {
        gateway_.router.end(ticket, endOfBrokenAttempt(), MilliClock::now());
        logAttempt(endpoint, "answer", call);
        placementRequest_.excluded.push_back(endpoint);
        co_return Next::TryAgainUnknown;
    }
    gateway_.router.end(ticket, success ? AttemptEnd::Answered : AttemptEnd::AnsweredFailure, MilliClock::now());
    logAnswered(endpoint, answer.status, answer.load.value_or(ReportedLoad()));
    co_return Next::Finished;
}

void CallFlow::logAnswered(const EndpointId &endpoint, unsigned status, const ReportedLoad &load)
{
    const Duration total = MilliClock::now() - arrived_;
    logEvent(LogEvent::GatewayCallAnswered,
             {{"request", call_.id},
              {"endpoint", endpoint},
              {"status", status},
              {"first_byte_ms", firstByte_.value_or(total)},
              {"prefill_ms", prefillTime_},
              {"total_ms", total},
              {"running", load.running},
              {"waiting", load.waiting},
              {"attempts", attempts_}});
    gateway_.metrics.increment("mimosatally_calls_total", isSuccess(status) ? "result=\"answered\"" : "result=\"endpoint_failure\"");
    constexpr double millisecondsPerSecond = 1000;
    gateway_.metrics.observe("mimosatally_first_byte_seconds",
                             "route=\"" + route_.id.value() + '"',
                             static_cast<double>(firstByte_.value_or(total).count()) / millisecondsPerSecond);
}

awaitable<bool> CallFlow::deliverWhole(EndpointCall &call)
{
    std::string body;
    while (!call.isComplete() && !call.isBroken()) {
        const std::string_view data = co_await call.read();
        body.append(data);
        if (body.size() > MAX_WHOLE_ANSWER_BYTES) {
            co_return false;
        }
    }
    if (!call.isComplete()) {
        co_return false;
    }
    HttpResponse response;
    static_cast<http::fields &>(response) = platform::fieldsForCaller(call.header());
    response.result(call.answer().status);
    response.body() = std::move(body);
    call.release();
    co_await exchange_.respond(std::move(response));
    co_return true;
}

awaitable<bool> CallFlow::deliverEvents(EndpointCall &call, PhaseRouter::Ticket ticket)
{
    while (!call.isComplete() && !call.isBroken()) {
        const std::string_view data = co_await call.read();
        framer_.append(data);
        std::string events = framer_.takeWholeEvents();
        if (!events.empty()) {
            gateway_.router.firstByte(ticket, MilliClock::now());
            co_await writeEvents(call, std::move(events));
        }
    }
    if (!call.isComplete()) {
        framer_.dropPartialEvent();
        co_return false;
    }
    std::string rest = framer_.takeRest();
    call.release();
    co_await writeEvents(call, std::move(rest));
    co_await exchange_.endStream();
    co_return true;
}

awaitable<void> CallFlow::writeEvents(EndpointCall &call, std::string events)
{
    if (!streaming_) {
        streaming_ = true;
        firstByte_ = MilliClock::now() - arrived_;
        HttpResponse head;
        static_cast<http::fields &>(head) = platform::fieldsForCaller(call.header());
        head.result(call.answer().status);
        co_await exchange_.beginStream(std::move(head));
    }
    co_await exchange_.writeChunk(events);
}

awaitable<void> CallFlow::giveUp()
{
    if (streaming_) {
        logFailed(0, "stream-broken");
        exchange_.abort();
        co_return;
    }
    if (!mayHaveRun_) {
        co_await refuse(DEFAULT_RETRY_AFTER, guard_->stop() == CallStop::DeadlinePassed ? "deadline" : "attempts-rejected");
        co_return;
    }
    const bool late = guard_->stop() == CallStop::DeadlinePassed || MilliClock::now() >= guard_->deadline();
    const unsigned status = late ? STATUS_GATEWAY_TIMEOUT : STATUS_BAD_GATEWAY;
    const char *reason = late ? "timeout" : "endpoint-failed";
    logFailed(status, reason);
    co_await respondError(status, reason, std::nullopt);
}

void CallFlow::logFailed(unsigned status, const char *reason)
{
    logEvent(LogEvent::GatewayCallFailed,
             {{"request", call_.id},
              {"route", route_.id},
              {"status", status},
              {"reason", reason},
              {"cause", lastFailure_},
              {"attempts", attempts_},
              {"runs", runs_},
              {"after_ms", MilliClock::now() - arrived_}});
    gateway_.metrics.increment("mimosatally_calls_total", "result=\"failed\"");
}

awaitable<void> CallFlow::refuse(Duration retryAfter, const char *reason)
{
    logEvent(LogEvent::GatewayCallRefused,
             {{"request", call_.id},
              {"route", route_.id},
              {"reason", reason},
              {"cause", lastFailure_},
              {"retry_after_ms", retryAfter},
              {"attempts", attempts_},
              {"after_ms", MilliClock::now() - arrived_},
              {"configuration", configuration_->version}});
    gateway_.metrics.increment("mimosatally_calls_total", "result=\"refused\"");
    co_await respondError(STATUS_UNAVAILABLE, reason, retryAfter);
}

awaitable<void> CallFlow::respondError(unsigned status, const char *reason, std::optional<Duration> retryAfter)
{
    HttpResponse response = makeErrorResponse(status, reason, retryAfter);
    co_await exchange_.respond(std::move(response));
}

HttpResponse makeErrorResponse(unsigned status, const char *reason, std::optional<Duration> retryAfter)
{
    const bool notRun = status != STATUS_BAD_GATEWAY && status != STATUS_GATEWAY_TIMEOUT;
    nlohmann::ordered_json body = {{"error", {{"message", reason}, {"type", "gateway_error"}, {"code", reason}}},
                                   {"mimosatally", {{"outcome", notRun ? "not_run" : "outcome_unknown"}, {"reason", reason}}}};
    if (retryAfter) {
        body["mimosatally"]["retry_after_ms"] = retryAfter->count();
    }
    HttpResponse response = makeHttpResponse(status, "application/json", body.dump());
    if (retryAfter) {
        response.set(http::field::retry_after, secondsText(*retryAfter));
    }
    return response;
}

} // namespace mimosatally::internal
