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

/// \brief How one submit ended.
struct RequestOutcome {
    OutcomeKind kind = OutcomeKind::NotRun;
    /// \brief HTTP status of the endpoint's answer; 0 without one.
    int status = 0;
    std::string reason;
    /// \brief Nothing if a retry cannot succeed.
    std::optional<Duration> retryAfter;
    TokenUsage usage;
    Bytes answerBytes;
    Duration queued = Duration(0);

    static RequestOutcome notRun(std::string reason, std::optional<Duration> retryAfter);
    static RequestOutcome unknown(std::string reason);
};

enum class RequestState {
    /// \brief Not accepted by the queue.
    New,
    Waiting,
    Dispatched,
    Ended,
};

/// \brief One request from its submit to its outcome.
struct AgentRequest {
    explicit AgentRequest(boost::asio::io_context &io)
        : signal(io, boost::asio::steady_timer::time_point::max())
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
    IncarnationId addressedTo;
    TokenUsage expected;
    bool mayRepeat = true;
    std::string idempotencyKey;
    int claimPartition = -1;
    Offset claim = Offset(-1);
    Time receivedAt;
    Time startDeadline;
    Time dispatchedAt;

    RequestState state = RequestState::New;
    /// \brief The request must end at the next opportunity.
    bool cancelled = false;
    /// \brief Set if the queue refuses the request while it waits.
    std::optional<RequestOutcome> refusal;
    /// \brief Cancelled when the state changes.
    boost::asio::steady_timer signal;
};

} // namespace mimosatally::internal
