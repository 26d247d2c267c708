#pragma once

#include "dispatch.h"
#include "outcomeappender.h"
#include "requestmemory.h"
#include "requestqueue.h"

#include <mimosatally/Claims>

namespace mimosatally::internal
{

/// \brief Takes requests from their submit to their outcome: admits, queues, runs, cancels, and records claims' outcomes.
class RequestService
{
public:
    using Request = std::shared_ptr<AgentRequest>;

    RequestService(boost::asio::io_context &io, IncarnationId incarnation, RequestQueue &queue, EndpointClient &endpoint, OutcomeAppender &outcomes);

    /// \brief Serves one submit to its end.
    boost::asio::awaitable<RequestOutcome> serve(Request request, std::shared_ptr<AnswerWriter> writer);

    /// \throws MalformedInputError if the word was asked of another incarnation.
    CancelWord cancel(const RequestId &id, const IncarnationId &addressedTo, Time now);

    /// \brief The entry that sent the request is gone. What may be repeated is cancelled, the rest goes on.
    void abandon(const Request &request, Time now);

    /// \brief Refuses new submits from now on with \a reason, or admits them if it is empty.
    void setRefusal(std::string reason);

    /// \brief Number of submits without an outcome, including outcomes that are being recorded.
    [[nodiscard]] std::size_t active() const;

    /// \brief Counts of this incarnation for the metrics.
    struct Counts {
        std::uint64_t answered = 0;
        std::uint64_t notRun = 0;
        std::uint64_t unknown = 0;
        std::int64_t promptTokens = 0;
        std::int64_t outputTokens = 0;
    };
    [[nodiscard]] const Counts &counts() const;

private:
    std::optional<RequestOutcome> checkGate(const AgentRequest &request);
    std::optional<RequestOutcome> checkClaim(const AgentRequest &request);
    boost::asio::awaitable<RequestOutcome> serveAdmitted(Request request, std::shared_ptr<AnswerWriter> writer);
    boost::asio::awaitable<RequestOutcome> run(Request request, std::shared_ptr<AnswerWriter> writer);
    boost::asio::awaitable<void> recordOutcome(Request request, const RequestOutcome &outcome, const Dispatch &dispatch);
    void stopRunning(const Request &request);
    void count(const RequestOutcome &outcome);

    boost::asio::io_context &io_;
    IncarnationId incarnation_;
    RequestQueue &queue_;
    EndpointClient &endpoint_;
    OutcomeAppender &outcomes_;
    RequestMemory memory_;
    ClaimGate claims_;
    std::string refusal_;
    std::size_t active_ = 0;
    Counts counts_;
};

} // namespace mimosatally::internal
