#include "callflow.h"
#include "engineorder.h"

namespace mimosatally::internal
{

namespace http = boost::beast::http;
using boost::asio::awaitable;

namespace
{
constexpr unsigned STATUS_OK = 200;
constexpr unsigned STATUS_SERVER_ERROR = 500;
/// \brief An answer that is delivered whole may be as large as this.
constexpr std::size_t MAX_WHOLE_ANSWER_BYTES = std::size_t(16) * 1024 * 1024;

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
} // namespace

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
    const AttemptPlan plan {endpoint, AttemptWork::Prefill, cache_};
    CountedAttempt counted(gateway_.router, plan, placementRequest_);
    EndpointCall call(gateway_.connections, *guard_);
    const Time limit = MilliClock::now() + patience;
    const CallProgress progress = co_await call.open(address, std::move(request), call_.id, limit);
    readingsReceived_ += progress == CallProgress::NotConnected ? 0 : 1;
    std::string body;
    while (progress == CallProgress::HeadReceived && !call.isComplete() && !call.isBroken()) {
        const std::string_view data = co_await call.read();
        body.append(data);
    }
    const Time now = MilliClock::now();
    if (progress == CallProgress::HeadReceived) {
        observe(counted.ticket(), endpoint, call.answer());
    }
    const bool answered = progress == CallProgress::HeadReceived && call.isComplete() && call.answer().status == STATUS_OK;
    const std::optional<std::string> handle = answered ? platform::decodePrefillHandle(body) : std::nullopt;
    call.release();
    if (!handle) {
        const bool rejected = progress == CallProgress::HeadReceived && call.answer().notExecuted;
        gateway_.router.end(counted.ticket(), rejected ? AttemptEnd::Rejected : endOfBrokenAttempt(), now);
        logAttempt(endpoint, "prefill", call, false);
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
        attempt.priority = engineOrder(route_.priority, placementRequest_.promptTokens - cache_.tokens);
        attempt.cacheSource = cacheSource_;
    } else if (prompt) {
        attempt.priority = engineOrder(route_.priority, Tokens(0));
    }
    attempt.prefilled = std::move(prompt);
    platform::EndpointRequest request = platform::encodeAttempt(exchange_.request(), attempt);
    const AttemptPlan plan {endpoint, work, cache_, source};
    CountedAttempt counted(gateway_.router, plan, placementRequest_);
    EndpointCall call(gateway_.connections, *guard_);
    const bool repeatable = route_.repeat == RepeatRule::Idempotent && runs_ + 1 < route_.maxAttempts;
    const Time limit = repeatable ? MilliClock::now() + patience : guard_->deadline();
    const CallProgress progress = co_await call.open(address, std::move(request), call_.id, limit);
    runsReceived_ += progress == CallProgress::NotConnected ? 0 : 1;
    if (progress == CallProgress::HeadReceived) {
        guard_->extendAttempt(guard_->deadline());
        const Next next = co_await deliver(call, endpoint, counted.ticket());
        co_return next;
    }
    gateway_.router.end(counted.ticket(), endOfBrokenAttempt(), MilliClock::now());
    logAttempt(endpoint, "run", call, progress != CallProgress::NotConnected);
    placementRequest_.excluded.push_back(endpoint);
    if (progress == CallProgress::NotConnected) {
        co_return Next::TryAgainUnseen;
    }
    recordRun();
    co_return Next::TryAgainUnknown;
}

awaitable<CallFlow::Next> CallFlow::deliver(EndpointCall &call, EndpointId endpoint, PhaseRouter::Ticket ticket)
{
    const EndpointAnswer &answer = call.answer();
    const Time now = MilliClock::now();
    observe(ticket, endpoint, answer);
    if (answer.notExecuted) {
        gateway_.router.end(ticket, AttemptEnd::Rejected, now);
        logAttempt(endpoint, "run", call, false);
        placementRequest_.excluded.push_back(endpoint);
        co_return Next::TryAgainNotRun;
    }
    recordRun();
    const bool success = isSuccess(answer.status);
    const bool usable = success ? answer.sealed : !streaming_;
    if (!usable) {
        gateway_.router.end(ticket, AttemptEnd::Failed, now);
        logAttempt(endpoint, "run", call, true);
        placementRequest_.excluded.push_back(endpoint);
        co_return Next::TryAgainUnknown;
    }
    if (answer.status >= STATUS_SERVER_ERROR && mayTryAgain(Next::TryAgainUnknown) && gateway_.retries.tryRetry(placementRequest_.service, now)) {
        retryGranted_ = true;
        gateway_.router.end(ticket, AttemptEnd::AnsweredFailure, now);
        logAttempt(endpoint, "run", call, true);
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
        logAttempt(endpoint, "answer", call, true);
        placementRequest_.excluded.push_back(endpoint);
        co_return Next::TryAgainUnknown;
    }
    gateway_.router.end(ticket, success ? AttemptEnd::Answered : AttemptEnd::AnsweredFailure, MilliClock::now());
    logAnswered(endpoint, answer.status, answer.load.value_or(ReportedLoad()));
    co_return Next::Finished;
}

void CallFlow::observe(PhaseRouter::Ticket ticket, const EndpointId &endpoint, const EndpointAnswer &answer)
{
    const EndpointNews news = gateway_.router.observeAnswer(ticket, answer, MilliClock::now());
    if (news.newlyLeaving) {
        logEvent(LogEvent::EndpointAnnouncedLeaving, {{"request", call_.id}, {"endpoint", endpoint}});
    }
    if (news.pause) {
        logEvent(LogEvent::EndpointPaused, {{"request", call_.id}, {"endpoint", endpoint}, {"pause_ms", *news.pause}});
    }
}

void CallFlow::logAttempt(const EndpointId &endpoint, const char *phase, const EndpointCall &call, bool mayHaveRun)
{
    lastFailure_ = call.failure().empty() ? "status " + std::to_string(call.answer().status) : call.failure();
    logEvent(LogEvent::GatewayAttemptFailed,
             {{"request", call_.id},
              {"endpoint", endpoint},
              {"phase", phase},
              {"status", call.answer().status},
              {"not_executed", call.answer().notExecuted ? "true" : "false"},
              {"may_have_run", mayHaveRun ? "true" : "false"},
              {"stopped", guard_->stop() == CallStop::None ? "false" : "true"},
              {"error", call.failure()},
              {"prefill_ms", prefillTime_},
              {"after_ms", MilliClock::now() - arrived_}});
    gateway_.metrics.increment("mimosatally_attempts_failed_total", std::string("phase=\"") + phase + '"');
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

} // namespace mimosatally::internal
