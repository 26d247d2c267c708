#include "callflow.h"
#include "logtext.h"

namespace mimosatally::internal
{

namespace http = boost::beast::http;
using boost::asio::awaitable;

namespace
{
constexpr unsigned STATUS_OK = 200;
constexpr unsigned STATUS_SERVER_ERROR = 500;
/// \brief Size limit of an answer that is buffered until it is complete.
constexpr std::size_t MAX_BUFFERED_ANSWER_BYTES = std::size_t(16) * 1024 * 1024;
/// \brief Size limit of a prefill's answer, whose handle is sent on in a field of the next request.
constexpr std::size_t MAX_PREFILL_ANSWER_BYTES = std::size_t(64) * 1024;
/// \brief Answered requests with a longer body are not remembered as sound, since their hash would take more than some tens of microseconds.
constexpr std::size_t MAX_REMEMBERED_REQUEST_BYTES = std::size_t(32) * 1024;

/// \brief Registers an attempt with the router, and ends it as abandoned unless its outcome was reported before.
class RouterAttempt
{
public:
    RouterAttempt(PhaseRouter &router, const AttemptPlan &plan, const PlacementRequest &request)
        : router_(router)
        , ticket_(router.begin(plan, request, MilliClock::now()))
    {
    }

    ~RouterAttempt()
    {
        router_.end(ticket_, AttemptOutcome::Abandoned, MilliClock::now());
    }

    RouterAttempt(const RouterAttempt &) = delete;
    RouterAttempt &operator=(const RouterAttempt &) = delete;

    [[nodiscard]] PhaseRouter::Ticket ticket() const
    {
        return ticket_;
    }

private:
    PhaseRouter &router_;
    PhaseRouter::Ticket ticket_;
};
} // namespace

awaitable<std::optional<PrefilledPrompt>> CallFlow::prefill(EndpointId endpoint, Duration timeout)
{
    const EndpointRecord *record = gateway_.router.record(endpoint);
    if (record == nullptr) {
        co_return std::nullopt;
    }
    const boost::asio::ip::tcp::endpoint address = record->address;
    const std::int64_t startedAt = record->startedAt;
    EndpointAttempt attempt = attemptFor(endpoint);
    attempt.prefillOnly = true;
    attempt.cacheSource = cacheSource_;
    attempt.priority = orderAtEngine(Tokens(0));
    platform::EndpointRequest request = platform::encodeAttempt(exchange_.request(), attempt);
    const AttemptPlan plan {endpoint, AttemptWork::Prefill, cachedPrefix_};
    RouterAttempt routerAttempt(gateway_.router, plan, placementRequest_);
    EndpointCall call(gateway_.connections, *guard_, gateway_.answerBytes);
    const Time attemptDeadline = MilliClock::now() + timeout;
    const CallProgress progress = co_await call.open(address, std::move(request), call_.id, attemptDeadline);
    receivedPrefills_ += progress == CallProgress::NotConnected ? 0 : 1;
    recordIfRefused(call, endpoint, startedAt);
    std::string body;
    if (progress == CallProgress::HeadReceived) {
        body = co_await call.readAll(MAX_PREFILL_ANSWER_BYTES);
    }
    const Time now = MilliClock::now();
    if (progress == CallProgress::HeadReceived) {
        observe(routerAttempt.ticket(), endpoint, call.answer());
    }
    std::optional<std::string> handle;
    if (progress == CallProgress::HeadReceived && call.answer().status == STATUS_OK) {
        handle = platform::decodePrefillHandle(body);
        const bool whole = co_await call.confirmWhole(handle ? ContentEnd::Reached : ContentEnd::Within, gateway_.livenessProbe, endpoint, startedAt);
        handle = whole ? handle : std::nullopt;
    }
    call.release();
    if (!handle) {
        const bool rejected = progress == CallProgress::HeadReceived && call.answer().notExecuted;
        gateway_.router.end(routerAttempt.ticket(), rejected ? AttemptOutcome::Rejected : failedAttemptOutcome(), now);
        logFailedAttempt(endpoint, "prefill", call, false);
        if (progress != CallProgress::NotConnected) {
            co_await recordIfCrashed(call, endpoint);
        }
        co_return std::nullopt;
    }
    gateway_.router.end(routerAttempt.ticket(), AttemptOutcome::Answered, now);
    prefillTime_ = now - arrived_;
    co_return PrefilledPrompt {toString(address), *handle};
}

awaitable<CallFlow::NextStep> CallFlow::runAt(EndpointId endpoint, std::optional<PrefilledPrompt> prompt, EndpointId source, AttemptWork work, Duration timeout)
{
    const EndpointRecord *record = gateway_.router.record(endpoint);
    if (record == nullptr) {
        placementRequest_.excluded.push_back(endpoint);
        co_return NextStep::RetryNotReceived;
    }
    const boost::asio::ip::tcp::endpoint address = record->address;
    const std::int64_t startedAt = record->startedAt;
    stream_.recordSent(*record);
    resumedAfter_ = streaming_ || !call_.resumed ? framer_.lastEventId() : call_.resumed->lastEventId;
    EndpointAttempt attempt = attemptFor(endpoint);
    if (work == AttemptWork::PrefillAndRun) {
        attempt.priority = orderAtEngine(placementRequest_.promptTokens - cachedPrefix_.tokens);
        attempt.cacheSource = cacheSource_;
    } else if (prompt) {
        attempt.priority = orderAtEngine(Tokens(0));
    }
    attempt.prefilled = std::move(prompt);
    platform::EndpointRequest request = platform::encodeAttempt(exchange_.request(), attempt);
    const AttemptPlan plan {endpoint, work, cachedPrefix_, source};
    RouterAttempt routerAttempt(gateway_.router, plan, placementRequest_);
    EndpointCall call(gateway_.connections, *guard_, gateway_.answerBytes);
    sentAt_ = MilliClock::now();
    const bool canRepeat = route_.retryPolicy == RetryPolicy::Idempotent && runs_ + 1 < route_.maxAttempts;
    const Time attemptDeadline = canRepeat ? MilliClock::now() + timeout : guard_->deadline();
    beginMeasurement(MilliClock::now());
    if (!attempt.prefilled) {
        armExtraAttempt(endpoint, timeout);
    }
    const CallProgress progress = co_await call.open(address, std::move(request), call_.id, attemptDeadline);
    receivedRuns_ += progress == CallProgress::NotConnected ? 0 : 1;
    recordIfRefused(call, endpoint, startedAt);
    if (progress == CallProgress::HeadReceived) {
        firstHeadReceived_ = true;
        endMeasurement(!call.answer().notExecuted, MilliClock::now());
        guard_->extendAttempt(guard_->deadline());
        const NextStep next = co_await deliver(call, endpoint, routerAttempt.ticket());
        co_return next;
    }
    gateway_.router.end(routerAttempt.ticket(), failedAttemptOutcome(), MilliClock::now());
    logFailedAttempt(endpoint, "run", call, progress != CallProgress::NotConnected);
    if (progress == CallProgress::OutcomeUnknown) {
        co_await recordIfCrashed(call, endpoint);
    }
    placementRequest_.excluded.push_back(endpoint);
    if (progress == CallProgress::NotConnected) {
        co_return NextStep::RetryNotReceived;
    }
    recordRun();
    co_return NextStep::RetryOutcomeUnknown;
}

awaitable<CallFlow::NextStep> CallFlow::deliver(EndpointCall &call, EndpointId endpoint, PhaseRouter::Ticket ticket)
{
    const EndpointAnswer &answer = call.answer();
    const Time now = MilliClock::now();
    observe(ticket, endpoint, answer);
    if (answer.notExecuted) {
        gateway_.router.end(ticket, AttemptOutcome::Rejected, now);
        logFailedAttempt(endpoint, "run", call, false);
        placementRequest_.excluded.push_back(endpoint);
        co_return NextStep::RetryNotRun;
    }
    recordRun();
    const bool success = isSuccess(answer.status);
    const bool usable = success ? answer.sealed : !streaming_;
    if (!usable) {
        gateway_.router.end(ticket, AttemptOutcome::Failed, now);
        logFailedAttempt(endpoint, "run", call, true);
        placementRequest_.excluded.push_back(endpoint);
        co_return NextStep::RetryOutcomeUnknown;
    }
    if (answer.status >= STATUS_SERVER_ERROR && mayExtraAttemptAnswer()) {
        // The extra attempt may still have a good answer.
        gateway_.router.end(ticket, AttemptOutcome::AnsweredFailure, now);
        logFailedAttempt(endpoint, "run", call, true);
        placementRequest_.excluded.push_back(endpoint);
        co_return NextStep::RetryOutcomeUnknown;
    }
    if (answer.status >= STATUS_SERVER_ERROR && canRetry(NextStep::RetryOutcomeUnknown) && gateway_.retries.tryRetry(placementRequest_.service, now)) {
        retryGranted_ = true;
        gateway_.router.end(ticket, AttemptOutcome::AnsweredFailure, now);
        logFailedAttempt(endpoint, "run", call, true);
        placementRequest_.excluded.push_back(endpoint);
        co_return NextStep::RetryOutcomeUnknown;
    }
    const bool asEvents = success && route_.form == AnswerForm::Events;
    bool delivered = false;
    if (asEvents) {
        delivered = co_await deliverEvents(call, endpoint, ticket);
    } else {
        delivered = co_await deliverBuffered(call, endpoint);
    }
    if (!delivered) {
        gateway_.router.end(ticket, failedAttemptOutcome(), MilliClock::now());
        logFailedAttempt(endpoint, "answer", call, true);
        placementRequest_.excluded.push_back(endpoint);
        co_await recordIfCrashed(call, endpoint);
        co_return NextStep::RetryOutcomeUnknown;
    }
    gateway_.router.end(ticket, success ? AttemptOutcome::Answered : AttemptOutcome::AnsweredFailure, MilliClock::now());
    logAnswered(endpoint, call);
    // What crashes endpoints within an answer can still let a stream end that another endpoint resumes after that place.
    if (success && !crashedWithinStream_) {
        const bool isShort = exchange_.request().body().size() <= MAX_REMEMBERED_REQUEST_BYTES;
        gateway_.crashWatch.recordAnswered(call_.id, isShort ? suspects_.all() : suspects_.known(), MilliClock::now());
    }
    co_return NextStep::Finished;
}

awaitable<void> CallFlow::recordIfCrashed(EndpointCall &call, EndpointId endpoint)
{
    const EndpointRecord *known = gateway_.router.record(endpoint);
    const bool cut = call.bodyEnd() == BodyEnd::ConnectionClosed || call.bodyEnd() == BodyEnd::ConnectionReset;
    // An endpoint that leaves ends on purpose.
    if (!cut || known == nullptr || known->leaving || call.answer().leaving) {
        co_return;
    }
    const std::optional<Duration> sinceFirstByte = call.bodyTime();
    if (sinceFirstByte && *sinceFirstByte > CrashEvidence::MAX_POSITION) {
        co_return;
    }
    const EndpointRecord record = *known;
    const bool ended = co_await call.refusesConnection();
    if (ended) {
        static_cast<void>(gateway_.router.recordRefusedConnection(endpoint, record.startedAt, MilliClock::now()));
        crashed_ = true;
        crashedWithinStream_ = crashedWithinStream_ || streaming_;
        gateway_.crashWatch.recordCrash(call_.id, record, suspects_.all(), sinceFirstByte, MilliClock::now());
    }
}

void CallFlow::observe(PhaseRouter::Ticket ticket, const EndpointId &endpoint, const EndpointAnswer &answer)
{
    const EndpointUpdate update = gateway_.router.observeAnswer(ticket, answer, MilliClock::now());
    if (update.newlyLeaving) {
        logEvent(LogEvent::EndpointAnnouncedLeaving, {{"request", call_.id}, {"endpoint", endpoint}});
    }
    if (update.limitUnreadable) {
        logEvent(LogEvent::EndpointLimitUnreadable, {{"request", call_.id}, {"endpoint", endpoint}});
    }
    if (answer.loadUnreadable) {
        gateway_.metrics.increment("mimosatally_unreadable_load_reports_total", {});
    }
    if (update.loadUnreadable) {
        logEvent(LogEvent::EndpointLoadUnreadable, {{"request", call_.id}, {"endpoint", endpoint}});
    }
    gateway_.limitReport.recordChange(call_.id, endpoint, update.limitChange, MilliClock::now());
    if (update.pause) {
        logEvent(LogEvent::EndpointPaused, {{"request", call_.id}, {"endpoint", endpoint}, {"pause_ms", *update.pause}});
    }
}

void CallFlow::logFailedAttempt(const EndpointId &endpoint, const char *phase, const EndpointCall &call, bool mayHaveRun)
{
    if (guard_->stopReason() == StopReason::Superseded && phase != std::string_view("extra")) {
        // The attempt was cancelled because the call has its answer.
        return;
    }
    lastFailure_ = call.failure().empty() ? "status " + std::to_string(call.answer().status) : call.failure();
    logEvent(LogEvent::GatewayAttemptFailed,
             {{"request", call_.id},
              {"endpoint", endpoint},
              {"phase", phase},
              {"status", call.answer().status},
              {"not_executed", call.answer().notExecuted ? "true" : "false"},
              {"may_have_run", mayHaveRun ? "true" : "false"},
              {"stopped", guard_->stopReason() == StopReason::None ? "false" : "true"},
              {"error", call.failure()},
              {"framing", toString(call.framing())},
              {"body_bytes", call.bodyBytes()},
              {"partial_event_bytes", partialEventBytes_},
              {"ended", toString(call.bodyEnd())},
              {"events", framer_.takenEvents()},
              {"resumed_after", eventIdText(resumedAfter_)},
              {"first_event", eventIdText(framer_.firstEventId())},
              {"last_event", eventIdText(framer_.lastEventId())},
              {"root", stream_.root()},
              {"version", versionText(stream_.sentVersion())},
              {"started", stream_.sentStartedAt()},
              {"proof", call.proof()},
              {"address", toString(call.connectionUse().address)},
              {"connection", call.connectionUse().connection},
              {"connection_age_ms", call.connectionUse().age},
              {"earlier_requests", call.connectionUse().earlierRequests},
              {"skipped_answers", call.connectionUse().skippedAnswers},
              {"prefill_ms", prefillTime_},
              {"after_ms", MilliClock::now() - arrived_}});
    gateway_.metrics.increment("mimosatally_attempts_failed_total", std::string("phase=\"") + phase + '"');
    if (call.bodyEnd() == BodyEnd::OverLimit) {
        gateway_.metrics.increment("mimosatally_answers_over_limit_total", std::string("phase=\"") + phase + '"');
    }
}

awaitable<bool> CallFlow::deliverBuffered(EndpointCall &call, EndpointId endpoint)
{
    std::string body = co_await call.readAll(MAX_BUFFERED_ANSWER_BYTES);
    const bool whole = co_await call.confirmWhole(ContentEnd::Opaque, gateway_.livenessProbe, endpoint, stream_.sentStartedAt());
    if (!whole) {
        co_return false;
    }
    stopExtraAttempt();
    HttpResponse response;
    static_cast<http::fields &>(response) = platform::fieldsForCaller(call.header());
    response.result(call.answer().status);
    response.body() = std::move(body);
    call.release();
    co_await exchange_.respond(std::move(response));
    co_return true;
}

awaitable<bool> CallFlow::deliverEvents(EndpointCall &call, EndpointId endpoint, PhaseRouter::Ticket ticket)
{
    if (!stream_.accepts(gateway_.router.record(endpoint))) {
        co_return false;
    }
    if (!streaming_ && call_.resumed && route_.retryPolicy == RetryPolicy::Idempotent) {
        framer_.continueAfter(call_.resumed->lastEventId);
    }
    while (!call.hasEnded() && !framer_.repeatsEvents()) {
        const std::string_view data = co_await call.read();
        if (!mayBegin(gateway_.router.record(endpoint), MilliClock::now())) {
            gateway_.metrics.increment("mimosatally_stream_begins_rejected_total", {});
            co_return false;
        }
        framer_.append(data);
        std::string events = framer_.takeCompleteEvents();
        call.hold(framer_.heldBytes(), MAX_BUFFERED_ANSWER_BYTES);
        if (!events.empty()) {
            gateway_.router.recordFirstByte(ticket, MilliClock::now());
            stream_.bind(gateway_.router.record(endpoint));
            placementRequest_.version = stream_.version();
            registration_.begin(stream_.root(), {stream_.service(), stream_.version().value_or(SoftwareVersion())});
            co_await writeEvents(call, std::move(events));
        }
    }
    partialEventBytes_ = framer_.partialBytes();
    const ContentEnd content = framer_.repeatsEvents() ? ContentEnd::Within : framer_.contentEnd();
    const bool whole = co_await call.confirmWhole(content, gateway_.livenessProbe, endpoint, stream_.sentStartedAt());
    if (!whole) {
        framer_.resumeAfterCut();
        co_return false;
    }
    std::string remainder = framer_.takeRemainder();
    call.release();
    co_await writeEvents(call, std::move(remainder));
    co_await exchange_.endStream();
    registration_.end(StreamTracker::End::Complete);
    co_return true;
}

awaitable<void> CallFlow::writeEvents(EndpointCall &call, std::string events)
{
    if (!events.empty()) {
        countRun(MilliClock::now());
    }
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
