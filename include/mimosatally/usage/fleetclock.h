#pragma once

#include <mimosatally/Core>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mimosatally
{

/// \brief True time of a fleet: the median of the times of day of its processes, so that a wrong clock of one of them does not count. Performs no I/O.
///
/// The time does not go back when the median moves by less than MIN_STEP: it then runs slower until it agrees.
class FleetClock
{
public:
    /// \brief Limits the memory that forged datagrams can take up; the times of further peers are ignored.
    static constexpr std::size_t MAX_PEERS = 1024;
    /// \brief Latest time of day that is believed: the end of the year 9999. Others would overflow the median.
    static constexpr std::int64_t MAX_UNIX_MS = 253'402'300'799'000;
    /// \brief Heartbeats are sent each 0.5 s, or each 3.7 s between 370 gateways, so a peer expires after two lost ones at the least.
    static constexpr Duration PEER_LIFETIME = Duration(12'000);
    /// \brief A larger difference is taken at once, since to approach it would take longer than a window.
    static constexpr Duration MIN_STEP = Duration(500);

    /// \brief Records the own time of day. \param unixMs milliseconds since the start of 1970.
    void recordOwn(std::int64_t unixMs, Time now);

    /// \brief Records the time of day that a peer has sent. \param peer identifies the peer.
    void recordPeer(std::uint64_t peer, std::int64_t unixMs, Time now);

    /// \brief Returns the true time in milliseconds since the start of 1970; empty before recordOwn().
    [[nodiscard]] std::optional<std::int64_t> unixMs(Time now) const;

    /// \brief Returns how far the own time of day is ahead of the true time; zero before recordOwn().
    [[nodiscard]] Duration ownError() const;

    /// \brief Returns the number of clocks that are known, the own one included.
    [[nodiscard]] std::size_t clocks() const;

private:
    struct PeerClock {
        std::int64_t offset = 0;
        Time recordedAt;
    };

    void update(Time now);
    [[nodiscard]] std::int64_t medianOffset() const;

    /// \brief Unix time minus monotonic time of this process, in milliseconds.
    std::optional<std::int64_t> ownOffset_;
    std::map<std::uint64_t, PeerClock> peers_;
    std::int64_t offset_ = 0;
    Time updatedAt_ = Time::min();
};

} // namespace mimosatally
