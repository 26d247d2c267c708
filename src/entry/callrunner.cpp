#include "callrunner.h"

#include "answersink.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
/// \brief A piece of an answer that is on its way arrives within this time, unless the caller does not read.
constexpr Duration LONGEST_PAUSE_AT_END = Duration(20000);
constexpr Duration CANCEL_TIMEOUT = Duration(2000);
/// \brief Time to come back after a lost attempt of a repeatable call or without an endpoint: exchanges have brought new health and
/// load reports by then.
constexpr Duration RETRY_AFTER_LOSS = Duration(1000);

AttemptEnd endOf(AttemptEnd::Kind kind, std::string reason)
{
    AttemptEnd end;
    end.kind = kind;
    end.reason = std::move(reason);
    return end;
}

CancelWord readWord(schema::CancelWord word)
{
    switch (word) {
    case schema::CancelWord::NEVER_STARTED:
        return CancelWord::NeverStarted;
    case schema::CancelWord::STARTED:
        return CancelWord::Started;
    case schema::CancelWord::FINISHED:
        return CancelWord::Finished;
    }
    return CancelWord::Started;
}

/// \brief Waits for \a promise; a failure is returned as its text.
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
        watch_->answerRelayed();
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
            watch->callerGone();
        });
        co_await runRepeatable();
    } else {
        co_await runClaimed();
    }
}

awaitable<void> CallRunner::runRepeatable()
{
    entry_.retryBudget.recordRequest(call_.customer, MilliClock::now());
    while (true) {
        const std::optional<ChosenRoute> chosen = route();
        if (!chosen) {
            co_await refuse(refusal_);
            co_return;
        }
        const AttemptEnd end = co_await attempt(*chosen, std::nullopt);
        if (end.kind == AttemptEnd::Kind::Answered) {
            co_await finishAnswer(chosen->endpoint, end);
            co_return;
        }
        if (end.kind == AttemptEnd::Kind::CallerGone) {
            exchange_.abort();
            co_return;
        }
        if (!mayTryAgain(end)) {
            co_await refuse(refusal_);
            co_return;
        }
    }
}

std::optional<ChosenRoute> CallRunner::route()
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
        tried_.push_back(endpoint);
        entry_.fleet.refreshAvailability(endpoint);
    }
}

awaitable<AttemptEnd> CallRunner::attempt(const ChosenRoute &chosen, std::optional<ClaimRight> right)
{
    if (!chosen.link->isConnected()) {
        co_return endOf(AttemptEnd::Kind::NotRun, "not-connected");
    }
    const IncarnationId incarnation = chosen.link->incarnation();
    receipt_ = entry_.decisions.recordRouted(call_, chosen.decision, incarnation, ++attempts_);
    entry_.router.recordDispatch(chosen.endpoint, routeRequest(), MilliClock::now());
    AttemptEnd end;
    std::exception_ptr failure;
    try {
        end = co_await submit(*chosen.link, right, relay_->startAttempt());
    } catch (const std::exception &) {
        failure = std::current_exception();
    }
    // Sinks outlive the attempt, so nothing may be taken from them after this point.
    co_await relay_->close();
    if (failure) {
        std::rethrow_exception(failure);
    }
    noteEnd(chosen.endpoint, incarnation, end);
    co_return end;
}

awaitable<AttemptEnd> CallRunner::submit(AgentLink &link, std::optional<ClaimRight> right, int relayAttempt)
{
    schema::Agent::Client agent = link.agent();
    const IncarnationId incarnation = link.incarnation();
    auto request = agent.submitRequest();
    fillRequest(request.initRequest(), link, right);
    request.setSink(kj::heap<AnswerSink>(entry_.io, relay_, relayAttempt));
    link.addWatch(watch_);
    watch_->start(incarnation, call_.mayRepeat);
    kj::Promise<SubmitResponse> sent = request.send();
    std::string failure;
    const std::optional<SubmitResponse> response = co_await awaitOrFailure(entry_.io, sent.exclusiveJoin(watch_->whenEnded()), failure);
    if (call_.mayRepeat && (watch_->isCallerGone() || relay_->isCallerGone())) {
        co_await cancelAtAgent(agent, incarnation);
        co_return endOf(AttemptEnd::Kind::CallerGone, "caller-gone");
    }
    if (!response) {
        logEvent(LogEvent::AttemptLost, {{"request", call_.id}, {"endpoint", link.endpoint().id}, {"error", failure}});
        // The next exchange finds out whether the connection is still there.
        entry_.fleet.exchangeNow(link.endpoint().id);
        co_return endOf(AttemptEnd::Kind::Lost, "endpoint-lost");
    }
    co_return co_await readOutcome(response->getOutcome());
}

awaitable<AttemptEnd> CallRunner::readOutcome(schema::Outcome::Reader outcome)
{
    AttemptEnd end;
    end.reason = outcome.getReason().cStr();
    end.usage = {Tokens(outcome.getPromptTokens()), Tokens(outcome.getOutputTokens())};
    if (outcome.getRetryAfterMs() >= 0) {
        end.retryAfter = Duration(outcome.getRetryAfterMs());
    }
    switch (outcome.getKind()) {
    case schema::OutcomeKind::ANSWERED:
        end.kind = AttemptEnd::Kind::Answered;
        if (!co_await relay_->awaitBytes(outcome.getAnswerBytes(), LONGEST_PAUSE_AT_END)) {
            end.kind = call_.mayRepeat && relay_->isCallerGone() ? AttemptEnd::Kind::CallerGone : AttemptEnd::Kind::Lost;
            end.reason = "answer-incomplete";
        }
        break;
    case schema::OutcomeKind::NOT_RUN:
        // An agent that sent a part of an answer has run the call, whatever it says.
        end.kind = relay_->hasBegun() ? AttemptEnd::Kind::Lost : AttemptEnd::Kind::NotRun;
        break;
    case schema::OutcomeKind::UNKNOWN:
        end.kind = AttemptEnd::Kind::Lost;
        break;
    }
    co_return end;
}

void CallRunner::fillRequest(schema::Request::Builder request, const AgentLink &link, std::optional<ClaimRight> right) const
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
    request.setClaimOffset(right ? right->claim.count() : -1);
    request.setClaimPartition(right ? static_cast<unsigned>(right->partition) : 0);
    auto hashes = request.initCacheBlockHashes(static_cast<unsigned>(call_.cacheBlockHashes.size()));
    for (unsigned i = 0; i < call_.cacheBlockHashes.size(); ++i) {
        hashes.set(i, call_.cacheBlockHashes[i]);
    }
    request.setAttempt(static_cast<unsigned>(attempts_));
}

void CallRunner::noteEnd(const EndpointId &endpoint, const IncarnationId &incarnation, const AttemptEnd &end)
{
    constexpr unsigned firstServerError = 500;
    AttemptResult result = AttemptResult::Failed;
    if (end.kind == AttemptEnd::Kind::NotRun) {
        result = AttemptResult::NotRun;
    } else if (end.kind == AttemptEnd::Kind::CallerGone || (end.kind == AttemptEnd::Kind::Answered && relay_->status() < firstServerError)) {
        result = AttemptResult::Answered;
    }
    if (end.kind == AttemptEnd::Kind::NotRun && end.reason == toString(RefusalReason::Leaving)) {
        entry_.endpointDirectory.observeLeaving(endpoint, incarnation);
        entry_.fleet.refreshAvailability(endpoint);
    }
    entry_.router.recordResult(endpoint, call_.id, result, end.usage.output, MilliClock::now());
    tried_.push_back(endpoint);
    mayHaveRun_ = mayHaveRun_ || end.kind == AttemptEnd::Kind::Lost;
}

bool CallRunner::mayTryAgain(const AttemptEnd &end)
{
    refusal_ = refusalAfter(end);
    const Time now = MilliClock::now();
    const bool hopeless = end.kind == AttemptEnd::Kind::NotRun && end.reason == toString(RefusalReason::UnknownCustomer);
    if (relay_->hasRelayed() || hopeless || now >= call_.startDeadline || !entry_.retryBudget.tryRetry(call_.customer, now)) {
        return false;
    }
    logEvent(LogEvent::RequestRetried, {{"request", call_.id}, {"customer", call_.customer}, {"endpoint", tried_.back()}, {"reason", end.reason}});
    entry_.metrics.increment("mimosatally_retries_total");
    return true;
}

CallRefusal CallRunner::refusalWithoutRoute(const RouteDecision &decision) const
{
    // After an attempt its own refusal says more than the lack of a further endpoint.
    if (attempts_ > 0) {
        return refusal_;
    }
    // The model or service is configured, so an agent of it can be connected again soon.
    return refusedNotRun(decision.reason, decision.retryAfter.value_or(RETRY_AFTER_LOSS));
}

CallRefusal CallRunner::refusalAfter(const AttemptEnd &end) const
{
    if (!mayHaveRun_) {
        return refusedNotRun(end.reason, end.retryAfter);
    }
    CallRefusal refusal = refusedOutcomeUnknown(status::OUTCOME_UNKNOWN, end.reason.empty() ? "endpoint-lost" : end.reason);
    if (call_.mayRepeat) {
        refusal.retryAfter = RETRY_AFTER_LOSS;
    }
    return refusal;
}

awaitable<void> CallRunner::finishAnswer(const EndpointId &endpoint, const AttemptEnd &end)
{
    AnswerSummary summary;
    summary.endpoint = endpoint;
    summary.status = relay_->status();
    summary.usage = end.usage;
    summary.answerBytes = Bytes(relay_->bytes());
    summary.answerHash = relay_->answerHash();
    if (relay_->isEventStream()) {
        entry_.metrics.observe("mimosatally_first_chunk_seconds", {}, std::chrono::duration<double>(relay_->firstChunkAt() - call_.received).count());
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
    CancelWord word = CancelWord::Started;
    try {
        const CancelResponse response = co_await awaitPromise(entry_.io, kj::Promise<CancelResponse>(request.send()), CANCEL_TIMEOUT);
        word = readWord(response.getWord());
    } catch (const Error &) {
        // The agent cancels by itself when the connection ends; the record keeps the weakest word.
        word = CancelWord::Started;
    }
    entry_.decisions.recordCancelled(call_, word);
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
    request.excluded = tried_;
    return request;
}

} // namespace mimosatally::internal
