#include "requestservice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
/// \brief Maximum time that an answer waits for its outcome record.
constexpr Duration OUTCOME_APPEND_TIMEOUT(500);
/// \brief Maximum size of an answer that is included in its outcome record.
constexpr std::size_t MAX_RECORDED_BODY_BYTES = std::size_t(16) * 1024;
/// \brief Retry time that is reported if only this agent refuses the request; another endpoint may serve it at once.
constexpr Duration REFUSED_RETRY_AFTER(1000);

/// \brief Counts a submit as active for the lifetime of this object.
class ActiveGuard
{
public:
    explicit ActiveGuard(std::size_t &count)
        : count_(count)
    {
        ++count_;
    }

    ~ActiveGuard()
    {
        --count_;
    }

    ActiveGuard(const ActiveGuard &) = delete;
    ActiveGuard &operator=(const ActiveGuard &) = delete;

private:
    std::size_t &count_;
};
} // namespace

RequestService::RequestService(boost::asio::io_context &io, IncarnationId incarnation, RequestQueue &queue, EndpointClient &endpoint, OutcomeAppender &outcomes)
    : io_(io)
    , incarnation_(std::move(incarnation))
    , queue_(queue)
    , endpoint_(endpoint)
    , outcomes_(outcomes)
    , claims_(incarnation_)
{
}

awaitable<RequestOutcome> RequestService::serve(Request request, std::shared_ptr<AnswerWriter> writer)
{
    const ActiveGuard guard(active_);
    RequestOutcome outcome;
    if (auto refused = checkAdmission(*request)) {
        queue_.recordRefusal(*request, *refused, MilliClock::now());
        request->state = RequestState::Ended;
        outcome = std::move(*refused);
    } else {
        outcome = co_await serveAdmitted(request, std::move(writer));
    }
    count(outcome);
    co_return outcome;
}

std::optional<RequestOutcome> RequestService::checkAdmission(const AgentRequest &request)
{
    if (request.targetIncarnation != incarnation_) {
        return RequestOutcome::notRun("other-incarnation", Duration(0));
    }
    if (!refusal_.empty()) {
        return RequestOutcome::notRun(refusal_, REFUSED_RETRY_AFTER);
    }
    if (!queue_.isConfigured()) {
        return RequestOutcome::notRun("no-configuration", REFUSED_RETRY_AFTER);
    }
    if (queue_.find(request.id)) {
        // The first submit of this id may run, so the outcome "not run" would be wrong.
        return RequestOutcome::unknown("already-submitted");
    }
    if (history_.isCancelled(request.id)) {
        return RequestOutcome::notRun("cancelled", std::nullopt);
    }
    return request.mayRepeat ? std::nullopt : checkClaim(request);
}

std::optional<RequestOutcome> RequestService::checkClaim(const AgentRequest &request)
{
    if (request.claim < Offset(0) || request.claimPartition < 0) {
        return RequestOutcome::notRun("claim-missing", std::nullopt);
    }
    switch (claims_.admit(request.claimPartition, request.claim, request.targetIncarnation)) {
    case ClaimAdmission::Run:
        return std::nullopt;
    case ClaimAdmission::AlreadyRun:
        return RequestOutcome::unknown("claim-already-run");
    case ClaimAdmission::Renounced:
        return RequestOutcome::notRun("claim-renounced", std::nullopt);
    case ClaimAdmission::OtherIncarnation:
        return RequestOutcome::notRun("other-incarnation", Duration(0));
    }
    return RequestOutcome::unknown("claim-already-run");
}

awaitable<RequestOutcome> RequestService::serveAdmitted(Request request, std::shared_ptr<AnswerWriter> writer)
{
    const Time now = MilliClock::now();
    if (const auto refused = queue_.add(request, now)) {
        request->state = RequestState::Ended;
        co_return *refused;
    }
    queue_.advance(now);
    while (request->state == RequestState::Waiting) {
        boost::system::error_code ignored;
        co_await request->stateChange.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    if (request->state == RequestState::Ended) {
        co_return request->refusal.value_or(RequestOutcome::unknown("ended"));
    }
    co_return co_await run(request, std::move(writer));
}

awaitable<RequestOutcome> RequestService::run(Request request, std::shared_ptr<AnswerWriter> writer)
{
    const Duration queueWait = request->dispatchedAt - request->receivedAt;
    Dispatch dispatch(endpoint_, request, std::move(writer));
    RequestOutcome outcome = co_await dispatch.run();
    outcome.queueWait = queueWait;
    if (outcome.kind != OutcomeKind::NotRun) {
        history_.recordRun(request->id);
    }
    queue_.complete(request, CompletedInputs {outcome.status, outcome.usage, outcome.answerBytes}, MilliClock::now());
    if (!request->mayRepeat && outcome.kind == OutcomeKind::Answered) {
        co_await recordOutcome(request, outcome, dispatch);
        co_await dispatch.sendBuffered();
    }
    co_return outcome;
}

awaitable<void> RequestService::recordOutcome(Request request, const RequestOutcome &outcome, const Dispatch &dispatch)
{
    OutcomeRecord record;
    record.id = RecordId(newUniqueId());
    record.key = {request->customer, request->idempotencyKey};
    record.claim = request->claim;
    record.status = outcome.status;
    record.contentType = dispatch.contentType();
    if (const std::string *answer = dispatch.bufferedAnswer()) {
        record.answerHash = sha256Hex(*answer);
        record.body = answer->size() <= MAX_RECORDED_BODY_BYTES ? *answer : std::string();
    }
    co_await outcomes_.append(request->claimPartition, std::move(record), OUTCOME_APPEND_TIMEOUT);
}

CancelWord RequestService::cancel(const RequestId &id, const IncarnationId &targetIncarnation, Time now)
{
    if (targetIncarnation != incarnation_) {
        throw MalformedInputError("the request was addressed to another incarnation of this agent");
    }
    if (const Request request = queue_.find(id)) {
        const CancelWord progress = queue_.cancel(request, now);
        if (progress == CancelWord::NeverStarted) {
            history_.recordCancelled(id);
        } else {
            cancelRunning(request);
        }
        return progress;
    }
    if (history_.mayHaveRun(id)) {
        return CancelWord::Finished;
    }
    return history_.recordCancelled(id) ? CancelWord::NeverStarted : CancelWord::Started;
}

void RequestService::cancelRunning(const Request &request)
{
    if (!request->mayRepeat || request->cancelled) {
        return;
    }
    request->cancelled = true;
    if (!request->model.empty()) {
        boost::asio::co_spawn(io_, endpoint_.cancel(request->id), boost::asio::detached);
    }
}

void RequestService::handleDisconnect(const Request &request, Time now)
{
    if (!request->mayRepeat) {
        return;
    }
    if (request->state == RequestState::Waiting) {
        queue_.cancel(request, now);
    } else if (request->state == RequestState::Dispatched) {
        cancelRunning(request);
    }
}

void RequestService::setRefusal(std::string reason)
{
    refusal_ = std::move(reason);
}

std::size_t RequestService::active() const
{
    return active_;
}

void RequestService::count(const RequestOutcome &outcome)
{
    counts_.answered += outcome.kind == OutcomeKind::Answered ? 1 : 0;
    counts_.notRun += outcome.kind == OutcomeKind::NotRun ? 1 : 0;
    counts_.unknown += outcome.kind == OutcomeKind::Unknown ? 1 : 0;
    counts_.promptTokens += outcome.usage.prompt.count();
    counts_.outputTokens += outcome.usage.output.count();
}

const RequestService::Counts &RequestService::counts() const
{
    return counts_;
}

} // namespace mimosatally::internal
