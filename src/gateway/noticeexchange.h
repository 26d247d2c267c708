#pragma once

#include "gatewaystate.h"
#include "peerdatagram.h"
#include "usageexchange.h"

#include <mimosatally/Supervision>

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>

namespace mimosatally::internal
{

/// \brief Notifies other gateways which prompts this one has sent to which engines, and receives their notices.
///
/// Engines report their load only in their answers, so a gateway would learn of the other gateways' work late. Notices are sent as
/// datagrams to all known gateways, those of very short prefills only within the region. A lost notice makes one prediction less
/// accurate and is not resent.
///
/// While a service has several software versions it also tells the others which version wrote the first events of its streams, and asks them for those that
/// this process does not know.
class NoticeExchange
{
public:
    /// \throws boost::system::system_error if the address cannot be used.
    explicit NoticeExchange(GatewayState &gateway);
    ~NoticeExchange();
    NoticeExchange(const NoticeExchange &) = delete;
    NoticeExchange &operator=(const NoticeExchange &) = delete;

    /// \brief Sets what is called, with the length of the silence, when a datagram ends a silence of most peers.
    void onPeersReturned(std::function<void(Duration)> handler);

    /// \brief Sends notices and heartbeats until the task is stopped.
    boost::asio::awaitable<void> send(TaskContext &context);

    /// \brief Sends what this process has counted for organisations until the task is stopped. The event loop serves other handlers in between, since many
    /// datagrams to many gateways are due at once.
    boost::asio::awaitable<void> sendUsage(TaskContext &context);

    /// \brief Receives datagrams until the task is stopped.
    boost::asio::awaitable<void> receive(TaskContext &context);

    /// \brief Closes the usage windows of this process, which is about to end, and tells the others its last counts.
    void sendLastUsage();

private:
    [[nodiscard]] Duration interval() const;
    void sendNotices(Time now);
    void sendHeartbeat(Time now);
    /// \brief Sends what other processes must know of suspects, if anything.
    void sendSuspectNotices(Time now);
    /// \brief Sends the origins of own streams that other gateways have to know, if any.
    void sendStreamNotices(Time now);
    /// \brief Sends the versions of services that have several.
    void sendVersions(const std::vector<StreamNotice> &versions);
    /// \return whether there are gateways to ask.
    bool askForOrigins(const std::vector<RequestId> &roots);
    void answerStreamQueries(const std::vector<RequestId> &roots, const boost::asio::ip::udp::endpoint &sender, Time now);
    void recordStreamNotices(const std::vector<StreamNotice> &notices, Time now);
    [[nodiscard]] std::vector<boost::asio::ip::udp::endpoint> activePeers() const;
    void sendTo(const std::vector<boost::asio::ip::udp::endpoint> &targets, const PeerDatagram &datagram);
    void sendPrefillNotices(const std::vector<boost::asio::ip::udp::endpoint> &targets, const std::vector<PrefillNotice> &prefillNotices);
    void handleDatagram(std::string_view bytes, const boost::asio::ip::udp::endpoint &sender, Time now);

    GatewayState &gateway_;
    RegionId region_;
    boost::asio::ip::udp::socket socket_;
    PeerTable peers_;
    UsageExchange usage_;
    std::function<void(Duration)> peersReturned_ = [](Duration) {};
    Time nextHeartbeat_ = Time::min();
    /// \brief Last run of the sending task; datagrams that were queued while the process was stalled are stale.
    Time lastSend_ = Time::min();
    Time staleUntil_ = Time::min();
    /// \brief Streams of which each peer has been told on its demand since answersSince_.
    std::map<boost::asio::ip::udp::endpoint, std::size_t> answersToPeers_;
    Time answersSince_ = Time::min();
    std::array<char, MAX_DATAGRAM_BYTES + 1> buffer_ {};
};

} // namespace mimosatally::internal
