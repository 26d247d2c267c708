#pragma once

#include "gatewaystate.h"
#include "peerdatagram.h"

#include <mimosatally/Supervision>

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

namespace mimosatally::internal
{

/// \brief Tells other gateways which prompts this one has sent to which engines, and learns the same from them.
///
/// Engines report their load only with their answers, so a gateway sees the work of the others late. Notices go by datagram to all known
/// gateways, very short readings only to those of the same region. A lost notice makes one prediction worse and is not sent again.
class WorkExchange
{
public:
    /// \throws boost::system::system_error if the address cannot be used.
    explicit WorkExchange(GatewayState &gateway);

    /// \brief Sends notices and heartbeats until the task is stopped.
    boost::asio::awaitable<void> send(TaskContext &context);

    /// \brief Takes in datagrams until the task is stopped.
    boost::asio::awaitable<void> receive(TaskContext &context);

private:
    [[nodiscard]] Duration interval() const;
    void sendNotices(Time now);
    void sendHeartbeat();
    void sendTo(const std::vector<boost::asio::ip::udp::endpoint> &targets, const PeerDatagram &datagram);
    void sendReadings(const std::vector<boost::asio::ip::udp::endpoint> &targets, const std::vector<PrefillNotice> &readings);
    void take(std::string_view bytes, const boost::asio::ip::udp::endpoint &sender, Time now);

    GatewayState &gateway_;
    RegionId region_;
    boost::asio::ip::udp::socket socket_;
    PeerTable peers_;
    Time nextHeartbeat_ = Time::min();
    /// \brief When the sending task last ran; datagrams that waited while the process was held up are stale.
    Time lastTurn_ = Time::min();
    Time staleUntil_ = Time::min();
    std::array<char, MAX_DATAGRAM_BYTES + 1> buffer_ {};
};

} // namespace mimosatally::internal
