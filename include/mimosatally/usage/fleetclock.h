#pragma once

#include <mimosatally/Core>

#include <cstdint>
#include <optional>

namespace mimosatally
{

/// \brief True time of a fleet: the median of the times of day of its processes, so that a wrong clock of one of them does not count. Performs no I/O.
class FleetClock
{
public:
    /// \brief Records the own time of day. \param unixMs milliseconds since the start of 1970.
    void recordOwn(std::int64_t unixMs, Time now);

    /// \brief Records the time of day that a peer has sent. \param peer identifies the peer.
    void recordPeer(std::uint64_t peer, std::int64_t unixMs, Time now);

    /// \brief Returns the true time in milliseconds since the start of 1970; empty before recordOwn().
    [[nodiscard]] std::optional<std::int64_t> unixMs(Time now) const;
};

} // namespace mimosatally
