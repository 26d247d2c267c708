#pragma once

#include <mimosatally/Core>

#include <boost/asio/ip/udp.hpp>
#include <map>
#include <optional>
#include <vector>

namespace mimosatally
{

/// \brief Address of another process of the same role.
struct PeerAddress {
    boost::asio::ip::udp::endpoint address;
    RegionId region;
};

/// \brief Other processes of the same role that this process exchanges datagrams with.
///
/// Performs no I/O. Processes discover each other through a few seed addresses and the peer addresses in each heartbeat, so no store is
/// needed. A peer that sends nothing for several heartbeat intervals is removed; seeds are contacted indefinitely.
class PeerTable
{
public:
    /// \brief Limits the memory that forged datagrams can take up.
    static constexpr std::size_t MAX_PEERS = 1024;

    PeerTable(boost::asio::ip::udp::endpoint self, RegionId region, const std::vector<boost::asio::ip::udp::endpoint> &seeds);

    void setSeeds(const std::vector<boost::asio::ip::udp::endpoint> &seeds);

    /// \brief Records that a datagram from \a peer was received. \return if it is one of at least half of the peers that have been silent for longer than
    /// MAX_SILENT_HEARTBEATS, how long these were. Processes that are cut off together may hear each other meanwhile.
    std::optional<Duration> recordDatagram(const PeerAddress &peer, Time now);

    /// \brief Adds \a peer, which another process has reported. It expires like a silent peer if it sends no datagram.
    void introduce(const PeerAddress &peer, Time now);

    /// \brief Removes peers that have sent nothing for several heartbeat intervals.
    void expire(Time now);

    /// \brief Returns the peers of the own region that have sent a datagram.
    [[nodiscard]] std::vector<boost::asio::ip::udp::endpoint> sameRegionPeers() const;
    /// \brief Returns the peers of other regions that have sent a datagram.
    [[nodiscard]] std::vector<boost::asio::ip::udp::endpoint> otherRegionPeers() const;

    /// \brief Returns the addresses to send heartbeats to: all known peers and the seeds.
    [[nodiscard]] std::vector<boost::asio::ip::udp::endpoint> heartbeatTargets() const;

    /// \brief Returns at most \a count peers that have sent a datagram, to be reported to other processes; rotates through them over
    /// successive calls.
    std::vector<PeerAddress> introductions(std::size_t count);

    /// \brief Returns the time between heartbeats. It grows with the number of peers, which bounds the datagrams that a process sends.
    [[nodiscard]] Duration heartbeatInterval() const;

    [[nodiscard]] std::size_t size() const;

    /// \brief Returns the number of processes that may send to the same endpoints, this one included, so that each keeps to its part of a limit.
    ///
    /// Counts peers that became silent less than SILENT_PEER_HOLD ago: a peer that is only cut off from this process still sends. Before the
    /// first datagram of a peer it counts the seeds. Counts that peers have reported go before a lower own one, so a process that has just
    /// started does not have to meet all others first.
    [[nodiscard]] int processCount(Time now) const;

    /// \brief Returns the count without those that peers have reported; this is the count to report to them.
    [[nodiscard]] int ownProcessCount(Time now) const;

    /// \brief Records the number of processes that the peer at \a address knows; ignored for unknown peers.
    void recordProcessCount(const boost::asio::ip::udp::endpoint &address, int count);

    static constexpr Duration SILENT_PEER_HOLD = Duration(30'000);

    /// \brief Heartbeat intervals without a datagram after which a peer counts as silent; one lost datagram is not enough.
    static constexpr int MAX_SILENT_HEARTBEATS = 2;

private:
    /// \brief Returns the time for which at least half of the peers have been silent; empty before the first datagram.
    [[nodiscard]] std::optional<Duration> majoritySilence(Time now) const;
    /// \brief Returns the time of the last datagram of a peer, also of one that was removed; Time::min() if there was none.
    [[nodiscard]] Time lastReceivedFrom(const boost::asio::ip::udp::endpoint &address) const;

    struct Peer {
        RegionId region;
        Time lastReceived = Time::min();
        Time introducedAt = Time::min();
        /// \brief Processes that the peer knows, itself included.
        int processCount = 0;
    };

    [[nodiscard]] std::vector<boost::asio::ip::udp::endpoint> activePeers(bool inOwnRegion) const;

    boost::asio::ip::udp::endpoint self_;
    RegionId region_;
    std::vector<boost::asio::ip::udp::endpoint> seeds_;
    std::map<boost::asio::ip::udp::endpoint, Peer> peers_;
    Time lastReceived_ = Time::min();
    std::size_t introductionCursor_ = 0;
    /// \brief Removed peers with the time of their last datagram.
    std::map<boost::asio::ip::udp::endpoint, Time> silentPeers_;
};

} // namespace mimosatally
