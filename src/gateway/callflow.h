#pragma once

#include "callauthentication.h"
#include "callcontention.h"
#include "callguard.h"
#include "callsuspects.h"
#include "endpointcall.h"
#include "extraattempt.h"
#include "gatewaystate.h"
#include "streamregistration.h"
#include "streams/streamidentity.h"

#include <mimosatally/Http>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace mimosatally::internal
{

/// \brief Returns an error answer of the gateway itself. \param retryAfter time after which a call that was not run may be retried.
HttpResponse makeErrorResponse(unsigned status, const char *reason, std::optional<Duration> retryAfter);

/// \brief Reason why a call ended whose key is not valid any more.
constexpr const char *REVOKED_REASON = "key-revoked";

/// \brief Retry delay for callers if the queueing delay is unknown.
constexpr Duration DEFAULT_RETRY_AFTER = Duration(300);

/// \brief Returns whether \a status is a 2xx status.
[[nodiscard]] constexpr bool isSuccess(unsigned status)
{
    constexpr unsigned firstSuccess = 200;
    constexpr unsigned firstRedirect = 300;
    return status >= firstSuccess && status < firstRedirect;
}

/// \brief Life cycle of one call, from its placement to its final answer.
class CallFlow
{
public:
    /// \param route belongs to \a configuration.
    CallFlow(GatewayState &gateway,
             HttpExchange &exchange,
             CallRequest call,
             CallerIdentity caller,
             std::shared_ptr<const ServingConfiguration> configuration,
             const Route &route);

    ~CallFlow();
    CallFlow(const CallFlow &) = delete;
    CallFlow &operator=(const CallFlow &) = delete;

    boost::asio::awaitable<void> run();

private:
    /// \brief Step that follows an attempt.
    enum class NextStep {
        /// \brief The caller has its final answer or has disconnected.
        Finished,
        /// \brief No endpoint received the call in this attempt.
        RetryNotReceived,
        /// \brief The endpoint did not run the call; another one may be tried.
        RetryNotRun,
        /// \brief The endpoint may have run the call; it is retried only if it is idempotent.
        RetryOutcomeUnknown,
    };

    /// \brief Binds a call that continues a stream of an earlier call to the service and version of the stream, or ends the call.
    /// \return whether the call goes on.
    boost::asio::awaitable<bool> bindResumedStream();
    /// \brief Binds a call that may begin a stream which callers can take up to the version that the rule names.
    /// \return false if this process knows too little of the endpoints to begin one.
    [[nodiscard]] bool bindNewStream(Time now);
    /// \brief Returns whether an event of the endpoint's version may begin the stream.
    [[nodiscard]] bool mayBegin(const EndpointRecord *endpoint, Time now);
    boost::asio::awaitable<bool> placeAndAttempt();
    /// \brief Decides whether a call that is placed for the first time may be sent. \return empty if it is sent now, otherwise whether another placement
    /// follows.
    boost::asio::awaitable<std::optional<bool>> admit(Placement placement, Time now);
    /// \brief The same where calls contend for the slots of their service.
    boost::asio::awaitable<std::optional<bool>> admitContended(Placement placement, Time now);
    [[nodiscard]] int orderAtEngine(Tokens prefillTokens) const;
    /// \brief Ends a call that no endpoint may get.
    boost::asio::awaitable<void> endUnplaced(const Placement &placement);
    /// \brief Returns whether a call that no endpoint of its stream's version can run at present waits for one: engines of the version are registered, and
    /// one that crashed is back, or one that changes its phase ready, within seconds. A caller seldom repeats a take-up that was refused.
    [[nodiscard]] bool awaitsVersion(const Placement &placement, Time now);
    boost::asio::awaitable<void> pauseForVersion();
    /// \brief Ends the call if it has something that is blocked because it ends endpoints. \return whether the call has ended.
    boost::asio::awaitable<bool> refuseBlocked(Time now);
    /// \brief Records a crash if \a endpoint has ended and not only its connection.
    boost::asio::awaitable<void> recordIfCrashed(EndpointCall &call, EndpointId endpoint);
    /// \return whether another placement follows.
    boost::asio::awaitable<bool> retryOrGiveUp(NextStep next);
    boost::asio::awaitable<NextStep> attempt(EndpointId endpoint, Placement placement);
    boost::asio::awaitable<std::optional<PrefilledPrompt>> prefill(EndpointId endpoint, Duration timeout);
    /// \brief Runs the call after the prefill on \a prefillEngine, at another decode engine of its version if one refuses the connection.
    boost::asio::awaitable<NextStep> runPrefilled(std::optional<PrefilledPrompt> prompt, EndpointId prefillEngine, SoftwareVersion version, Duration timeout);
    boost::asio::awaitable<NextStep> runAt(EndpointId endpoint, std::optional<PrefilledPrompt> prompt, EndpointId source, AttemptWork work, Duration timeout);
    boost::asio::awaitable<NextStep> deliver(EndpointCall &call, EndpointId endpoint, PhaseRouter::Ticket ticket);
    /// \return whether the caller has the complete answer.
    boost::asio::awaitable<bool> deliverBuffered(EndpointCall &call, EndpointId endpoint);
    boost::asio::awaitable<bool> deliverEvents(EndpointCall &call, EndpointId endpoint, PhaseRouter::Ticket ticket);
    boost::asio::awaitable<void> writeEvents(EndpointCall &call, std::string events);

    /// \brief Records the first attempt with the policy of extra attempts, if there are any.
    void beginMeasurement(Time now);
    void endMeasurement(bool hasFirstByte, Time now);
    [[nodiscard]] bool canHaveExtraAttempt() const;
    /// \brief Considers an extra attempt after the delay that the policy gives. \param timeout of one attempt.
    void armExtraAttempt(const EndpointId &first, Duration timeout);
    /// \brief Places an extra attempt on another machine than \a first and, if there is a choice, in another data centre.
    [[nodiscard]] Placement placeExtraAttempt(const EndpointId &first, Time now) const;
    void considerExtraAttempt(const EndpointId &first, Duration timeout);
    /// \brief Takes over the result of the extra attempt; the first attempt is cancelled if there is an answer.
    void endExtraAttempt();
    [[nodiscard]] bool mayExtraAttemptAnswer() const;
    /// \brief Ends the extra attempt, if there is one, at once.
    void stopExtraAttempt();
    /// \brief Waits for an extra attempt after the first attempt has failed or was cancelled. \return step that follows both.
    boost::asio::awaitable<NextStep> settleExtraAttempt(NextStep next);
    boost::asio::awaitable<void> deliverExtraAnswer();
    void logExtraDecision(const ExtraAttemptInputs &inputs, const Placement &placement, std::optional<ExtraAttemptDenial> denial);
    void logExtraOutcome(LogEvent event, const char *result);

    /// \brief Returns whether the rules and limits of the call allow another attempt; the retry budget is not considered.
    [[nodiscard]] bool canRetry(NextStep next) const;
    /// \brief Charges the retry budget for the calls of the next attempt that repeat earlier ones. \return whether the budget allows them.
    [[nodiscard]] bool chargeRetryBudget(const Placement &placement);
    /// \brief Records that an endpoint runs the call or may do so.
    void recordRun();
    /// \brief Counts the request for the caller's organisation, once. \param begun when it began to run.
    void countRun(Time begun);
    /// \brief Records that nothing listens at the address of an endpoint, if that is why \a call was not sent. \param startedAt of its incarnation.
    void recordIfRefused(const EndpointCall &call, const EndpointId &endpoint, std::int64_t startedAt);
    /// \brief Reports to the router what the head of an answer says about its endpoint.
    void observe(PhaseRouter::Ticket ticket, const EndpointId &endpoint, const EndpointAnswer &answer);
    [[nodiscard]] AttemptOutcome failedAttemptOutcome() const;
    [[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> addressOf(const std::optional<EndpointId> &endpoint) const;
    [[nodiscard]] EndpointAttempt attemptFor(const EndpointId &endpoint) const;
    /// \brief Returns the timeout of an attempt that another one can follow. \param predictedMs predicted time to the first byte.
    [[nodiscard]] Duration attemptTimeout(double predictedMs) const;
    [[nodiscard]] ServiceId chooseService();
    /// \brief Name of the caller's organisation, or `-`.
    [[nodiscard]] const std::string &organisationText() const;
    /// \brief Counts the final result of the call.
    void countResult(const char *result);
    void logPlaced(const EndpointId &endpoint, const Placement &placement);
    void logFailedAttempt(const EndpointId &endpoint, const char *phase, const EndpointCall &call, bool mayHaveRun);
    void logAnswered(const EndpointId &endpoint, const EndpointCall &call);
    void logFailed(unsigned status, const char *reason);
    /// \brief Logs that \a error kept the answer, or the rest of it, from the caller.
    void logUndelivered(const std::string &error);
    void logRefused(const char *reason, std::optional<Duration> retryAfter);

    boost::asio::awaitable<void> refuse(Duration retryAfter, const char *reason);
    /// \brief Ends a call whose key is not valid any more.
    boost::asio::awaitable<void> endRevoked();
    /// \brief Ends a call whose caller sends no more, with a status line unless a stream has begun: it may have shut down only its sending side.
    boost::asio::awaitable<void> endCallerGone();
    /// \brief Ends the call with an error when attempts or time are used up.
    boost::asio::awaitable<void> giveUp();
    /// \brief Ends a stream visibly before its last event.
    void cutStream(const char *reason);
    boost::asio::awaitable<void> respondError(unsigned status, const char *reason, std::optional<Duration> retryAfter);

    GatewayState &gateway_;
    HttpExchange &exchange_;
    CallRequest call_;
    CallerIdentity caller_;
    std::shared_ptr<const ServingConfiguration> configuration_;
    const Route &route_;
    PlacementRequest placementRequest_;
    StreamIdentity stream_;
    StreamRegistration registration_;
    /// \brief Version with which the stream begins by the rule, as far as the endpoints were known at a time; empty if the rule names none.
    std::optional<SoftwareVersion> ruleVersion_;
    std::optional<Time> ruleAsOf_;
    /// \brief Time at which the request had come in, which is before it was read if the process stood still.
    Time arrived_;
    std::shared_ptr<CallGuard> guard_;
    std::multimap<Time, ActiveCall>::iterator activeEntry_;
    CallSuspects suspects_;
    /// \brief Empty where calls are not controlled by ContentionControl.
    std::optional<CallContention> contention_;
    EventFramer framer_;
    /// \brief Prefix of the prompt that the prefilling engine is expected to have cached or to fetch.
    CachedPrefix cachedPrefix_;
    /// \brief Engine from which the prefilling engine fetches the part of the prefix that it lacks.
    std::optional<boost::asio::ip::tcp::endpoint> cacheSource_;
    /// \brief Attempts that may have run the call.
    int runs_ = 0;
    int attempts_ = 0;
    /// \brief Time at which the last attempt was sent.
    Time sentAt_ = Time::min();
    /// \brief The request is counted for the caller's organisation.
    bool usageCounted_ = false;
    /// \brief The final result of the call is counted.
    bool resultCounted_ = false;
    /// \brief Attempts whose connection was refused. Each takes a millisecond and excludes its endpoint, so they are not limited.
    int refusedAttempts_ = 0;
    /// \brief An endpoint may have run the call, so no answer may state that it was not run.
    bool mayHaveRun_ = false;
    /// \brief An endpoint ended while it was running the call, early enough to be evidence against it.
    bool crashed_ = false;
    /// \brief The same after the caller had received events.
    bool crashedWithinStream_ = false;
    /// \brief The call tests whether something that is blocked still ends endpoints.
    bool testsBlocked_ = false;
    /// \brief The head of a stream was sent to the caller.
    bool streaming_ = false;
    /// \brief Run calls of this request that endpoints have received; later ones are retries. Prefill calls are counted separately.
    int receivedRuns_ = 0;
    int receivedPrefills_ = 0;
    /// \brief The retry budget has already been charged for one call of the next attempt.
    bool retryGranted_ = false;
    /// \brief Latest end of the wait for an endpoint of the stream's version; empty before it has begun.
    std::optional<Time> versionWaitEnd_;
    std::optional<Duration> firstByte_;
    /// \brief Time from arrival until another engine had prefilled the prompt; zero if none has.
    Duration prefillTime_ = Duration(0);
    /// \brief The call in the policy of extra attempts; empty if there are none.
    std::optional<ExtraAttemptPolicy::CallId> measurement_;
    std::shared_ptr<ExtraAttempt> extra_;
    boost::asio::steady_timer extraTimer_;
    /// \brief Cancelled when the extra attempt has ended.
    boost::asio::steady_timer extraSignal_;
    /// \brief Predicted time to the first byte of the current attempt.
    Duration predicted_ = Duration(0);
    bool firstHeadReceived_ = false;
    std::string lastFailure_;
    /// \brief Id of the event after which the last attempt had to go on; empty if it began the stream.
    std::string resumedAfter_;
    /// \brief Bytes of a partial event with which the last stream ended.
    std::size_t partialEventBytes_ = 0;
};

} // namespace mimosatally::internal
