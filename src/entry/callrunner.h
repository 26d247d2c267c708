#pragma once

#include "answerrelay.h"
#include "call.h"
#include "entrystate.h"
#include "submitwatch.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mimosatally::internal
{

/// \brief How one attempt at one endpoint ended.
struct AttemptOutcome {
    enum class Kind {
        Answered,
        /// \brief The agent states that the call was not run and will not be.
        NotRun,
        /// \brief The call may have been run; no whole answer came.
        Lost,
        /// \brief The caller went away.
        CallerDisconnected,
    };

    Kind kind = Kind::Lost;
    std::string reason;
    std::optional<Duration> retryAfter;
    TokenUsage usage;
};

/// \brief Endpoint that was chosen for an attempt. The link stays alive when the configuration drops the endpoint.
struct ChosenRoute {
    RouteDecision decision;
    EndpointId endpoint;
    std::shared_ptr<AgentLink> link;
};

/// \brief Right to run a call that may not be repeated.
struct ClaimRight {
    int partition = 0;
    Offset claim;
};

/// \brief Routes one call, sends it to agents and relays the answer. Lives until the call has ended.
class CallRunner
{
public:
    CallRunner(EntryState &entry, HttpExchange &exchange, Call call);

    /// \brief Runs the call to its answer or refusal.
    boost::asio::awaitable<void> run();

private:
    using SubmitResponse = SubmitWatch::SubmitResponse;

    boost::asio::awaitable<void> runRepeatable();
    boost::asio::awaitable<void> runClaimed();
    boost::asio::awaitable<void> runWithClaim(ChosenRoute chosen, ClaimRecord record, ClaimResult claim);
    boost::asio::awaitable<void> followClaim(ClaimKey key, ClaimResult claim);
    boost::asio::awaitable<void> answerFromOutcome(const OutcomeRecord &outcome);

    /// \brief Chooses a connected endpoint. \return nothing if there is none; refusal_ says why.
    std::optional<ChosenRoute> route();
    boost::asio::awaitable<AttemptOutcome> attempt(const ChosenRoute &chosen, std::optional<ClaimRight> right);
    boost::asio::awaitable<AttemptOutcome> submit(AgentLink &link, std::optional<ClaimRight> right, int relayAttempt);
    boost::asio::awaitable<AttemptOutcome> readOutcome(schema::Outcome::Reader outcome);
    void fillRequest(schema::Request::Builder request, const AgentLink &link, std::optional<ClaimRight> right) const;
    void noteEnd(const EndpointId &endpoint, const IncarnationId &incarnation, const AttemptOutcome &end);
    /// \brief Whether another attempt is allowed after \a end; if not, refusal_ is set.
    bool mayTryAgain(const AttemptOutcome &end);
    [[nodiscard]] CallRefusal refusalWithoutRoute(const RouteDecision &decision) const;
    [[nodiscard]] CallRefusal refusalAfter(const AttemptOutcome &end) const;

    boost::asio::awaitable<void> finishAnswer(const EndpointId &endpoint, const AttemptOutcome &end);
    boost::asio::awaitable<void> refuse(const CallRefusal &refusal);
    boost::asio::awaitable<void> cancelAtAgent(schema::Agent::Client agent, IncarnationId incarnation);
    [[nodiscard]] RouteRequest routeRequest() const;

    EntryState &entry_;
    HttpExchange &exchange_;
    Call call_;
    std::shared_ptr<AnswerRelay> relay_;
    std::string receipt_;
    std::vector<EndpointId> tried_;
    int attempts_ = 0;
    bool mayHaveRun_ = false;
    CallRefusal refusal_;
    std::shared_ptr<SubmitWatch> watch_ = std::make_shared<SubmitWatch>();
};

} // namespace mimosatally::internal
