#pragma once

#include "callguard.h"
#include "endpointcall.h"
#include "eventframer.h"
#include "gatewaystate.h"

#include <mimosatally/Http>

#include <boost/asio/awaitable.hpp>

namespace mimosatally::internal
{

/// \brief Final answer of the gateway itself. \param retryAfter when a call that has not run may come back.
HttpResponse makeErrorResponse(unsigned status, const char *reason, std::optional<Duration> retryAfter);

/// \brief Pause for callers when nothing is known of the queue.
constexpr Duration DEFAULT_RETRY_AFTER = Duration(300);

/// \brief Whether an endpoint's status is a success.
[[nodiscard]] constexpr bool isSuccess(unsigned status)
{
    constexpr unsigned first = 200;
    constexpr unsigned firstOther = 300;
    return status >= first && status < firstOther;
}

/// \brief The way of one call from its placement to its final answer.
class CallFlow
{
public:
    /// \param route belongs to \a configuration.
    CallFlow(GatewayState &gateway, HttpExchange &exchange, CallRequest call, std::shared_ptr<const ServingConfiguration> configuration, const Route &route);

    ~CallFlow();
    CallFlow(const CallFlow &) = delete;
    CallFlow &operator=(const CallFlow &) = delete;

    boost::asio::awaitable<void> run();

private:
    /// \brief What follows from an attempt.
    enum class Next {
        /// \brief The caller has its final answer, or is gone.
        Finished,
        /// \brief No endpoint has seen the call in this attempt.
        TryAgainUnseen,
        /// \brief Not run there: another endpoint may be tried.
        TryAgainNotRun,
        /// \brief May have run there: another attempt only if the call is idempotent.
        TryAgainUnknown,
    };

    boost::asio::awaitable<bool> placeAndAttempt();
    /// \return whether another placement follows.
    boost::asio::awaitable<bool> continueAfter(Next next);
    boost::asio::awaitable<Next> attempt(EndpointId endpoint, Placement placement);
    boost::asio::awaitable<std::optional<PrefilledPrompt>> prefill(EndpointId endpoint, Duration patience);
    boost::asio::awaitable<Next> runAt(EndpointId endpoint, std::optional<PrefilledPrompt> prompt, EndpointId source, AttemptWork work, Duration patience);
    boost::asio::awaitable<Next> deliver(EndpointCall &call, EndpointId endpoint, PhaseRouter::Ticket ticket);
    /// \return whether the caller has the complete answer.
    boost::asio::awaitable<bool> deliverWhole(EndpointCall &call);
    boost::asio::awaitable<bool> deliverEvents(EndpointCall &call, PhaseRouter::Ticket ticket);
    boost::asio::awaitable<void> writeEvents(EndpointCall &call, std::string events);

    /// \brief Whether an attempt may follow as far as the call itself allows it.
    [[nodiscard]] bool mayTryAgain(Next next) const;
    /// \brief Takes the calls of the next attempt that repeat earlier ones from the retry budget.
    [[nodiscard]] bool payForRetries(const Placement &placement);
    void recordRun();
    /// \brief Tells the router what the head of an answer says of its endpoint.
    void observe(PhaseRouter::Ticket ticket, const EndpointId &endpoint, const EndpointAnswer &answer);
    [[nodiscard]] AttemptEnd endOfBrokenAttempt() const;
    [[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> addressOf(const std::optional<EndpointId> &endpoint) const;
    [[nodiscard]] EndpointAttempt attemptFor(const EndpointId &endpoint) const;
    /// \brief How long an answer with the predicted time is waited for if another attempt can follow.
    [[nodiscard]] Duration patienceFor(double predictedMs) const;
    [[nodiscard]] ServiceId chooseService();
    void logAttempt(const EndpointId &endpoint, const char *phase, const EndpointCall &call, bool mayHaveRun);
    void logAnswered(const EndpointId &endpoint, unsigned status, const ReportedLoad &load);
    void logFailed(unsigned status, const char *reason);

    boost::asio::awaitable<void> refuse(Duration retryAfter, const char *reason);
    /// \brief Final answer when attempts or time are used up.
    boost::asio::awaitable<void> giveUp();
    boost::asio::awaitable<void> respondError(unsigned status, const char *reason, std::optional<Duration> retryAfter);

    GatewayState &gateway_;
    HttpExchange &exchange_;
    CallRequest call_;
    std::shared_ptr<const ServingConfiguration> configuration_;
    const Route &route_;
    PlacementRequest placementRequest_;
    Time arrived_;
    std::multiset<Time>::iterator running_;
    std::shared_ptr<CallGuard> guard_;
    EventFramer framer_;
    /// \brief Beginning of the prompt that the reading engine is expected to have.
    CachedPrefix cache_;
    /// \brief Engine from which the reading engine fetches what it lacks.
    std::optional<boost::asio::ip::tcp::endpoint> cacheSource_;
    /// \brief Attempts that may have run the call.
    int runs_ = 0;
    int attempts_ = 0;
    /// \brief An endpoint may have run the call, so no answer may say that it has not run.
    bool mayHaveRun_ = false;
    /// \brief The head of a stream was sent to the caller.
    bool streaming_ = false;
    /// \brief Calls of this request that endpoints have received; later ones of the same kind are retries.
    int runsReceived_ = 0;
    int readingsReceived_ = 0;
    /// \brief The retry budget has granted one call of the next attempt already.
    bool retryGranted_ = false;
    std::optional<Duration> firstByte_;
    /// \brief Time until another engine had read the prompt; zero if none has.
    Duration prefillTime_ = Duration(0);
    std::string lastFailure_;
};

} // namespace mimosatally::internal
