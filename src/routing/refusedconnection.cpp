#include "refusedconnection.h"

namespace mimosatally::internal
{

void RefusedConnection::record(std::optional<std::int64_t> heartbeat, Time now)
{
    refusedAt_ = now;
    heartbeat_ = heartbeat;
}

void RefusedConnection::observeHeartbeat(std::optional<std::int64_t> heartbeat)
{
    if (refusedAt_ && heartbeat && heartbeat_ && *heartbeat - *heartbeat_ >= HEARTBEATS_OF_LIVE_PROCESS) {
        refusedAt_.reset();
    }
}

void RefusedConnection::observeAnswer(Time sentAt)
{
    if (refusedAt_ && sentAt > *refusedAt_) {
        refusedAt_.reset();
    }
}

bool RefusedConnection::isEnded(Time now) const
{
    return refusedAt_ && now - *refusedAt_ < RETRY_TIME;
}

} // namespace mimosatally::internal
