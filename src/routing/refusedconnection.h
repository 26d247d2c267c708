#pragma once

#include <mimosatally/Core>

#include <cstdint>
#include <optional>

namespace mimosatally::internal
{

/// \brief Whether the process of an endpoint's incarnation has ended, since a connection to its address was refused: nothing listens there.
class RefusedConnection
{
public:
    /// \param heartbeat number of the last known heartbeat, if it has one.
    void record(std::optional<std::int64_t> heartbeat, Time now);

    /// \brief Records the heartbeat that is known at present. The next one after a refusal can have been written before the process ended; the second one shows
    /// that it lives.
    void observeHeartbeat(std::optional<std::int64_t> heartbeat);

    /// \brief Records an answer to a call that was sent at \a sentAt; one that was sent after the refusal shows that the process lives.
    void observeAnswer(Time sentAt);

    [[nodiscard]] bool isEnded(Time now) const;

private:
    /// \brief Bounds a wrong conclusion; after it one call tests the address again. Without heartbeats the entry is removed a little later.
    static constexpr Duration RETRY_TIME = Duration(2000);
    static constexpr std::int64_t HEARTBEATS_OF_LIVE_PROCESS = 2;

    std::optional<Time> refusedAt_;
    std::optional<std::int64_t> heartbeat_;
};

} // namespace mimosatally::internal
