#include "dispatch.h"

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
constexpr unsigned STATUS_TOO_MANY_REQUESTS = 429;
constexpr unsigned STATUS_UNAVAILABLE = 503;
/// \brief Size up to which answers are buffered until their outcome is recorded; larger ones are forwarded as they arrive.
constexpr std::size_t MAX_BUFFERED_BYTES = std::size_t(1024) * 1024;
constexpr Duration ENDPOINT_RETRY_AFTER(1000);

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
    , buffering_(!request_->mayRepeat)
{
}

awaitable<RequestOutcome> Dispatch::run()
{
    RequestOutcome outcome;
    if (request_->cancelled && request_->mayRepeat) {
        co_return RequestOutcome::unknown("cancelled");
    }
    try {
        const StreamedBody body = co_await endpoint_.dispatch(
            *request_,
            [this](const HttpResponse &head) {
                return handleHead(head);
            },
            [this](std::string_view data) {
                return handleData(data);
            });
        const bool whole = co_await isWhole(body);
        if (rejected_) {
            outcome = RequestOutcome::notRun("endpoint-busy", ENDPOINT_RETRY_AFTER);
        } else if (whole) {
            outcome.kind = OutcomeKind::Answered;
        } else {
            outcome = RequestOutcome::unknown("answer-cut-off");
        }
    } catch (const ConnectError &error) {
        logEvent(LogEvent::EndpointUnreachable, {{"request", request_->id}, {"error", error.what()}});
        outcome = RequestOutcome::notRun("endpoint-unreachable", ENDPOINT_RETRY_AFTER);
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
    fillOutcome(outcome);
    co_return outcome;
}

awaitable<bool> Dispatch::isWhole(StreamedBody body)
{
    const ContentEnd content = eventStream_ ? framer_.contentEnd() : ContentEnd::Opaque;
    const Completeness completeness = completenessOf(body.framing, body.end, content);
    bool whole = completeness == Completeness::Whole;
    if (completeness == Completeness::Unproven) {
        whole = co_await endpoint_.isAlive();
    }
    if (!whole) {
        const std::string detail = std::string(toString(body.framing)) + ", " + std::string(toString(content));
        logEvent(LogEvent::EndpointFailed, {{"request", request_->id}, {"error", "answer cut off: " + detail}});
    }
    co_return whole;
}

void Dispatch::fillOutcome(RequestOutcome &outcome) const
{
    if (outcome.kind != OutcomeKind::NotRun) {
        outcome.status = static_cast<int>(status_);
        outcome.usage = meter_.usage(request_->expected.prompt);
        outcome.answerBytes = meter_.bytes();
    }
}

awaitable<void> Dispatch::handleHead(const HttpResponse &head)
{
    status_ = head.result_int();
    contentType_ = headerValue(head, "Content-Type");
    eventStream_ = contentType_.starts_with("text/event-stream");
    // An engine that answers with 429 or 503 has not run the request; a service's answer is forwarded unchanged.
    rejected_ = request_->mayRepeat && !request_->model.empty() && (status_ == STATUS_UNAVAILABLE || status_ == STATUS_TOO_MANY_REQUESTS);
    if (!buffering_ && !rejected_) {
        co_await beginAnswer();
    }
}

awaitable<void> Dispatch::beginAnswer()
{
    if (answerBegun_ || sinkDisconnected_) {
        co_return;
    }
    answerBegun_ = true;
    try {
        co_await writer_->begin(status_, contentType_);
    } catch (const Error &) {
        sinkDisconnected_ = true;
    }
    throwIfDisconnected();
}

void Dispatch::throwIfDisconnected() const
{
    // A request that may not be repeated runs on without its caller, so that its outcome can be recorded.
    if (sinkDisconnected_ && request_->mayRepeat) {
        throw DisconnectedError("the entry no longer takes the answer");
    }
}

awaitable<void> Dispatch::handleData(std::string_view data)
{
    if (request_->cancelled && request_->mayRepeat) {
        throw CancelledError("the request was cancelled");
    }
    if (rejected_) {
        co_return;
    }
    meter_.add(data);
    if (eventStream_) {
        framer_.append(data);
        framer_.takeCompleteEvents();
        if (framer_.heldBytes() > MAX_BUFFERED_BYTES) {
            throw UnreachableError("an event of the answer is larger than " + std::to_string(MAX_BUFFERED_BYTES) + " bytes");
        }
    }
    if (buffering_ && buffer_.size() + data.size() <= MAX_BUFFERED_BYTES) {
        buffer_.append(data);
        co_return;
    }
    if (buffering_) {
        buffering_ = false;
        co_await sendBuffered();
    }
    co_await send(data);
}

awaitable<void> Dispatch::sendBuffered()
{
    std::string buffered = std::move(buffer_);
    buffer_.clear();
    co_await beginAnswer();
    if (!buffered.empty()) {
        co_await send(buffered);
    }
}

awaitable<void> Dispatch::send(std::string_view data)
{
    if (sinkDisconnected_) {
        co_return;
    }
    try {
        co_await writer_->write(data);
    } catch (const Error &) {
        sinkDisconnected_ = true;
    }
    throwIfDisconnected();
}

const std::string &Dispatch::contentType() const
{
    return contentType_;
}

const std::string *Dispatch::bufferedAnswer() const
{
    return buffering_ ? &buffer_ : nullptr;
}

} // namespace mimosatally::internal
