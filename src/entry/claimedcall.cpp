#include "callrunner.h"

#include <chrono>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
/// \brief Retry-After time when the log service is unavailable; an outage is usually much longer than one reconnection.
constexpr Duration LOG_OUTAGE_RETRY_AFTER = Duration(2000);
/// \brief Retry-After time when only this attempt failed and nothing else prevents the next one.
constexpr Duration SHORT_RETRY_AFTER = Duration(1000);

CallRefusal keyReusedRefusal()
{
    CallRefusal refusal;
    refusal.status = status::CONFLICT;
    refusal.reason = "idempotency-key-reused";
    refusal.message = "the idempotency key was used with another request";
    refusal.param = "Idempotency-Key";
    return refusal;
}

std::int64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

/// \brief Returns true if the log keeps only the hash of the answer, because the answer is large.
bool isBodyOmitted(const OutcomeRecord &outcome)
{
    return outcome.body.empty() && !outcome.answerHash.empty() && outcome.answerHash != sha256Hex("");
}
} // namespace

awaitable<void> CallRunner::runNonRepeatable()
{
    if (entry_.decisions.basis().unconfirmed) {
        co_await refuse(refusedNotRun("configuration-unconfirmed", LOG_OUTAGE_RETRY_AFTER));
        co_return;
    }
    const std::optional<ChosenRoute> chosen = chooseRoute();
    if (!chosen) {
        co_await refuse(refusal_);
        co_return;
    }
    ClaimRecord record;
    record.id = RecordId(newUniqueId());
    record.key = {call_.customer, call_.idempotencyKey};
    record.bodyHash = sha256Hex(call_.method + '\n' + std::string(exchange_.request().target()) + '\n' + call_.body);
    record.endpoint = chosen->endpoint;
    record.agentIncarnation = chosen->link->incarnation();
    record.entry = entry_.settings.process;
    record.timeMs = wallClockMs();
    const ClaimResult claim = co_await entry_.claims.claim(record, call_.startDeadline);
    switch (claim.kind) {
    case ClaimResult::Kind::Won:
        co_await runWithClaim(*chosen, record, claim);
        break;
    case ClaimResult::Kind::Lost:
        co_await answerFromWinningClaim(record.key, claim);
        break;
    case ClaimResult::Kind::LostToOtherBody:
        co_await refuse(keyReusedRefusal());
        break;
    case ClaimResult::Kind::Unavailable:
        co_await refuse(refusedNotRun("claims-unavailable", LOG_OUTAGE_RETRY_AFTER));
        break;
    }
}

/// \brief Submits at most once: any response of the agent ends the call.
awaitable<void> CallRunner::runWithClaim(ChosenRoute chosen, ClaimRecord record, ClaimResult claim)
{
    if (chosen.link->incarnation() != record.agentIncarnation) {
        entry_.claims.voidClaim(record);
        co_await refuse(refusedNotRun("endpoint-changed", SHORT_RETRY_AFTER));
        co_return;
    }
    relay_->ignoreCallerDisconnect();
    const ClaimPosition position {claim.partition, claim.claim};
    const SubmitOutcome outcome = co_await attempt(chosen, position);
    if (outcome.kind == SubmitOutcome::Kind::Answered) {
        co_await finishAnswer(record.endpoint, outcome);
        co_return;
    }
    if (outcome.kind == SubmitOutcome::Kind::NotRun) {
        entry_.claims.voidClaim(record);
    }
    co_await refuse(refusalAfter(outcome));
}

awaitable<void> CallRunner::answerFromWinningClaim(ClaimKey key, ClaimResult claim)
{
    const std::optional<OutcomeRecord> outcome = co_await entry_.claims.awaitOutcome(key, claim.claim, call_.startDeadline);
    if (outcome) {
        co_await answerFromOutcome(*outcome);
        co_return;
    }
    if (entry_.claims.isVoided(key, claim.record)) {
        co_await refuse(refusedNotRun("claim-voided", SHORT_RETRY_AFTER));
        co_return;
    }
    CallRefusal refusal = refusedOutcomeUnknown(status::GATEWAY_TIMEOUT, "no-outcome-within-wait");
    refusal.retryAfter = SHORT_RETRY_AFTER;
    co_await refuse(refusal);
}

awaitable<void> CallRunner::answerFromOutcome(const OutcomeRecord &outcome)
{
    AnswerSummary summary;
    summary.status = static_cast<unsigned>(outcome.status);
    summary.answerBytes = Bytes(static_cast<std::int64_t>(outcome.body.size()));
    summary.answerHash = outcome.answerHash;
    receipt_ = entry_.decisions.recordAnswered(call_, summary);
    HttpResponse response = makeHttpResponse(summary.status, outcome.contentType, outcome.body);
    response.set("X-Request-Id", call_.id.value());
    response.set("X-Mimosatally-Receipt", receipt_);
    response.set("X-Mimosatally-Recorded", isBodyOmitted(outcome) ? "hash-only" : "whole");
    response.set("X-Mimosatally-Answer-Sha256", outcome.answerHash);
    co_await exchange_.respond(std::move(response));
}

} // namespace mimosatally::internal
