#include "peerdatagram.h"

#include "mimosatally.capnp.h"

#include <mimosatally/Http>

#include <algorithm>
#include <capnp/serialize.h>
#include <cmath>
#include <cstring>
#include <utility>

namespace mimosatally::internal
{

using boost::asio::ip::udp;

namespace
{
constexpr double MAX_PREFILL_MS = 60'000;
constexpr std::uint32_t MAX_AGE_MS = 60'000;
constexpr std::uint32_t MAX_PROCESS_COUNT = 100'000;
/// \brief A longer time since a test call counts as this one: the next one is due then.
constexpr Duration MAX_TIME_SINCE_PROBE = CrashSuspects::MAX_PROBE_INTERVAL * 2;
constexpr int MAX_PROBES = 1000;
constexpr std::int64_t MAX_REQUEST_RATE = 1'000'000'000;
/// \brief Stands for the sum of a usage window that is not closed.
constexpr std::int64_t NOT_CLOSED = -1;

udp::endpoint toUdp(const boost::asio::ip::tcp::endpoint &address)
{
    return {address.address(), address.port()};
}

std::string addressText(const udp::endpoint &address)
{
    return toString(boost::asio::ip::tcp::endpoint(address.address(), address.port()));
}

void writePrefillNotice(const PrefillNotice &notice, schema::ReadingNotice::Builder message)
{
    message.setEndpoint(notice.endpoint);
    message.setStartedAt(notice.startedAt);
    message.setReadingMs(static_cast<float>(notice.prefillMs));
    message.setAgeMs(static_cast<std::uint32_t>(std::clamp<Duration::rep>(notice.age.count(), 0, MAX_AGE_MS)));
    const auto parts = static_cast<unsigned>(std::min(notice.prefixes.size(), MAX_PARTS_PER_NOTICE));
    auto prefixes = message.initPrefixes(parts);
    auto tokens = message.initTokens(parts);
    for (unsigned i = 0; i < parts; ++i) {
        prefixes.set(i, notice.prefixes[i].hash);
        tokens.set(i, static_cast<std::uint32_t>(notice.prefixes[i].tokens.count()));
    }
}

PrefillNotice readPrefillNotice(schema::ReadingNotice::Reader message)
{
    PrefillNotice notice;
    notice.endpoint = message.getEndpoint();
    notice.startedAt = message.getStartedAt();
    notice.prefillMs = message.getReadingMs();
    if (!std::isfinite(notice.prefillMs) || notice.prefillMs < 0 || notice.prefillMs > MAX_PREFILL_MS || message.getAgeMs() > MAX_AGE_MS) {
        throw MalformedInputError("a prefill notice has a time out of range");
    }
    notice.age = Duration(message.getAgeMs());
    const auto prefixes = message.getPrefixes();
    const auto tokens = message.getTokens();
    if (prefixes.size() != tokens.size() || prefixes.size() > MAX_PARTS_PER_NOTICE) {
        throw MalformedInputError("a prefill notice has too many prefixes or a different number of token counts");
    }
    for (unsigned i = 0; i < prefixes.size(); ++i) {
        notice.prefixes.push_back({prefixes[i], Tokens(tokens[i])});
    }
    return notice;
}

void writeLimitNotice(const LimitNotice &notice, schema::LimitNotice::Builder message)
{
    message.setEndpoint(notice.endpoint);
    message.setStartedAt(notice.startedAt);
    message.setLimit(static_cast<std::uint32_t>(std::clamp<std::int64_t>(notice.limit.count(), 0, MAX_REQUEST_RATE)));
    message.setAgeMs(static_cast<std::uint32_t>(std::clamp<Duration::rep>(notice.age.count(), 0, MAX_AGE_MS)));
    message.setUnused(static_cast<std::uint32_t>(std::clamp<std::int64_t>(notice.unused.count(), 0, MAX_REQUEST_RATE)));
}

LimitNotice readLimitNotice(schema::LimitNotice::Reader message)
{
    LimitNotice notice;
    notice.endpoint = message.getEndpoint();
    notice.startedAt = message.getStartedAt();
    notice.limit = RequestRate(std::min<std::int64_t>(message.getLimit(), MAX_REQUEST_RATE));
    notice.age = Duration(std::min(message.getAgeMs(), MAX_AGE_MS));
    notice.unused = RequestRate(std::min<std::int64_t>(message.getUnused(), MAX_REQUEST_RATE));
    return notice;
}

void writeSuspectNotice(const SuspectNotice &notice, schema::SuspectNotice::Builder message)
{
    message.setSuspect(notice.suspect);
    message.setState(static_cast<schema::SuspectState>(notice.state));
    message.setProbes(static_cast<std::uint16_t>(std::clamp(notice.probes, 0, MAX_PROBES)));
    message.setSinceProbeMs(static_cast<std::uint32_t>(std::clamp(notice.sinceProbe, Duration(0), MAX_TIME_SINCE_PROBE).count()));
    const std::size_t count = std::min(notice.crashes.size(), CrashSuspects::MAX_CRASHES_PER_SUSPECT);
    auto crashes = message.initCrashes(static_cast<unsigned>(count));
    for (unsigned i = 0; i < crashes.size(); ++i) {
        crashes.set(i, notice.crashes[i]);
    }
}

SuspectNotice readSuspectNotice(schema::SuspectNotice::Reader message)
{
    SuspectNotice notice;
    notice.suspect = message.getSuspect();
    switch (message.getState()) {
    case schema::SuspectState::SUSPECT:
        notice.state = SuspectNotice::State::Suspect;
        break;
    case schema::SuspectState::BLOCKED:
        notice.state = SuspectNotice::State::Blocked;
        break;
    case schema::SuspectState::CLEARED:
        notice.state = SuspectNotice::State::Cleared;
        break;
    default:
        throw MalformedInputError("a notice on a part has an unknown state");
    }
    if (message.getCrashes().size() > CrashSuspects::MAX_CRASHES_PER_SUSPECT) {
        throw MalformedInputError("a notice on a part has too many crashes");
    }
    for (const CrashId crash : message.getCrashes()) {
        notice.crashes.push_back(crash);
    }
    notice.probes = std::min<int>(message.getProbes(), MAX_PROBES);
    notice.sinceProbe = std::min(Duration(message.getSinceProbeMs()), MAX_TIME_SINCE_PROBE);
    return notice;
}

void writeStreamNotice(const StreamNotice &notice, schema::StreamNotice::Builder message)
{
    message.setService(notice.origin.service.value());
    message.setVersion(notice.origin.version.value());
    auto roots = message.initRoots(static_cast<unsigned>(notice.roots.size()));
    for (unsigned i = 0; i < roots.size(); ++i) {
        roots.set(i, notice.roots[i].value());
    }
}

std::vector<RequestId> readRoots(capnp::List<capnp::Text>::Reader message)
{
    if (message.size() > MAX_STREAMS_PER_DATAGRAM) {
        throw MalformedInputError("a datagram names too many streams");
    }
    std::vector<RequestId> roots;
    roots.reserve(message.size());
    for (const capnp::Text::Reader root : message) {
        if (root.size() == 0 || root.size() > StreamOrigins::MAX_ROOT_BYTES) {
            throw MalformedInputError("the id of a stream is empty or too long");
        }
        roots.emplace_back(std::string(root.begin(), root.size()));
    }
    return roots;
}

StreamNotice readStreamNotice(schema::StreamNotice::Reader message)
{
    const auto service = message.getService();
    const auto version = message.getVersion();
    if (service.size() == 0 || service.size() > MAX_ORIGIN_NAME_BYTES || version.size() > MAX_ORIGIN_NAME_BYTES) {
        throw MalformedInputError("a stream notice has no service or too long a name");
    }
    StreamNotice notice;
    notice.origin.service = ServiceId(std::string(service.begin(), service.size()));
    notice.origin.version = SoftwareVersion(std::string(version.begin(), version.size()));
    notice.roots = readRoots(message.getRoots());
    return notice;
}

void writeUsageNotice(const HashedUsageNotice &notice, schema::UsageNotice::Builder message)
{
    message.setProcess(notice.process.value());
    message.setWindow(notice.window.count());
    message.setSequence(notice.sequence);
    message.setClosedTotal(notice.closedTotal.value_or(NOT_CLOSED));
    auto organisations = message.initOrganisations(static_cast<unsigned>(notice.counts.size()));
    auto counts = message.initCounts(static_cast<unsigned>(notice.counts.size()));
    for (unsigned i = 0; i < counts.size(); ++i) {
        organisations.set(i, notice.counts[i].organisation);
        counts.set(i, static_cast<std::uint32_t>(notice.counts[i].count));
    }
}

HashedUsageNotice readUsageNotice(schema::UsageNotice::Reader message)
{
    const auto process = message.getProcess();
    const auto organisations = message.getOrganisations();
    const auto counts = message.getCounts();
    if (process.size() == 0 || process.size() > MAX_USAGE_PROCESS_BYTES || organisations.size() != counts.size()) {
        throw MalformedInputError("a usage notice has no process, too long a name or a different number of counts and organisations");
    }
    if (message.getWindow() < 0 || message.getWindow() > FleetClock::MAX_UNIX_MS || message.getClosedTotal() < NOT_CLOSED) {
        throw MalformedInputError("a usage notice has a window or a sum out of range");
    }
    HashedUsageNotice notice;
    notice.process = ProcessId(std::string(process.begin(), process.size()));
    notice.window = UsageWindow(message.getWindow());
    notice.sequence = message.getSequence();
    if (message.getClosedTotal() != NOT_CLOSED) {
        notice.closedTotal = message.getClosedTotal();
    }
    for (unsigned i = 0; i < counts.size(); ++i) {
        notice.counts.push_back({organisations[i], counts[i]});
    }
    return notice;
}

void writeUsage(const PeerDatagram &datagram, schema::PeerDatagram::Builder message)
{
    message.setUnixMs(datagram.unixMs);
    message.setLastWrittenWindow(datagram.lastWritten.value_or(UsageWindow(0)).count());
    auto notices = message.initUsageNotices(static_cast<unsigned>(datagram.usageNotices.size()));
    for (unsigned i = 0; i < notices.size(); ++i) {
        writeUsageNotice(datagram.usageNotices[i], notices[i]);
    }
}

void readUsage(schema::PeerDatagram::Reader message, PeerDatagram &datagram)
{
    const std::int64_t lastWritten = message.getLastWrittenWindow();
    if (message.getUnixMs() < 0 || message.getUnixMs() > FleetClock::MAX_UNIX_MS || lastWritten < 0 || lastWritten > FleetClock::MAX_UNIX_MS) {
        throw MalformedInputError("a datagram has a time of day or a window out of range");
    }
    if (message.getUsageNotices().size() > MAX_USAGE_NOTICES_PER_DATAGRAM) {
        throw MalformedInputError("a datagram has too many usage notices");
    }
    datagram.unixMs = message.getUnixMs();
    if (lastWritten > 0) {
        datagram.lastWritten = UsageWindow(lastWritten);
    }
    for (const auto notice : message.getUsageNotices()) {
        datagram.usageNotices.push_back(readUsageNotice(notice));
    }
}

/// \brief Bytes of a text in a message: its pointer, its characters and the terminating zero, in whole words.
std::size_t encodedBytes(const std::string &text)
{
    return sizeof(capnp::word) * (2 + text.size() / sizeof(capnp::word));
}

/// \brief Bytes that streams may take up in a datagram; the rest is left for the message around them and for the origin of the first one.
constexpr std::size_t MAX_STREAM_BYTES = MAX_DATAGRAM_BYTES - 400;

/// \brief Fills datagrams one after another up to the bounds on their content.
class StreamBatches
{
public:
    explicit StreamBatches(RegionId region)
        : region_(std::move(region))
    {
    }

    /// \brief Returns the datagram that has room for \a bytes more and one stream.
    PeerDatagram &datagramFor(std::size_t bytes)
    {
        if (datagrams_.empty() || bytes_ + bytes > MAX_STREAM_BYTES || streams_ == MAX_STREAMS_PER_DATAGRAM
            || datagrams_.back().streamNotices.size() == MAX_STREAM_NOTICES_PER_DATAGRAM) {
            datagrams_.emplace_back().region = region_;
            bytes_ = 0;
            streams_ = 0;
        }
        bytes_ += bytes;
        ++streams_;
        return datagrams_.back();
    }

    std::vector<PeerDatagram> take()
    {
        return std::move(datagrams_);
    }

private:
    RegionId region_;
    std::vector<PeerDatagram> datagrams_;
    std::size_t bytes_ = 0;
    std::size_t streams_ = 0;
};

std::size_t encodedBytes(const StreamOrigin &origin)
{
    constexpr std::size_t structBytes = 3 * sizeof(capnp::word);
    return structBytes + encodedBytes(origin.service.value()) + encodedBytes(origin.version.value());
}

PeerDatagram readDatagram(schema::PeerDatagram::Reader message)
{
    PeerDatagram datagram;
    datagram.region = RegionId(message.getRegion().cStr());
    datagram.processCount = static_cast<int>(std::min<std::uint32_t>(message.getProcessCount(), MAX_PROCESS_COUNT));
    if (message.getPeers().size() > MAX_PEERS_PER_DATAGRAM || message.getReadings().size() > MAX_NOTICES_PER_DATAGRAM
        || message.getLimitNotices().size() > MAX_LIMIT_NOTICES_PER_DATAGRAM || message.getSuspectNotices().size() > MAX_SUSPECT_NOTICES_PER_DATAGRAM) {
        throw MalformedInputError("a datagram has too many peers or notices");
    }
    for (const auto peer : message.getPeers()) {
        datagram.peers.push_back({toUdp(parseAddress(peer.getAddress().cStr())), RegionId(peer.getRegion().cStr())});
    }
    for (const auto prefillNotice : message.getReadings()) {
        datagram.prefillNotices.push_back(readPrefillNotice(prefillNotice));
    }
    for (const auto limitNotice : message.getLimitNotices()) {
        datagram.limitNotices.push_back(readLimitNotice(limitNotice));
    }
    for (const auto suspectNotice : message.getSuspectNotices()) {
        datagram.suspectNotices.push_back(readSuspectNotice(suspectNotice));
    }
    if (message.getStreamNotices().size() > MAX_STREAM_NOTICES_PER_DATAGRAM) {
        throw MalformedInputError("a datagram has too many stream notices");
    }
    for (const auto streamNotice : message.getStreamNotices()) {
        datagram.streamNotices.push_back(readStreamNotice(streamNotice));
    }
    datagram.streamQueries = readRoots(message.getStreamQueries());
    readUsage(message, datagram);
    return datagram;
}
} // namespace

std::vector<PeerDatagram> batchStreamNotices(const RegionId &region, const std::vector<StreamNotice> &notices)
{
    StreamBatches batches(region);
    for (const StreamNotice &notice : notices) {
        const StreamOrigin &origin = notice.origin;
        if (origin.service.empty() || origin.service.value().size() > MAX_ORIGIN_NAME_BYTES || origin.version.value().size() > MAX_ORIGIN_NAME_BYTES) {
            continue;
        }
        if (notice.roots.empty()) {
            batches.datagramFor(encodedBytes(origin)).streamNotices.push_back(notice);
        }
        std::size_t originBytes = encodedBytes(origin);
        for (const RequestId &root : notice.roots) {
            PeerDatagram &datagram = batches.datagramFor(std::exchange(originBytes, 0) + encodedBytes(root.value()));
            std::vector<StreamNotice> &sent = datagram.streamNotices;
            if (sent.empty() || sent.back().origin != origin) {
                sent.push_back({origin, {}});
            }
            sent.back().roots.push_back(root);
        }
    }
    return batches.take();
}

std::vector<PeerDatagram> batchStreamQueries(const RegionId &region, const std::vector<RequestId> &roots)
{
    StreamBatches batches(region);
    for (const RequestId &root : roots) {
        batches.datagramFor(encodedBytes(root.value())).streamQueries.push_back(root);
    }
    return batches.take();
}

std::string encodeDatagram(const PeerDatagram &datagram)
{
    capnp::MallocMessageBuilder builder;
    auto message = builder.initRoot<schema::PeerDatagram>();
    message.setRegion(datagram.region.value());
    message.setProcessCount(static_cast<std::uint32_t>(std::max(0, datagram.processCount)));
    auto peers = message.initPeers(static_cast<unsigned>(datagram.peers.size()));
    for (unsigned i = 0; i < peers.size(); ++i) {
        peers[i].setAddress(addressText(datagram.peers[i].address));
        peers[i].setRegion(datagram.peers[i].region.value());
    }
    auto prefillNotices = message.initReadings(static_cast<unsigned>(datagram.prefillNotices.size()));
    for (unsigned i = 0; i < prefillNotices.size(); ++i) {
        writePrefillNotice(datagram.prefillNotices[i], prefillNotices[i]);
    }
    auto limitNotices = message.initLimitNotices(static_cast<unsigned>(datagram.limitNotices.size()));
    for (unsigned i = 0; i < limitNotices.size(); ++i) {
        writeLimitNotice(datagram.limitNotices[i], limitNotices[i]);
    }
    auto suspectNotices = message.initSuspectNotices(static_cast<unsigned>(datagram.suspectNotices.size()));
    for (unsigned i = 0; i < suspectNotices.size(); ++i) {
        writeSuspectNotice(datagram.suspectNotices[i], suspectNotices[i]);
    }
    auto streamNotices = message.initStreamNotices(static_cast<unsigned>(datagram.streamNotices.size()));
    for (unsigned i = 0; i < streamNotices.size(); ++i) {
        writeStreamNotice(datagram.streamNotices[i], streamNotices[i]);
    }
    auto streamQueries = message.initStreamQueries(static_cast<unsigned>(datagram.streamQueries.size()));
    for (unsigned i = 0; i < streamQueries.size(); ++i) {
        streamQueries.set(i, datagram.streamQueries[i].value());
    }
    writeUsage(datagram, message);
    const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asChars();
    return {bytes.begin(), bytes.size()};
}

PeerDatagram decodeDatagram(std::string_view bytes)
{
    if (bytes.empty() || bytes.size() > MAX_DATAGRAM_BYTES || bytes.size() % sizeof(capnp::word) != 0) {
        throw MalformedInputError("a datagram is empty, too long or not a multiple of the word size");
    }
    kj::Array<capnp::word> words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.asBytes().begin(), bytes.data(), bytes.size());
    try {
        capnp::FlatArrayMessageReader reader(words);
        return readDatagram(reader.getRoot<schema::PeerDatagram>());
    } catch (const kj::Exception &error) {
        throw MalformedInputError(std::string("a datagram cannot be read: ") + error.getDescription().cStr());
    }
}

} // namespace mimosatally::internal
