#pragma once

#include "dispatch.h"
#include "outcomeappender.h"
#include "requesthistory.h"
#include "requestqueue.h"

#include <mimosatally/Claims>

namespace mimosatally::internal
{

/// \brief Handles requests from submit to outcome: admits, queues, runs and cancels them, and records the outcomes of claims.
class RequestService
{
public:
    using Request = std::shared_ptr<AgentRequest>;

    RequestService(boost::asio::io_context &io, IncarnationId incarnation, RequestQueue &queue, EndpointClient &endpoint, OutcomeAppender &outcomes);

    /// \brief Serves one submit until its outcome is known.
    boost::asio::awaitable<RequestOutcome> serve(Request request, std::shared_ptr<AnswerWriter> writer);

    /// \brief Cancels a request. \return its progress. \throws MalformedInputError if it was submitted to another incarnation.
    CancelWord cancel(const RequestId &id, const IncarnationId &targetIncarnation, Time now);

    /// \brief Handles the disconnection of the entry that sent the request: a request that may be repeated is cancelled, others run on.
    void handleDisconnect(const Request &request, Time now);

    /// \brief Refuses new submits from now on with \a reason, or admits them if it is empty.
    void setRefusal(std::string reason);

    /// \brief Number of submits without an outcome, including those whose outcome is being recorded.
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
    std::optional<RequestOutcome> checkAdmission(const AgentRequest &request);
    std::optional<RequestOutcome> checkClaim(const AgentRequest &request);
    boost::asio::awaitable<RequestOutcome> serveAdmitted(Request request, std::shared_ptr<AnswerWriter> writer);
    boost::asio::awaitable<RequestOutcome> run(Request request, std::shared_ptr<AnswerWriter> writer);
    boost::asio::awaitable<void> recordOutcome(Request request, const RequestOutcome &outcome, const Dispatch &dispatch);
    void cancelRunning(const Request &request);
    void count(const RequestOutcome &outcome);

    boost::asio::io_context &io_;
    IncarnationId incarnation_;
    RequestQueue &queue_;
    EndpointClient &endpoint_;
    OutcomeAppender &outcomes_;
    RequestHistory history_;
    ClaimGate claims_;
    std::string refusal_;
    std::size_t active_ = 0;
    Counts counts_;
};

} // namespace mimosatally::internal
