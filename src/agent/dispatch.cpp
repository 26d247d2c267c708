#include "dispatch.h"

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
constexpr unsigned STATUS_TOO_MANY_REQUESTS = 429;
constexpr unsigned STATUS_UNAVAILABLE = 503;
/// \brief Answers up to this size are held back until their outcome is recorded; larger ones are passed on as they arrive.
constexpr std::size_t MAX_HELD_BYTES = std::size_t(1024) * 1024;
constexpr Duration UNREACHABLE_RETRY_AFTER(1000);

/// \brief Ends a request that was cancelled while its answer arrived.
class CancelledError : public Error
{
public:
    using Error::Error;
};
} // namespace

Dispatch::Dispatch(EndpointClient &endpoint, std::shared_ptr<AgentRequest> request, std::shared_ptr<AnswerWriter> writer)
    : endpoint_(endpoint)
    , request_(std::move(request))
    , writer_(std::move(writer))
    , holds_(!request_->mayRepeat)
{
}

awaitable<RequestOutcome> Dispatch::run()
{
    RequestOutcome outcome;
    if (request_->cancelled && request_->mayRepeat) {
        co_return RequestOutcome::unknown("cancelled");
    }
    try {
        co_await endpoint_.dispatch(
            *request_,
            [this](const HttpResponse &head) {
                return takeHead(head);
            },
            [this](std::string_view data) {
                return takeData(data);
            });
        outcome.kind = OutcomeKind::Answered;
        if (rejected_) {
            outcome = RequestOutcome::notRun("endpoint-busy", UNREACHABLE_RETRY_AFTER);
        }
    } catch (const ConnectError &error) {
        logEvent(LogEvent::EndpointUnreachable, {{"request", request_->id}, {"error", error.what()}});
        outcome = RequestOutcome::notRun("endpoint-unreachable", UNREACHABLE_RETRY_AFTER);
    } catch (const CancelledError &) {
        outcome = RequestOutcome::unknown("cancelled");
    } catch (const DisconnectedError &) {
        outcome = RequestOutcome::unknown("entry-gone");
    } catch (const UnreachableError &error) {
        logEvent(LogEvent::EndpointFailed, {{"request", request_->id}, {"error", error.what()}});
        outcome = RequestOutcome::unknown(request_->cancelled ? "cancelled" : "endpoint-failed");
    } catch (const InvariantViolation &) {
        throw;
    } catch (const std::exception &error) {
        logEvent(LogEvent::EndpointFailed, {{"request", request_->id}, {"error", error.what()}});
        outcome = RequestOutcome::unknown("endpoint-failed");
    }
    describe(outcome);
    co_return outcome;
}

void Dispatch::describe(RequestOutcome &outcome) const
{
    if (outcome.kind != OutcomeKind::NotRun) {
        outcome.status = static_cast<int>(status_);
        outcome.usage = meter_.usage(request_->expected.prompt);
        outcome.answerBytes = meter_.bytes();
    }
}

awaitable<void> Dispatch::takeHead(const HttpResponse &head)
{
    status_ = head.result_int();
    contentType_ = headerValue(head, "Content-Type");
    // An engine that answers so has not run the request; a service's answer is passed on as it is.
    rejected_ = request_->mayRepeat && !request_->model.empty() && (status_ == STATUS_UNAVAILABLE || status_ == STATUS_TOO_MANY_REQUESTS);
    if (!holds_ && !rejected_) {
        co_await beginAnswer();
    }
}

awaitable<void> Dispatch::beginAnswer()
{
    if (begun_ || sinkGone_) {
        co_return;
    }
    begun_ = true;
    try {
        co_await writer_->begin(status_, contentType_);
    } catch (const Error &) {
        sinkGone_ = true;
    }
    throwIfAbandoned();
}

void Dispatch::throwIfAbandoned() const
{
    // A call that may not be repeated goes on without its caller, so that its outcome can be recorded.
    if (sinkGone_ && request_->mayRepeat) {
        throw DisconnectedError("the entry no longer takes the answer");
    }
}

awaitable<void> Dispatch::takeData(std::string_view data)
{
    if (request_->cancelled && request_->mayRepeat) {
        throw CancelledError("the request was cancelled");
    }
    if (rejected_) {
        co_return;
    }
    meter_.add(data);
    if (holds_ && held_.size() + data.size() <= MAX_HELD_BYTES) {
        held_.append(data);
        co_return;
    }
    if (holds_) {
        holds_ = false;
        co_await release();
    }
    co_await send(data);
}

awaitable<void> Dispatch::release()
{
    std::string held = std::move(held_);
    held_.clear();
    co_await beginAnswer();
    if (!held.empty()) {
        co_await send(held);
    }
}

awaitable<void> Dispatch::send(std::string_view data)
{
    if (sinkGone_) {
        co_return;
    }
    try {
        co_await writer_->write(data);
    } catch (const Error &) {
        sinkGone_ = true;
    }
    throwIfAbandoned();
}

const std::string &Dispatch::contentType() const
{
    return contentType_;
}

const std::string *Dispatch::heldAnswer() const
{
    return holds_ ? &held_ : nullptr;
}

} // namespace mimosatally::internal
