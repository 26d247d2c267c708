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

/// \brief Outcome of one attempt at one endpoint.
struct SubmitOutcome {
    enum class Kind {
        Answered,
        /// \brief The agent states that the call was not run and will not be.
        NotRun,
        /// \brief The call may have been run; no complete answer arrived.
        Lost,
        CallerDisconnected,
    };

    Kind kind = Kind::Lost;
    std::string reason;
    std::optional<Duration> retryAfter;
    TokenUsage usage;
};

/// \brief Endpoint chosen for an attempt. The link stays alive when the endpoint is removed from the configuration.
struct ChosenRoute {
    RouteDecision decision;
    EndpointId endpoint;
    std::shared_ptr<AgentLink> link;
};

/// \brief Position in the log of the claim under which a call that may not be repeated is run.
struct ClaimPosition {
    int partition = 0;
    Offset claim;
};

/// \brief Routes one call, sends it to agents and relays the answer. Lives until the call has ended.
class CallRunner
{
public:
    CallRunner(EntryState &entry, HttpExchange &exchange, Call call);

    /// \brief Runs the call until it is answered or refused.
    boost::asio::awaitable<void> run();

private:
    using SubmitResponse = SubmitWatch::SubmitResponse;

    boost::asio::awaitable<void> runRepeatable();
    boost::asio::awaitable<void> runNonRepeatable();
    boost::asio::awaitable<void> runWithClaim(ChosenRoute chosen, ClaimRecord record, ClaimResult claim);
    boost::asio::awaitable<void> answerFromWinningClaim(ClaimKey key, ClaimResult claim);
    boost::asio::awaitable<void> answerFromOutcome(const OutcomeRecord &outcome);

    /// \brief Chooses a connected endpoint. \return empty if there is none; refusal_ then states the reason.
    std::optional<ChosenRoute> chooseRoute();
    boost::asio::awaitable<SubmitOutcome> attempt(const ChosenRoute &chosen, std::optional<ClaimPosition> claimPosition);
    boost::asio::awaitable<SubmitOutcome> submit(AgentLink &link, std::optional<ClaimPosition> claimPosition, int relayAttempt);
    boost::asio::awaitable<SubmitOutcome> readOutcome(schema::Outcome::Reader message);
    void fillRequest(schema::Request::Builder request, const AgentLink &link, std::optional<ClaimPosition> claimPosition) const;
    void recordOutcome(const EndpointId &endpoint, const IncarnationId &incarnation, const SubmitOutcome &outcome);
    /// \brief Charges the retry budget and returns true if another attempt is allowed after \a outcome. Otherwise refusal_ is to be sent.
    bool prepareRetry(const SubmitOutcome &outcome);
    [[nodiscard]] CallRefusal refusalWithoutRoute(const RouteDecision &decision) const;
    [[nodiscard]] CallRefusal refusalAfter(const SubmitOutcome &outcome) const;

    boost::asio::awaitable<void> finishAnswer(const EndpointId &endpoint, const SubmitOutcome &outcome);
    boost::asio::awaitable<void> refuse(const CallRefusal &refusal);
    boost::asio::awaitable<void> cancelAtAgent(schema::Agent::Client agent, IncarnationId incarnation);
    [[nodiscard]] RouteRequest routeRequest() const;

    EntryState &entry_;
    HttpExchange &exchange_;
    Call call_;
    std::shared_ptr<AnswerRelay> relay_;
    std::string receipt_;
    std::vector<EndpointId> triedEndpoints_;
    int attemptCount_ = 0;
    bool mayHaveRun_ = false;
    CallRefusal refusal_;
    std::shared_ptr<SubmitWatch> watch_ = std::make_shared<SubmitWatch>();
};

} // namespace mimosatally::internal
