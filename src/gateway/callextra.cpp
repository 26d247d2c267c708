#include "callflow.h"
#include "logtext.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
/// \brief A predicted queue below this is the rounding of a free slot.
constexpr double FREE_SLOT_QUEUE_MS = 1;
/// \brief Answered requests with a longer body are not remembered as sound, as after a first attempt.
constexpr std::size_t MAX_REMEMBERED_REQUEST_BYTES = std::size_t(32) * 1024;
} // namespace

void CallFlow::beginMeasurement(Time now)
{
    if (gateway_.extraAttempts.isEnabled() && attempts_ == 1 && !measurement_) {
        measurement_ = gateway_.extraAttempts.begin(placementRequest_.service, route_.id, now);
    }
}

void CallFlow::endMeasurement(bool hasFirstByte, Time now)
{
    if (!measurement_) {
        return;
    }
    if (hasFirstByte) {
        gateway_.extraAttempts.recordFirstByte(*measurement_, now);
    } else {
        gateway_.extraAttempts.end(*measurement_);
    }
}

bool CallFlow::canHaveExtraAttempt() const
{
    const bool mayRunTwice = route_.form != AnswerForm::Events && route_.retryPolicy == RetryPolicy::Idempotent && route_.maxAttempts > 1;
    return mayRunTwice && measurement_ && attempts_ == 1 && runs_ == 0 && !testsBlocked_;
}

void CallFlow::armExtraAttempt(const EndpointId &first, Duration timeout)
{
    if (!canHaveExtraAttempt()) {
        return;
    }
    const std::optional<Duration> delay = gateway_.extraAttempts.delay(placementRequest_.service, route_.id, predicted_);
    if (!delay || *delay >= timeout) {
        return;
    }
    extraTimer_.expires_after(*delay);
    extraTimer_.async_wait([this, alive = std::weak_ptr<CallGuard>(guard_), first, timeout](const boost::system::error_code &error) {
        if (!error && !alive.expired() && !firstHeadReceived_) {
            considerExtraAttempt(first, timeout);
        }
    });
}

Placement CallFlow::placeExtraAttempt(const EndpointId &first, Time now) const
{
    const EndpointRecord *firstRecord = gateway_.router.record(first);
    if (firstRecord == nullptr) {
        return {};
    }
    PlacementRequest request = placementRequest_;
    request.excluded.push_back(first);
    std::vector<EndpointId> sameDataCentre;
    for (const auto &[id, record] : gateway_.registry.endpoints()) {
        if (record.service != firstRecord->service) {
            continue;
        }
        if (record.address.address() == firstRecord->address.address()) {
            request.excluded.push_back(id);
        } else if (record.dataCentre == firstRecord->dataCentre) {
            sameDataCentre.push_back(id);
        }
    }
    PlacementRequest elsewhere = request;
    elsewhere.excluded.insert(elsewhere.excluded.end(), sameDataCentre.begin(), sameDataCentre.end());
    const Placement placement = gateway_.router.place(elsewhere, now);
    return placement.run && placement.queueMs < FREE_SLOT_QUEUE_MS ? placement : gateway_.router.place(request, now);
}

void CallFlow::considerExtraAttempt(const EndpointId &first, Duration timeout)
{
    const Time now = MilliClock::now();
    if (!measurement_ || extra_ || guard_->stopReason() != StopReason::None || gateway_.stopping || exchange_.isPeerClosed()
        || gateway_.suspects.isBlocked(suspects_.known())) {
        return;
    }
    const Placement placement = placeExtraAttempt(first, now);
    const bool freeSlot = placement.run && !placement.prefill && placement.queueMs < FREE_SLOT_QUEUE_MS;
    const ExtraAttemptInputs inputs = gateway_.extraAttempts.inputs(*measurement_, now);
    const std::optional<ExtraAttemptDenial> denial = gateway_.extraAttempts.tryStart(*measurement_, freeSlot, gateway_.retries, now);
    const EndpointId endpoint = placement.run.value_or(EndpointId());
    const EndpointRecord *record = gateway_.router.record(endpoint);
    logExtraDecision(inputs, placement, denial);
    if (denial || record == nullptr) {
        return;
    }
    ++attempts_;
    logPlaced(endpoint, placement);
    // No further attempt can follow the last run that the route allows.
    const bool isLast = route_.maxAttempts <= 2;
    const Time attemptDeadline = isLast ? guard_->deadline() : std::min(now + timeout, guard_->deadline());
    ExtraAttempt::Plan plan {*record, endpoint, exchange_.request(), call_.id, attemptFor(endpoint), placementRequest_, guard_->deadline(), attemptDeadline};
    extra_ = std::make_shared<ExtraAttempt>(gateway_, std::move(plan));
    extra_->start([this] {
        endExtraAttempt();
    });
}

void CallFlow::endExtraAttempt()
{
    receivedRuns_ += extra_->wasReceived() ? 1 : 0;
    if (extra_->mayHaveRun()) {
        recordRun();
    }
    if (extra_->result() == ExtraAttempt::Result::Answered) {
        guard_->supersedeAttempt();
    } else {
        recordIfRefused(extra_->call(), extra_->endpoint(), extra_->record().startedAt);
        logExtraOutcome(LogEvent::ExtraAttemptFailed, "failed");
        logFailedAttempt(extra_->endpoint(), "extra", extra_->call(), extra_->mayHaveRun());
        placementRequest_.excluded.push_back(extra_->endpoint());
    }
    extraSignal_.cancel();
}

bool CallFlow::mayExtraAttemptAnswer() const
{
    return extra_ && (extra_->result() == ExtraAttempt::Result::Running || extra_->result() == ExtraAttempt::Result::Answered);
}

void CallFlow::stopExtraAttempt()
{
    extraTimer_.cancel();
    if (!mayExtraAttemptAnswer()) {
        return;
    }
    extra_->stop();
    mayHaveRun_ = mayHaveRun_ || extra_->mayHaveRun();
    logExtraOutcome(LogEvent::ExtraAttemptCancelled, "cancelled");
    extraSignal_.cancel();
}

awaitable<CallFlow::NextStep> CallFlow::settleExtraAttempt(NextStep next)
{
    extraTimer_.cancel();
    if (!extra_ || next == NextStep::Finished) {
        co_return next;
    }
    while (extra_->result() == ExtraAttempt::Result::Running) {
        extraSignal_.expires_at(std::chrono::steady_clock::time_point::max());
        boost::system::error_code ignored;
        co_await extraSignal_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    if (extra_->result() == ExtraAttempt::Result::Answered && !guard_->isCallStopped()) {
        co_await deliverExtraAnswer();
        co_return NextStep::Finished;
    }
    next = extra_->mayHaveRun() ? NextStep::RetryOutcomeUnknown : next;
    if (extra_->wasReceived()) {
        co_await recordIfCrashed(extra_->call(), extra_->endpoint());
    }
    extra_.reset();
    co_return next;
}

awaitable<void> CallFlow::deliverExtraAnswer()
{
    const Time now = MilliClock::now();
    logExtraOutcome(LogEvent::ExtraAttemptWon, "won");
    // The first attempt would have taken longer; without it the quantile would sink.
    endMeasurement(true, now);
    const std::shared_ptr<ExtraAttempt> winner = std::exchange(extra_, nullptr);
    stream_.recordSent(winner->record());
    firstByte_ = now - arrived_;
    HttpResponse response = winner->takeResponse();
    const bool success = isSuccess(response.result_int());
    co_await exchange_.respond(std::move(response));
    logAnswered(winner->endpoint(), winner->call());
    if (success) {
        const bool isShort = exchange_.request().body().size() <= MAX_REMEMBERED_REQUEST_BYTES;
        gateway_.crashWatch.recordAnswered(call_.id, isShort ? suspects_.all() : suspects_.known(), now);
    }
}

void CallFlow::logExtraDecision(const ExtraAttemptInputs &inputs, const Placement &placement, std::optional<ExtraAttemptDenial> denial)
{
    const Time now = MilliClock::now();
    const std::string reason = denial ? std::string(toString(*denial)) : "none";
    logEvent(denial ? LogEvent::ExtraAttemptDenied : LogEvent::ExtraAttemptSent,
             {{"request", call_.id},
              {"route", route_.id},
              {"organisation", organisationText()},
              {"denied", reason},
              {"endpoint", placement.run.value_or(EndpointId("-"))},
              {"queue_ms", truncatedMs(placement.queueMs)},
              {"after_ms", now - arrived_},
              {"predicted_ms", predicted_},
              {"requests_10s", inputs.requests},
              {"extra_10s", inputs.extraAttempts},
              {"limit", gateway_.settings.extraAttemptLimit},
              {"running", inputs.running},
              {"slow", inputs.slow},
              {"refused_before_ms", inputs.sinceRefusal ? std::to_string(inputs.sinceRefusal->count()) : "-"}});
    if (denial) {
        gateway_.metrics.increment("mimosatally_extra_attempts_denied_total", "reason=\"" + reason + '"');
    } else {
        gateway_.metrics.increment("mimosatally_extra_attempts_total", "result=\"sent\"");
    }
}

void CallFlow::logExtraOutcome(LogEvent event, const char *result)
{
    const Duration work = extra_->workTime(MilliClock::now());
    logEvent(event,
             {{"request", call_.id},
              {"endpoint", extra_->endpoint()},
              {"work_ms", work},
              {"may_have_run", extra_->mayHaveRun() ? "true" : "false"},
              {"stopped", guard_->isCallStopped() ? "true" : "false"},
              {"error", extra_->call().failure()},
              {"after_ms", MilliClock::now() - arrived_}});
    gateway_.metrics.increment("mimosatally_extra_attempts_total", std::string("result=\"") + result + '"');
    gateway_.metrics.increment("mimosatally_extra_attempt_work_ms_total", {}, static_cast<std::uint64_t>(work.count()));
}

} // namespace mimosatally::internal
