#include "callflow.h"
#include "logtext.h"
#include "speedreport.h"

#include <nlohmann/json.hpp>
#include <sstream>

namespace mimosatally::internal
{

namespace http = boost::beast::http;
using boost::asio::awaitable;

namespace
{
constexpr unsigned STATUS_UNAUTHORIZED = 401;
constexpr unsigned STATUS_BAD_GATEWAY = 502;
constexpr unsigned STATUS_UNAVAILABLE = 503;
constexpr unsigned STATUS_GATEWAY_TIMEOUT = 504;
constexpr const char *CALLER_GONE_REASON = "caller-gone";

/// \brief Returns \a duration in seconds with three decimals.
std::string secondsText(Duration duration)
{
    constexpr Duration::rep millisecondsPerSecond = 1000;
    std::string fraction = std::to_string(duration.count() % millisecondsPerSecond);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::to_string(duration.count() / millisecondsPerSecond) + '.' + fraction;
}

std::string_view cacheEstimateName(CacheEstimate estimate)
{
    switch (estimate) {
    case CacheEstimate::None:
        return "none";
    case CacheEstimate::Sent:
        return "sent";
    case CacheEstimate::FleetAffinity:
        return "fleet-home";
    case CacheEstimate::RegionAffinity:
        return "region-home";
    }
    return "none";
}

/// \brief Request limit of an endpoint as `limit/age/part/sent`: requests per second, milliseconds, this process's part in requests per second, and
/// its requests of the last four seconds; `-` if the endpoint has no limit.
std::string limitText(const PhaseRouter &router, const EndpointId &endpoint)
{
    const std::optional<RequestLimitUse> use = router.requestLimit(endpoint, MilliClock::now());
    if (!use) {
        return "-";
    }
    std::ostringstream text;
    text << requestsPerSecond(use->limit) << '/' << use->age.count() << '/' << use->ownPerSecond << '/' << use->prefills + use->runs;
    return text.str();
}
} // namespace

const std::string &CallFlow::organisationText() const
{
    static const std::string none = "-";
    return caller_.organisation.id.empty() ? none : caller_.organisation.id.value();
}

void CallFlow::countResult(const char *result)
{
    resultCounted_ = true;
    gateway_.metrics.increment("mimosatally_calls_total", std::string("result=\"") + result + '"');
    if (!caller_.organisation.id.empty()) {
        gateway_.metrics.increment("mimosatally_organisation_calls_total",
                                   "organisation=\"" + gateway_.organisationLabels.labelOf(caller_.organisation.id) + "\",result=\"" + result + '"');
    }
}

void CallFlow::logPlaced(const EndpointId &endpoint, const Placement &placement)
{
    const EndpointRecord *record = gateway_.router.record(endpoint);
    logEvent(LogEvent::GatewayCallPlaced,
             {{"request", call_.id},
              {"route", route_.id},
              {"organisation", organisationText()},
              {"repeat", route_.retryPolicy == RetryPolicy::Idempotent ? "idempotent" : "once"},
              {"attempt", attempts_},
              {"endpoint", endpoint},
              {"version", versionText(record == nullptr ? std::nullopt : std::optional(record->version))},
              {"resumes", call_.resumed && !call_.resumed->root.empty() ? call_.resumed->root : RequestId("-")},
              {"prefill", placement.prefill.value_or(EndpointId("-"))},
              {"reason", placement.reason},
              {"predicted_ms", truncatedMs(placement.firstByteMs)},
              {"queue_ms", truncatedMs(placement.queueMs)},
              {"prompt", placementRequest_.promptTokens},
              {"parts", sharedPartsText(placementRequest_.promptParts)},
              {"cached", placement.cache.tokens},
              {"cache_belief", cacheEstimateName(placement.cache.estimate)},
              {"cache_source", placement.cacheSource.value_or(EndpointId("-"))},
              {"limit", limitText(gateway_.router, endpoint)},
              {"prefill_limit", limitText(gateway_.router, placement.prefill.value_or(EndpointId()))},
              {"speed", internal::speedText(gateway_.router, endpoint, MilliClock::now())},
              {"prefill_speed", internal::speedText(gateway_.router, placement.prefill.value_or(EndpointId()), MilliClock::now())},
              {"left_ms", guard_->remainingTime(MilliClock::now())},
              {"configuration", configuration_->version}});
}

void CallFlow::logAnswered(const EndpointId &endpoint, const EndpointCall &call)
{
    const unsigned status = call.answer().status;
    const ReportedLoad load = call.answer().load.value_or(ReportedLoad());
    const Duration total = MilliClock::now() - arrived_;
    logEvent(LogEvent::GatewayCallAnswered,
             {{"request", call_.id},
              {"organisation", organisationText()},
              {"endpoint", endpoint},
              {"status", status},
              {"first_byte_ms", firstByte_.value_or(total)},
              {"prefill_ms", prefillTime_},
              {"total_ms", total},
              {"running", load.running},
              {"waiting", load.waiting},
              {"framing", toString(call.framing())},
              {"body_bytes", call.bodyBytes()},
              {"partial_event_bytes", partialEventBytes_},
              {"ended", toString(call.bodyEnd())},
              {"events", framer_.takenEvents()},
              {"resumed_after", eventIdText(resumedAfter_)},
              {"first_event", eventIdText(framer_.firstEventId())},
              {"last_event", eventIdText(framer_.lastEventId())},
              {"root", stream_.root()},
              {"version", versionText(stream_.sentVersion())},
              {"started", stream_.sentStartedAt()},
              {"proof", call.proof()},
              {"connection", call.connectionUse().connection},
              {"connection_age_ms", call.connectionUse().age},
              {"earlier_requests", call.connectionUse().earlierRequests},
              {"skipped_answers", call.connectionUse().skippedAnswers},
              {"attempts", attempts_}});
    countResult(isSuccess(status) ? "answered" : "endpoint_failure");
    constexpr double millisecondsPerSecond = 1000;
    gateway_.metrics.observe("mimosatally_first_byte_seconds",
                             "route=\"" + route_.id.value() + '"',
                             static_cast<double>(firstByte_.value_or(total).count()) / millisecondsPerSecond);
}

awaitable<void> CallFlow::endRevoked()
{
    if (streaming_ || exchange_.hasResponded()) {
        cutStream(REVOKED_REASON);
        co_return;
    }
    if (mayHaveRun_) {
        logFailed(STATUS_BAD_GATEWAY, REVOKED_REASON);
        co_await respondError(STATUS_BAD_GATEWAY, REVOKED_REASON, std::nullopt);
        co_return;
    }
    logRefused(REVOKED_REASON, std::nullopt);
    HttpResponse response = makeErrorResponse(STATUS_UNAUTHORIZED, REVOKED_REASON, std::nullopt);
    response.set(http::field::www_authenticate, "Bearer");
    co_await exchange_.respond(std::move(response));
}

awaitable<void> CallFlow::endCallerGone()
{
    const unsigned status = mayHaveRun_ ? STATUS_BAD_GATEWAY : STATUS_UNAVAILABLE;
    logEvent(LogEvent::GatewayCallerGone,
             {{"request", call_.id}, {"after_ms", MilliClock::now() - arrived_}, {"runs", runs_}, {"status", streaming_ ? 0U : status}});
    countResult("caller_gone");
    registration_.end(StreamTracker::End::Broken);
    if (streaming_) {
        exchange_.abort();
        co_return;
    }
    exchange_.closeAfterResponse();
    const std::optional<Duration> retryAfter = mayHaveRun_ ? std::nullopt : std::optional(DEFAULT_RETRY_AFTER);
    try {
        co_await respondError(status, CALLER_GONE_REASON, retryAfter);
    } catch (const boost::system::system_error &) {
        // The caller has closed both directions, as the line above supposes.
        exchange_.abort();
    }
}

awaitable<void> CallFlow::giveUp()
{
    if (guard_->stopReason() == StopReason::KeyRevoked) {
        co_await endRevoked();
        co_return;
    }
    if (streaming_) {
        cutStream("stream-broken");
        co_return;
    }
    if (!mayHaveRun_) {
        co_await refuse(DEFAULT_RETRY_AFTER, guard_->stopReason() == StopReason::DeadlinePassed ? "deadline" : "attempts-rejected");
        co_return;
    }
    const bool deadlinePassed = guard_->stopReason() == StopReason::DeadlinePassed || MilliClock::now() >= guard_->deadline();
    const unsigned status = deadlinePassed ? STATUS_GATEWAY_TIMEOUT : STATUS_BAD_GATEWAY;
    const char *reason = deadlinePassed ? "timeout" : "endpoint-failed";
    logFailed(status, reason);
    co_await respondError(status, reason, std::nullopt);
}

void CallFlow::cutStream(const char *reason)
{
    logFailed(0, reason);
    registration_.end(StreamTracker::End::Broken);
    exchange_.abort();
}

void CallFlow::logFailed(unsigned status, const char *reason)
{
    logEvent(LogEvent::GatewayCallFailed,
             {{"request", call_.id},
              {"route", route_.id},
              {"organisation", organisationText()},
              {"status", status},
              {"reason", reason},
              {"cause", lastFailure_},
              {"root", stream_.root()},
              {"version", versionText(stream_.version())},
              {"attempts", attempts_},
              {"runs", runs_},
              {"after_ms", MilliClock::now() - arrived_}});
    countResult("failed");
}

void CallFlow::logUndelivered(const std::string &error)
{
    logEvent(LogEvent::GatewayCallUndelivered,
             {{"request", call_.id},
              {"route", route_.id},
              {"organisation", organisationText()},
              {"error", error},
              {"begun", exchange_.hasResponded() ? "true" : "false"},
              {"events", framer_.takenEvents()},
              {"attempts", attempts_},
              {"runs", runs_},
              {"stopped", stopReasonName(guard_->stopReason())},
              {"after_ms", MilliClock::now() - arrived_}});
    if (!resultCounted_) {
        countResult("undelivered");
    }
}

void CallFlow::logRefused(const char *reason, std::optional<Duration> retryAfter)
{
    logEvent(LogEvent::GatewayCallRefused,
             {{"request", call_.id},
              {"route", route_.id},
              {"organisation", organisationText()},
              {"reason", reason},
              {"cause", lastFailure_},
              {"retry_after_ms", retryAfter.value_or(Duration(0))},
              {"attempts", attempts_},
              {"after_ms", MilliClock::now() - arrived_},
              {"configuration", configuration_->version}});
    countResult("refused");
}

awaitable<void> CallFlow::refuse(Duration retryAfter, const char *reason)
{
    if (gateway_.extraAttempts.isEnabled()) {
        gateway_.extraAttempts.recordRefusal(placementRequest_.service, MilliClock::now());
    }
    logRefused(reason, retryAfter);
    co_await respondError(STATUS_UNAVAILABLE, reason, retryAfter);
}

awaitable<void> CallFlow::respondError(unsigned status, const char *reason, std::optional<Duration> retryAfter)
{
    HttpResponse response = makeErrorResponse(status, reason, retryAfter);
    co_await exchange_.respond(std::move(response));
}

HttpResponse makeErrorResponse(unsigned status, const char *reason, std::optional<Duration> retryAfter)
{
    const bool notRun = status != STATUS_BAD_GATEWAY && status != STATUS_GATEWAY_TIMEOUT;
    nlohmann::ordered_json body = {{"error", {{"message", reason}, {"type", "gateway_error"}, {"code", reason}}},
                                   {"mimosatally", {{"outcome", notRun ? "not_run" : "outcome_unknown"}, {"reason", reason}}}};
    if (retryAfter) {
        body["mimosatally"]["retry_after_ms"] = retryAfter->count();
    }
    HttpResponse response = makeHttpResponse(status, "application/json", body.dump());
    if (retryAfter) {
        response.set(http::field::retry_after, secondsText(*retryAfter));
    }
    return response;
}

} // namespace mimosatally::internal
