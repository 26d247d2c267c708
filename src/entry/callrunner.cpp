#include "callrunner.h"

#include "answersink.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
/// \brief Answer chunks in transit arrive within this time, unless the caller does not read.
constexpr Duration FINAL_CHUNK_TIMEOUT = Duration(20000);
constexpr Duration CANCEL_TIMEOUT = Duration(2000);
/// \brief Retry-After time following a lost attempt of a repeatable call, or without an endpoint: heartbeats have brought new health
/// and load reports by then.
constexpr Duration LOST_ATTEMPT_RETRY_AFTER = Duration(1000);

SubmitOutcome makeOutcome(SubmitOutcome::Kind kind, std::string reason)
{
    SubmitOutcome outcome;
    outcome.kind = kind;
    outcome.reason = std::move(reason);
    return outcome;
}

CancelWord readCancelWord(schema::CancelWord progress)
{
    switch (progress) {
    case schema::CancelWord::NEVER_STARTED:
        return CancelWord::NeverStarted;
    case schema::CancelWord::STARTED:
        return CancelWord::Started;
    case schema::CancelWord::FINISHED:
        return CancelWord::Finished;
    }
    return CancelWord::Started;
}

/// \brief Waits for \a promise; on failure returns an empty value and sets \a failure to the error text.
template<class Response>
awaitable<std::optional<Response>> awaitOrFailure(boost::asio::io_context &io, kj::Promise<Response> promise, std::string &failure)
{
    try {
        co_return co_await awaitPromise(io, kj::mv(promise));
    } catch (const InvariantViolation &) {
        throw;
    } catch (const std::exception &error) {
        failure = error.what();
    }
    co_return std::nullopt;
}
} // namespace

CallRunner::CallRunner(EntryState &entry, HttpExchange &exchange, Call call)
    : entry_(entry)
    , exchange_(exchange)
    , call_(std::move(call))
    , relay_(std::make_shared<AnswerRelay>(entry.io, exchange, [this](HttpResponse &response) {
        watch_->recordAnswerRelayed();
        response.set("X-Request-Id", call_.id.value());
        response.set("X-Mimosatally-Receipt", receipt_);
    }))
{
}

awaitable<void> CallRunner::run()
{
    receipt_ = entry_.decisions.recordAdmitted(call_);
    if (call_.mayRepeat) {
        exchange_.onPeerClosed([watch = watch_] {
            watch->recordCallerDisconnected();
        });
        co_await runRepeatable();
    } else {
        co_await runNonRepeatable();
    }
}

awaitable<void> CallRunner::runRepeatable()
{
    entry_.retryBudget.recordRequest(call_.customer, MilliClock::now());
    while (true) {
        const std::optional<ChosenRoute> chosen = chooseRoute();
        if (!chosen) {
            co_await refuse(refusal_);
            co_return;
        }
        const SubmitOutcome outcome = co_await attempt(*chosen, std::nullopt);
        if (outcome.kind == SubmitOutcome::Kind::Answered) {
            co_await finishAnswer(chosen->endpoint, outcome);
            co_return;
        }
        if (outcome.kind == SubmitOutcome::Kind::CallerDisconnected) {
            exchange_.abort();
            co_return;
        }
        if (!prepareRetry(outcome)) {
            co_await refuse(refusal_);
            co_return;
        }
    }
}

std::optional<ChosenRoute> CallRunner::chooseRoute()
{
    while (true) {
        RouteDecision decision = entry_.router.choose(routeRequest(), MilliClock::now());
        if (!decision.endpoint) {
            refusal_ = refusalWithoutRoute(decision);
            return std::nullopt;
        }
        EndpointId endpoint = *decision.endpoint;
        const std::shared_ptr<AgentLink> link = entry_.fleet.find(endpoint);
        if (link && link->isConnected()) {
            return ChosenRoute {std::move(decision), std::move(endpoint), link};
        }
        triedEndpoints_.push_back(endpoint);
        entry_.fleet.refreshAvailability(endpoint);
    }
}

awaitable<SubmitOutcome> CallRunner::attempt(const ChosenRoute &chosen, std::optional<ClaimPosition> claimPosition)
{
    if (!chosen.link->isConnected()) {
        co_return makeOutcome(SubmitOutcome::Kind::NotRun, "not-connected");
    }
    const IncarnationId incarnation = chosen.link->incarnation();
    receipt_ = entry_.decisions.recordRouted(call_, chosen.decision, incarnation, ++attemptCount_);
    entry_.router.recordDispatch(chosen.endpoint, routeRequest(), MilliClock::now());
    SubmitOutcome outcome;
    std::exception_ptr failure;
    try {
        outcome = co_await submit(*chosen.link, claimPosition, relay_->startAttempt());
    } catch (const std::exception &) {
        failure = std::current_exception();
    }
    // Sinks can outlive the attempt, so no more of their chunks may be accepted after this point.
    co_await relay_->close();
    if (failure) {
        std::rethrow_exception(failure);
    }
    recordOutcome(chosen.endpoint, incarnation, outcome);
    co_return outcome;
}

awaitable<SubmitOutcome> CallRunner::submit(AgentLink &link, std::optional<ClaimPosition> claimPosition, int relayAttempt)
{
    schema::Agent::Client agent = link.agent();
    const IncarnationId incarnation = link.incarnation();
    auto request = agent.submitRequest();
    fillRequest(request.initRequest(), link, claimPosition);
    request.setSink(kj::heap<AnswerSink>(entry_.io, relay_, relayAttempt));
    link.addWatch(watch_);
    watch_->start(incarnation, call_.mayRepeat);
    kj::Promise<SubmitResponse> sent = request.send();
    std::string failure;
    const std::optional<SubmitResponse> response = co_await awaitOrFailure(entry_.io, sent.exclusiveJoin(watch_->whenCancelled()), failure);
    if (call_.mayRepeat && (watch_->isCallerDisconnected() || relay_->isCallerDisconnected())) {
        co_await cancelAtAgent(agent, incarnation);
        co_return makeOutcome(SubmitOutcome::Kind::CallerDisconnected, "caller-gone");
    }
    if (!response) {
        logEvent(LogEvent::AttemptLost, {{"request", call_.id}, {"endpoint", link.endpoint().id}, {"error", failure}});
        // An immediate heartbeat exchange shows whether the connection still works.
        entry_.fleet.exchangeNow(link.endpoint().id);
        co_return makeOutcome(SubmitOutcome::Kind::Lost, "endpoint-lost");
    }
    co_return co_await readOutcome(response->getOutcome());
}

awaitable<SubmitOutcome> CallRunner::readOutcome(schema::Outcome::Reader message)
{
    SubmitOutcome outcome;
    outcome.reason = message.getReason().cStr();
    outcome.usage = {Tokens(message.getPromptTokens()), Tokens(message.getOutputTokens())};
    if (message.getRetryAfterMs() >= 0) {
        outcome.retryAfter = Duration(message.getRetryAfterMs());
    }
    switch (message.getKind()) {
    case schema::OutcomeKind::ANSWERED:
        outcome.kind = SubmitOutcome::Kind::Answered;
        if (!co_await relay_->awaitBytes(message.getAnswerBytes(), FINAL_CHUNK_TIMEOUT)) {
            outcome.kind = call_.mayRepeat && relay_->isCallerDisconnected() ? SubmitOutcome::Kind::CallerDisconnected : SubmitOutcome::Kind::Lost;
            outcome.reason = "answer-incomplete";
        }
        break;
    case schema::OutcomeKind::NOT_RUN:
        // An agent that sent part of an answer has run the call, regardless of the outcome that it reports.
        outcome.kind = relay_->hasBegun() ? SubmitOutcome::Kind::Lost : SubmitOutcome::Kind::NotRun;
        break;
    case schema::OutcomeKind::UNKNOWN:
        outcome.kind = SubmitOutcome::Kind::Lost;
        break;
    }
    co_return outcome;
}

void CallRunner::fillRequest(schema::Request::Builder request, const AgentLink &link, std::optional<ClaimPosition> claimPosition) const
{
    request.setId(call_.id.value());
    request.setCustomer(call_.customer.value());
    request.setMethod(call_.method);
    request.setPath(call_.path);
    request.setContentType(call_.contentType);
    request.setBody(kj::ArrayPtr<const char>(call_.body.data(), call_.body.size()).asBytes());
    request.setModel(call_.model.value());
    request.setService(call_.service.value());
    request.setPromptTokens(call_.promptTokens.count());
    request.setMaxOutputTokens(call_.expectedOutputTokens.count());
    request.setRemainingWaitMs(std::max<Duration::rep>((call_.startDeadline - MilliClock::now()).count(), 0));
    request.setAgentIncarnation(link.incarnation().value());
    request.setConfigurationVersion(entry_.appliedVersion.count());
    request.setMayRepeat(call_.mayRepeat);
    request.setIdempotencyKey(call_.idempotencyKey);
    request.setClaimOffset(claimPosition ? claimPosition->claim.count() : -1);
    request.setClaimPartition(claimPosition ? static_cast<unsigned>(claimPosition->partition) : 0);
    auto hashes = request.initCacheBlockHashes(static_cast<unsigned>(call_.cacheBlockHashes.size()));
    for (unsigned i = 0; i < call_.cacheBlockHashes.size(); ++i) {
        hashes.set(i, call_.cacheBlockHashes[i]);
    }
    request.setAttempt(static_cast<unsigned>(attemptCount_));
}

void CallRunner::recordOutcome(const EndpointId &endpoint, const IncarnationId &incarnation, const SubmitOutcome &outcome)
{
    constexpr unsigned firstServerError = 500;
    AttemptResult result = AttemptResult::Failed;
    if (outcome.kind == SubmitOutcome::Kind::NotRun) {
        result = AttemptResult::NotRun;
    } else if (outcome.kind == SubmitOutcome::Kind::CallerDisconnected
               || (outcome.kind == SubmitOutcome::Kind::Answered && relay_->status() < firstServerError)) {
        result = AttemptResult::Answered;
    }
    if (outcome.kind == SubmitOutcome::Kind::NotRun && outcome.reason == toString(RefusalReason::Leaving)) {
        entry_.endpointDirectory.observeLeaving(endpoint, incarnation);
        entry_.fleet.refreshAvailability(endpoint);
    }
    entry_.router.recordResult(endpoint, call_.id, result, outcome.usage.output, MilliClock::now());
    triedEndpoints_.push_back(endpoint);
    mayHaveRun_ = mayHaveRun_ || outcome.kind == SubmitOutcome::Kind::Lost;
}

bool CallRunner::prepareRetry(const SubmitOutcome &outcome)
{
    refusal_ = refusalAfter(outcome);
    const Time now = MilliClock::now();
    const bool cannotSucceed = outcome.kind == SubmitOutcome::Kind::NotRun && outcome.reason == toString(RefusalReason::UnknownCustomer);
    if (relay_->hasRelayed() || cannotSucceed || now >= call_.startDeadline || !entry_.retryBudget.tryRetry(call_.customer, now)) {
        return false;
    }
    logEvent(LogEvent::RequestRetried, {{"request", call_.id}, {"customer", call_.customer}, {"endpoint", triedEndpoints_.back()}, {"reason", outcome.reason}});
    entry_.metrics.increment("mimosatally_retries_total");
    return true;
}

CallRefusal CallRunner::refusalWithoutRoute(const RouteDecision &decision) const
{
    // After an attempt, its own refusal is more informative than the lack of another endpoint.
    if (attemptCount_ > 0) {
        return refusal_;
    }
    // The model or service is configured, so one of its agents may reconnect soon.
    return refusedNotRun(decision.reason, decision.retryAfter.value_or(LOST_ATTEMPT_RETRY_AFTER));
}

CallRefusal CallRunner::refusalAfter(const SubmitOutcome &outcome) const
{
    if (!mayHaveRun_) {
        return refusedNotRun(outcome.reason, outcome.retryAfter);
    }
    CallRefusal refusal = refusedOutcomeUnknown(status::BAD_GATEWAY, outcome.reason.empty() ? "endpoint-lost" : outcome.reason);
    if (call_.mayRepeat) {
        refusal.retryAfter = LOST_ATTEMPT_RETRY_AFTER;
    }
    return refusal;
}

awaitable<void> CallRunner::finishAnswer(const EndpointId &endpoint, const SubmitOutcome &outcome)
{
    AnswerSummary summary;
    summary.endpoint = endpoint;
    summary.status = relay_->status();
    summary.usage = outcome.usage;
    summary.answerBytes = Bytes(relay_->bytes());
    summary.answerHash = relay_->answerHash();
    if (relay_->isEventStream()) {
        entry_.metrics.observe("mimosatally_first_chunk_seconds", {}, std::chrono::duration<double>(relay_->firstChunkAt() - call_.receivedAt).count());
    }
    receipt_ = entry_.decisions.recordAnswered(call_, summary);
    co_await relay_->finish();
}

awaitable<void> CallRunner::refuse(const CallRefusal &refusal)
{
    receipt_ = entry_.decisions.recordRefused(call_.id, call_.customer, refusal);
    const RefusalContext context {call_.id, call_.customer, entry_.decisions.basis().version};
    if (relay_->hasRelayed()) {
        co_await relay_->fail(refusalBody(refusal, context));
        co_return;
    }
    HttpResponse response = refusalResponse(refusal, context);
    response.set("X-Request-Id", call_.id.value());
    response.set("X-Mimosatally-Receipt", receipt_);
    co_await exchange_.respond(std::move(response));
}

awaitable<void> CallRunner::cancelAtAgent(schema::Agent::Client agent, IncarnationId incarnation)
{
    auto request = agent.cancelRequest();
    request.setRequestId(call_.id.value());
    request.setAgentIncarnation(incarnation.value());
    using CancelResponse = capnp::Response<schema::Agent::CancelResults>;
    CancelWord progress = CancelWord::Started;
    try {
        const CancelResponse response = co_await awaitPromise(entry_.io, kj::Promise<CancelResponse>(request.send()), CANCEL_TIMEOUT);
        progress = readCancelWord(response.getWord());
    } catch (const Error &) {
        // The agent cancels by itself when the connection ends. Without its response, Started is recorded: it claims least.
        progress = CancelWord::Started;
    }
    entry_.decisions.recordCancelled(call_, progress);
}

RouteRequest CallRunner::routeRequest() const
{
    RouteRequest request;
    request.id = call_.id;
    request.customer = call_.customer;
    request.model = call_.model;
    request.service = call_.service;
    request.promptTokens = call_.promptTokens;
    request.expectedOutputTokens = call_.expectedOutputTokens;
    request.cacheBlockHashes = call_.cacheBlockHashes;
    request.startDeadline = call_.startDeadline;
    request.bodyBytes = Bytes(static_cast<std::int64_t>(call_.body.size()));
    request.excluded = triedEndpoints_;
    return request;
}

} // namespace mimosatally::internal
