#include "workexchange.h"

#include <mimosatally/Http>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosatally::internal
{

using boost::asio::awaitable;
using boost::asio::ip::udp;

namespace
{
constexpr Duration LEAST_INTERVAL = Duration(25);
/// \brief Bounds the datagrams of a process to about 330 a second for each region.
constexpr Duration INTERVAL_PER_NEAR_PEER = Duration(3);
/// \brief Gateways in other regions are not told of a reading that is shorter than the round trip within a region.
constexpr double LEAST_FAR_READING_MS = 3;
/// \brief A process whose turn is so late was suspended or overloaded.
constexpr Duration HELD_UP = Duration(1000);
/// \brief Time to drop what came while the process was held up.
constexpr Duration STALE_TIME = Duration(50);
constexpr Duration RECEIVE_RETRY = Duration(200);

udp::endpoint ownAddress(const GatewaySettings &settings)
{
    const auto address = parseAddress(settings.notices);
    return {address.address(), address.port()};
}

/// \brief The notice addresses of the peers: their hosts with the port of this process, which all instances share.
std::vector<udp::endpoint> seedsOf(const GatewaySettings &settings)
{
    const udp::endpoint own = ownAddress(settings);
    std::vector<udp::endpoint> seeds;
    seeds.reserve(settings.peers.size());
    for (const std::string &peer : settings.peers) {
        seeds.emplace_back(parseAddress(peer).address(), own.port());
    }
    return seeds;
}

RegionId regionOf(const GatewaySettings &settings)
{
    const auto found = settings.regions.find(settings.dataCentre);
    return found == settings.regions.end() ? RegionId() : found->second;
}
} // namespace

WorkExchange::WorkExchange(GatewayState &gateway)
    : gateway_(gateway)
    , region_(regionOf(gateway.settings))
    , socket_(gateway.io, ownAddress(gateway.settings))
    , peers_(ownAddress(gateway.settings), region_, seedsOf(gateway.settings))
{
    socket_.non_blocking(true);
}

Duration WorkExchange::interval() const
{
    return std::max(LEAST_INTERVAL, INTERVAL_PER_NEAR_PEER * static_cast<Duration::rep>(peers_.sameRegionPeers().size()));
}

awaitable<void> WorkExchange::send(TaskContext &context)
{
    bool goesOn = true;
    while (goesOn) {
        const Time now = MilliClock::now();
        if (lastTurn_ != Time::min() && now - lastTurn_ >= HELD_UP) {
            staleUntil_ = now + STALE_TIME;
        }
        lastTurn_ = now;
        sendNotices(now);
        if (now >= nextHeartbeat_) {
            peers_.setSeeds(seedsOf(gateway_.settings));
            peers_.expire(now);
            sendHeartbeat();
            nextHeartbeat_ = now + peers_.heartbeatInterval();
        }
        goesOn = co_await context.sleep(interval());
    }
}

void WorkExchange::sendNotices(Time now)
{
    const std::vector<ReadingNotice> all = gateway_.router.takeReadingNotices(now);
    if (all.empty()) {
        return;
    }
    std::vector<ReadingNotice> longOnes;
    std::ranges::copy_if(all, std::back_inserter(longOnes), [](const ReadingNotice &notice) {
        return notice.readingMs >= LEAST_FAR_READING_MS;
    });
    sendReadings(peers_.sameRegionPeers(), all);
    sendReadings(peers_.otherRegionPeers(), longOnes);
}

void WorkExchange::sendReadings(const std::vector<udp::endpoint> &targets, const std::vector<ReadingNotice> &readings)
{
    for (std::size_t begin = 0; begin < readings.size() && !targets.empty(); begin += READINGS_PER_DATAGRAM) {
        const std::size_t end = std::min(readings.size(), begin + READINGS_PER_DATAGRAM);
        PeerDatagram datagram;
        datagram.region = region_;
        datagram.readings.assign(readings.begin() + static_cast<std::ptrdiff_t>(begin), readings.begin() + static_cast<std::ptrdiff_t>(end));
        sendTo(targets, datagram);
    }
}

void WorkExchange::sendHeartbeat()
{
    PeerDatagram datagram;
    datagram.region = region_;
    datagram.peers = peers_.introductions(PEERS_PER_DATAGRAM);
    sendTo(peers_.heartbeatTargets(), datagram);
    gateway_.metrics.set("mimosatally_peers", {}, static_cast<double>(peers_.size()));
}

void WorkExchange::sendTo(const std::vector<udp::endpoint> &targets, const PeerDatagram &datagram)
{
    const std::string bytes = encodeDatagram(datagram);
    for (const udp::endpoint &target : targets) {
        boost::system::error_code error;
        socket_.send_to(boost::asio::buffer(bytes), target, 0, error);
        // A full link or a peer that is gone costs one notice; the count tells whether it happens often.
        gateway_.metrics.increment("mimosatally_peer_datagrams_total", error ? "result=\"not_sent\"" : "result=\"sent\"");
    }
}

awaitable<void> WorkExchange::receive(TaskContext &context)
{
    while (!context.isStopping()) {
        udp::endpoint sender;
        boost::system::error_code error;
        const std::size_t size =
            co_await socket_.async_receive_from(boost::asio::buffer(buffer_), sender, boost::asio::redirect_error(boost::asio::use_awaitable, error));
        if (error) {
            gateway_.metrics.increment("mimosatally_peer_datagrams_total", "result=\"receive_error\"");
            co_await context.sleep(RECEIVE_RETRY);
            continue;
        }
        take(std::string_view(buffer_.data(), size), sender, MilliClock::now());
    }
}

void WorkExchange::take(std::string_view bytes, const udp::endpoint &sender, Time now)
{
    const bool stale = now < staleUntil_ || (lastTurn_ != Time::min() && now - lastTurn_ >= HELD_UP);
    try {
        const PeerDatagram datagram = decodeDatagram(bytes);
        peers_.recordDatagram({sender, datagram.region}, now);
        for (const PeerAddress &peer : datagram.peers) {
            peers_.introduce(peer, now);
        }
        if (!stale) {
            gateway_.router.notePeers(now);
            for (const ReadingNotice &notice : datagram.readings) {
                gateway_.router.noteReading(notice, now);
            }
        }
        gateway_.metrics.increment("mimosatally_peer_datagrams_total", stale ? "result=\"stale\"" : "result=\"received\"");
    } catch (const MalformedInputError &error) {
        gateway_.metrics.increment("mimosatally_peer_datagrams_total", "result=\"malformed\"");
        logEvent(LogEvent::PeerDatagramMalformed,
                 {{"sender", toString(boost::asio::ip::tcp::endpoint(sender.address(), sender.port()))}, {"bytes", bytes.size()}, {"error", error.what()}});
    }
}

} // namespace mimosatally::internal
