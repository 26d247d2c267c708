#include "noticeexchange.h"

#include "core/piecework.h"

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
constexpr Duration MIN_INTERVAL = Duration(25);
/// \brief Limits the datagrams of a process to about 330 per second in each region.
constexpr Duration INTERVAL_PER_SAME_REGION_PEER = Duration(3);
/// \brief Prefills shorter than a round trip within a region are not announced to other regions.
constexpr double MIN_OTHER_REGION_PREFILL_MS = 3;
/// \brief A process whose sending task runs this late was suspended or overloaded.
constexpr Duration STALL_THRESHOLD = Duration(1000);
/// \brief Time after a stall in which received notices are ignored, since they were queued during the stall.
constexpr Duration STALE_DRAIN_TIME = Duration(50);
/// \brief Bounds the datagrams to each peer after an engine has ended with many calls in flight; the next heartbeat repeats the first ones.
constexpr std::size_t MAX_SUSPECT_DATAGRAMS = 4;
/// \brief Bounds the datagrams to each peer when a service gets a second version with many streams in flight; the next send tells of the others.
constexpr std::size_t MAX_STREAMS_PER_SEND = 512;
/// \brief Bounds the answers to queries, whose senders can be forged: streams of which one peer is told within ANSWER_BOUND_INTERVAL.
constexpr std::size_t MAX_ANSWERS_TO_PEER = 1024;
constexpr Duration ANSWER_BOUND_INTERVAL = Duration(1000);
constexpr Duration RECEIVE_RETRY = Duration(200);

udp::endpoint ownAddress(const GatewaySettings &settings)
{
    const auto address = parseAddress(settings.notices);
    return {address.address(), address.port()};
}

/// \brief Notice addresses of the configured peers: their hosts with the port of this process, which is the same on all instances.
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

/// \brief Identifies a peer by its address.
std::uint64_t peerKey(const udp::endpoint &address)
{
    return std::hash<std::string>()(toString(boost::asio::ip::tcp::endpoint(address.address(), address.port())));
}

RegionId regionOf(const GatewaySettings &settings)
{
    const auto found = settings.regions.find(settings.dataCentre);
    return found == settings.regions.end() ? RegionId() : found->second;
}
} // namespace

NoticeExchange::NoticeExchange(GatewayState &gateway)
    : gateway_(gateway)
    , region_(regionOf(gateway.settings))
    , socket_(gateway.io, ownAddress(gateway.settings))
    , peers_(ownAddress(gateway.settings), region_, seedsOf(gateway.settings))
    , usage_(gateway)
{
    socket_.non_blocking(true);
    gateway_.streamLookup.setAsk([this](const std::vector<RequestId> &roots) {
        return askForOrigins(roots);
    });
    gateway_.streamLookup.setAnnounce([this] {
        sendStreamNotices(MilliClock::now());
    });
}

NoticeExchange::~NoticeExchange()
{
    gateway_.streamLookup.setAsk(nullptr);
    gateway_.streamLookup.setAnnounce(nullptr);
}

void NoticeExchange::onPeersReturned(std::function<void(Duration)> handler)
{
    peersReturned_ = std::move(handler);
}

Duration NoticeExchange::interval() const
{
    return std::max(MIN_INTERVAL, INTERVAL_PER_SAME_REGION_PEER * static_cast<Duration::rep>(peers_.sameRegionPeers().size()));
}

awaitable<void> NoticeExchange::send(TaskContext &context)
{
    bool running = true;
    while (running) {
        const Time now = MilliClock::now();
        if (lastSend_ != Time::min() && now - lastSend_ >= STALL_THRESHOLD) {
            staleUntil_ = now + STALE_DRAIN_TIME;
        }
        lastSend_ = now;
        sendNotices(now);
        sendVersions(gateway_.streams.takeChangedVersions(now));
        sendStreamNotices(now);
        gateway_.setProcessCount(peers_.processCount(now), now);
        if (gateway_.suspects.takeChanged()) {
            sendSuspectNotices(now);
        }
        if (now >= nextHeartbeat_) {
            peers_.setSeeds(seedsOf(gateway_.settings));
            peers_.expire(now);
            sendHeartbeat(now);
            sendVersions(gateway_.streams.mixedVersions(now));
            sendSuspectNotices(now);
            nextHeartbeat_ = now + peers_.heartbeatInterval();
        }
        running = co_await context.sleep(interval());
    }
}

void NoticeExchange::sendNotices(Time now)
{
    const std::vector<PrefillNotice> notices = gateway_.router.takePrefillNotices(now);
    if (notices.empty()) {
        return;
    }
    std::vector<PrefillNotice> longPrefills;
    std::ranges::copy_if(notices, std::back_inserter(longPrefills), [](const PrefillNotice &notice) {
        return notice.prefillMs >= MIN_OTHER_REGION_PREFILL_MS;
    });
    sendPrefillNotices(peers_.sameRegionPeers(), notices);
    sendPrefillNotices(peers_.otherRegionPeers(), longPrefills);
}

void NoticeExchange::sendPrefillNotices(const std::vector<udp::endpoint> &targets, const std::vector<PrefillNotice> &prefillNotices)
{
    for (std::size_t begin = 0; begin < prefillNotices.size() && !targets.empty(); begin += MAX_NOTICES_PER_DATAGRAM) {
        const std::size_t end = std::min(prefillNotices.size(), begin + MAX_NOTICES_PER_DATAGRAM);
        PeerDatagram datagram;
        datagram.region = region_;
        datagram.prefillNotices.assign(prefillNotices.begin() + static_cast<std::ptrdiff_t>(begin), prefillNotices.begin() + static_cast<std::ptrdiff_t>(end));
        sendTo(targets, datagram);
    }
}

void NoticeExchange::sendHeartbeat(Time now)
{
    PeerDatagram datagram;
    datagram.region = region_;
    datagram.processCount = peers_.ownProcessCount(now);
    datagram.limitNotices = gateway_.router.limitNotices(now);
    if (datagram.limitNotices.size() > MAX_LIMIT_NOTICES_PER_DATAGRAM) {
        // Parts of the other limits are not lent.
        datagram.limitNotices.resize(MAX_LIMIT_NOTICES_PER_DATAGRAM);
    }
    datagram.peers = peers_.introductions(MAX_PEERS_PER_DATAGRAM);
    usage_.completeHeartbeat(datagram);
    sendTo(peers_.heartbeatTargets(), datagram);
    gateway_.metrics.set("mimosatally_peers", {}, static_cast<double>(peers_.size()));
}

awaitable<void> NoticeExchange::sendUsage(TaskContext &context)
{
    bool running = true;
    while (running) {
        const std::vector<UsageNotice> notices = usage_.takeNotices(MilliClock::now());
        const std::vector<udp::endpoint> targets = activePeers();
        const auto sendAll = [this, &notices, &targets](const Checkpoint &checkpoint) {
            for (const PeerDatagram &datagram : batchUsageNotices(region_, notices, checkpoint)) {
                checkpoint();
                sendTo(targets, datagram);
            }
        };
        if (!notices.empty()) {
            co_await runInPieces(gateway_.io, Pace::Shared, sendAll);
        }
        running = co_await context.sleep(interval());
    }
}

void NoticeExchange::sendLastUsage()
{
    if (!gateway_.settings.platformApi.reportsUsage) {
        return;
    }
    const std::vector<udp::endpoint> targets = activePeers();
    for (const PeerDatagram &datagram : usage_.takeLastDatagrams(region_)) {
        sendTo(targets, datagram);
    }
}

void NoticeExchange::sendSuspectNotices(Time now)
{
    const std::vector<SuspectNotice> notices = gateway_.suspects.notices(MAX_SUSPECT_NOTICES_PER_DATAGRAM * MAX_SUSPECT_DATAGRAMS, now);
    for (std::size_t begin = 0; begin < notices.size(); begin += MAX_SUSPECT_NOTICES_PER_DATAGRAM) {
        const std::size_t end = std::min(notices.size(), begin + MAX_SUSPECT_NOTICES_PER_DATAGRAM);
        PeerDatagram datagram;
        datagram.region = region_;
        datagram.suspectNotices.assign(notices.begin() + static_cast<std::ptrdiff_t>(begin), notices.begin() + static_cast<std::ptrdiff_t>(end));
        sendTo(peers_.heartbeatTargets(), datagram);
    }
}

std::vector<udp::endpoint> NoticeExchange::activePeers() const
{
    std::vector<udp::endpoint> result = peers_.sameRegionPeers();
    const std::vector<udp::endpoint> others = peers_.otherRegionPeers();
    result.insert(result.end(), others.begin(), others.end());
    return result;
}

void NoticeExchange::sendStreamNotices(Time now)
{
    const std::vector<udp::endpoint> targets = activePeers();
    if (targets.empty()) {
        return;
    }
    for (const PeerDatagram &datagram : batchStreamNotices(region_, gateway_.streams.takeNotices(MAX_STREAMS_PER_SEND, now))) {
        sendTo(targets, datagram);
    }
}

void NoticeExchange::sendVersions(const std::vector<StreamNotice> &versions)
{
    for (const PeerDatagram &datagram : batchStreamNotices(region_, versions)) {
        sendTo(peers_.heartbeatTargets(), datagram);
    }
}

bool NoticeExchange::askForOrigins(const std::vector<RequestId> &roots)
{
    const std::vector<udp::endpoint> targets = activePeers();
    for (const PeerDatagram &datagram : batchStreamQueries(region_, roots)) {
        sendTo(targets, datagram);
    }
    return !targets.empty();
}

void NoticeExchange::answerStreamQueries(const std::vector<RequestId> &roots, const udp::endpoint &sender, Time now)
{
    if (now - answersSince_ >= ANSWER_BOUND_INTERVAL) {
        answersToPeers_.clear();
        answersSince_ = now;
    }
    const bool bounded = !answersToPeers_.contains(sender) && answersToPeers_.size() >= PeerTable::MAX_PEERS;
    std::vector<StreamNotice> notices;
    for (const RequestId &root : roots) {
        std::optional<StreamNotice> notice = gateway_.streams.answerTo(root, now);
        if (!notice || bounded || answersToPeers_[sender] >= MAX_ANSWERS_TO_PEER) {
            continue;
        }
        ++answersToPeers_[sender];
        notices.push_back(std::move(*notice));
    }
    for (const PeerDatagram &datagram : batchStreamNotices(region_, notices)) {
        sendTo({sender}, datagram);
    }
}

void NoticeExchange::recordStreamNotices(const std::vector<StreamNotice> &notices, Time now)
{
    for (const StreamNotice &notice : notices) {
        gateway_.streams.recordNotice(notice, now);
        gateway_.streamLookup.wake(notice.roots);
    }
}

void NoticeExchange::sendTo(const std::vector<udp::endpoint> &targets, const PeerDatagram &datagram)
{
    const std::string bytes = encodeDatagram(datagram);
    for (const udp::endpoint &target : targets) {
        boost::system::error_code error;
        socket_.send_to(boost::asio::buffer(bytes), target, 0, error);
        // A full link or an unreachable peer loses one datagram; the metric shows how often that happens.
        gateway_.metrics.increment("mimosatally_peer_datagrams_total", error ? "result=\"not_sent\"" : "result=\"sent\"");
        gateway_.metrics.increment("mimosatally_peer_datagram_bytes_total", "direction=\"sent\"", error ? 0 : bytes.size());
    }
}

awaitable<void> NoticeExchange::receive(TaskContext &context)
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
        handleDatagram(std::string_view(buffer_.data(), size), sender, MilliClock::now());
    }
}

void NoticeExchange::handleDatagram(std::string_view bytes, const udp::endpoint &sender, Time now)
{
    const bool stale = now < staleUntil_ || (lastSend_ != Time::min() && now - lastSend_ >= STALL_THRESHOLD);
    try {
        const PeerDatagram datagram = decodeDatagram(bytes);
        const std::optional<Duration> silence = peers_.recordDatagram({sender, datagram.region}, now);
        if (silence && peersReturned_) {
            peersReturned_(*silence);
        }
        if (datagram.processCount > 0) {
            peers_.recordProcessCount(sender, datagram.processCount);
        }
        for (const PeerAddress &peer : datagram.peers) {
            peers_.introduce(peer, now);
        }
        // An origin stays true, so a notice on it counts also if it was queued during a stall.
        recordStreamNotices(datagram.streamNotices, now);
        usage_.record(datagram, peerKey(sender), stale, now);
        if (!stale) {
            answerStreamQueries(datagram.streamQueries, sender, now);
            gateway_.router.recordPeerDatagram(now);
            for (const PrefillNotice &notice : datagram.prefillNotices) {
                gateway_.router.recordPrefillNotice(notice, now);
            }
            for (const SuspectNotice &notice : datagram.suspectNotices) {
                gateway_.crashWatch.recordNotice(notice, now);
            }
            for (const LimitNotice &notice : datagram.limitNotices) {
                gateway_.router.recordLimitNotice(peerKey(sender), notice, now);
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
