#pragma once

#include <mimosatally/Core>
#include <mimosatally/Queueing>

#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <string>

namespace mimosatally::internal
{

enum class OutcomeKind {
    Answered,
    /// \brief The request has not run at this agent.
    NotRun,
    /// \brief The request may have run.
    Unknown,
};

/// \brief Result of one submit.
struct RequestOutcome {
    OutcomeKind kind = OutcomeKind::NotRun;
    /// \brief HTTP status of the endpoint's answer; 0 if there was none.
    int status = 0;
    std::string reason;
    /// \brief Time after which a retry may succeed; empty if none can.
    std::optional<Duration> retryAfter;
    TokenUsage usage;
    Bytes answerBytes;
    Duration queueWait = Duration(0);

    static RequestOutcome notRun(std::string reason, std::optional<Duration> retryAfter);
    static RequestOutcome unknown(std::string reason);
};

enum class RequestState {
    /// \brief Not yet accepted by the queue.
    New,
    Waiting,
    Dispatched,
    Ended,
};

/// \brief One request from its submit to its outcome.
struct AgentRequest {
    explicit AgentRequest(boost::asio::io_context &io)
        : stateChange(io, boost::asio::steady_timer::time_point::max())
    {
    }

    RequestId id;
    CustomerId customer;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    ModelId model;
    ServiceId service;
    IncarnationId targetIncarnation;
    TokenUsage expected;
    bool mayRepeat = true;
    std::string idempotencyKey;
    int claimPartition = -1;
    Offset claim = Offset(-1);
    Time receivedAt;
    Time startDeadline;
    Time dispatchedAt;

    RequestState state = RequestState::New;
    /// \brief True if the running request must end as soon as possible.
    bool cancelled = false;
    /// \brief Outcome of a request that is refused or cancelled while it waits.
    std::optional<RequestOutcome> refusal;
    /// \brief Timer without expiry that is cancelled when the state changes, which resumes the waiting coroutine.
    boost::asio::steady_timer stateChange;
};

} // namespace mimosatally::internal
