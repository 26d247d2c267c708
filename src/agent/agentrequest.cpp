#include "agentrequest.h"

namespace mimosatally::internal
{

RequestOutcome RequestOutcome::notRun(std::string reason, std::optional<Duration> retryAfter)
{
    RequestOutcome outcome;
    outcome.reason = std::move(reason);
    outcome.retryAfter = retryAfter;
    return outcome;
}

RequestOutcome RequestOutcome::unknown(std::string reason)
{
    RequestOutcome outcome;
    outcome.kind = OutcomeKind::Unknown;
    outcome.reason = std::move(reason);
    return outcome;
}

} // namespace mimosatally::internal
