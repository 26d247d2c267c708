#include "storefollower.h"

#include <mimosatally/Http>

#include <algorithm>
#include <platform/recordcodec.h>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
/// \brief Long-poll wait for a new configuration version. A silently lost connection delays a version by as much, so the wait stays
/// below the time within which a version has to be in force.
constexpr Duration CONFIGURATION_POLL_WAIT = Duration(1500);
/// \brief A leaving endpoint must get no calls after some seconds; more frequent reads cost more, since each is charged.
constexpr Duration ENDPOINT_POLL_INTERVAL = Duration(900);
/// \brief A slow store answers within some hundred milliseconds.
constexpr Duration ANSWER_TIMEOUT = Duration(800);
constexpr Duration MIN_BACKOFF = Duration(250);
constexpr Duration MAX_BACKOFF = Duration(1000);
constexpr int MAX_BACKOFF_DOUBLINGS = 2;
/// \brief Versions in quick succession are read together.
constexpr Duration PAUSE_AFTER_VERSION = Duration(100);
} // namespace

StoreFollower::StoreFollower(GatewayState &gateway, RpcContext &rpc)
    : gateway_(gateway)
    , rpc_(rpc)
    , store_(gateway.io, parseAddress(gateway.settings.store))
{
}

const NewestRecords &StoreFollower::newestRecords() const
{
    return newestRecords_;
}

awaitable<void> StoreFollower::fetchFromNextPeer()
{
    const std::vector<std::string> peers = gateway_.settings.peers;
    if (peers.empty()) {
        co_return;
    }
    const std::string &peer = peers[nextPeer_++ % peers.size()];
    if (peer == gateway_.settings.peerListen) {
        co_return;
    }
    try {
        const NewestRecords records = co_await fetchPeerRecords(rpc_, peer, nextEndpointOffset_);
        const Time now = MilliClock::now();
        if (records.configuration) {
            applyConfigurationRecord(*records.configuration);
        }
        for (const auto &[key, record] : records.endpoints) {
            applyEndpointRecord(record, now);
        }
        // The process may be ready from here on, so the router must know the endpoints at once.
        gateway_.applyEndpoints(now);
    } catch (const Error &error) {
        // The next failure of the store tries the next peer.
        gateway_.metrics.increment("mimosatally_peer_failures_total", {});
        logEvent(LogEvent::PeerUnreachable, {{"peer", peer}, {"error", error.what()}});
    }
}

awaitable<void> StoreFollower::followConfiguration(TaskContext &context)
{
    TopicCursor cursor;
    bool running = true;
    while (running) {
        std::string failure;
        Duration pause = PAUSE_AFTER_VERSION;
        try {
            co_await readConfiguration(cursor);
        } catch (const Error &error) {
            failure = error.what();
        }
        if (failure.empty()) {
            recordSuccess(cursor, "configuration");
        } else {
            recordFailure(cursor, "configuration", failure);
            pause = backoffAfterFailure(cursor);
            co_await fetchFromNextPeer();
        }
        running = co_await context.sleep(pause);
    }
}

awaitable<void> StoreFollower::followEndpoints(TaskContext &context)
{
    TopicCursor cursor;
    bool running = true;
    while (running) {
        std::string failure;
        Duration pause = ENDPOINT_POLL_INTERVAL;
        try {
            co_await readEndpoints(cursor);
        } catch (const Error &error) {
            failure = error.what();
        }
        if (failure.empty()) {
            recordSuccess(cursor, "endpoints");
        } else {
            recordFailure(cursor, "endpoints", failure);
            gateway_.registry.recordStoreFailure();
            pause = backoffAfterFailure(cursor);
        }
        gateway_.applyEndpoints(MilliClock::now());
        running = co_await context.sleep(pause);
    }
}

awaitable<void> StoreFollower::readConfiguration(TopicCursor &cursor)
{
    if (!cursor.next) {
        const platform::KeyedSnapshot snapshot = co_await store_.newest(platform::KeyedTopic::Operators, ANSWER_TIMEOUT);
        gateway_.observeStoreEra(snapshot.era, "configuration", MilliClock::now());
        for (const platform::KeyedRecord &record : snapshot.records) {
            applyConfigurationRecord(record);
        }
        cursor.next = snapshot.next;
        co_return;
    }
    const Duration timeout = CONFIGURATION_POLL_WAIT + ANSWER_TIMEOUT;
    const auto answer = co_await store_.read(platform::KeyedTopic::Operators, *cursor.next, CONFIGURATION_POLL_WAIT, timeout);
    const auto *records = std::get_if<platform::KeyedRecords>(&answer);
    if (records == nullptr) {
        gateway_.observeStoreEra(std::get<platform::OffsetUnavailable>(answer).era, "configuration", MilliClock::now());
        cursor.next.reset();
        co_return;
    }
    gateway_.observeStoreEra(records->era, "configuration", MilliClock::now());
    for (const platform::KeyedRecord &record : records->records) {
        applyConfigurationRecord(record);
    }
    cursor.next = records->next;
}

awaitable<void> StoreFollower::readEndpoints(TopicCursor &cursor)
{
    if (!cursor.next) {
        const platform::KeyedSnapshot snapshot = co_await store_.newest(platform::KeyedTopic::Endpoints, ANSWER_TIMEOUT);
        const Time now = MilliClock::now();
        gateway_.observeStoreEra(snapshot.era, "endpoints", now);
        gateway_.registry.recordStoreAnswer(now);
        std::map<EndpointId, Offset> present;
        for (const platform::KeyedRecord &record : snapshot.records) {
            present.emplace(EndpointId(record.key), record.offset);
            applyEndpointRecord(record, now);
        }
        gateway_.registry.retain(present, snapshot.next, now);
        cursor.next = snapshot.next;
        nextEndpointOffset_ = snapshot.next;
        co_return;
    }
    const auto answer = co_await store_.read(platform::KeyedTopic::Endpoints, *cursor.next, Duration(0), ANSWER_TIMEOUT);
    const Time now = MilliClock::now();
    gateway_.registry.recordStoreAnswer(now);
    const auto *records = std::get_if<platform::KeyedRecords>(&answer);
    if (records == nullptr) {
        gateway_.observeStoreEra(std::get<platform::OffsetUnavailable>(answer).era, "endpoints", now);
        cursor.next.reset();
        co_return;
    }
    gateway_.observeStoreEra(records->era, "endpoints", now);
    for (const platform::KeyedRecord &record : records->records) {
        applyEndpointRecord(record, now);
    }
    cursor.next = records->next;
    nextEndpointOffset_ = records->next;
}

void StoreFollower::applyConfigurationRecord(const platform::KeyedRecord &record)
{
    if (record.key != platform::CONFIGURATION_KEY || !record.value) {
        return;
    }
    try {
        if (gateway_.applyConfiguration(platform::decodeConfiguration(*record.value))) {
            newestRecords_.configuration = record;
        }
    } catch (const MalformedInputError &error) {
        logEvent(LogEvent::ServingConfigurationUnreadable, {{"offset", record.offset}, {"error", error.what()}});
    }
}

void StoreFollower::applyEndpointRecord(const platform::KeyedRecord &record, Time now)
{
    const EndpointId id(record.key);
    std::optional<EndpointRecord> endpoint;
    if (record.value) {
        try {
            endpoint = platform::decodeEndpoint(record.key, *record.value);
        } catch (const MalformedInputError &error) {
            logEvent(LogEvent::EndpointRecordUnreadable, {{"endpoint", id}, {"offset", record.offset}, {"error", error.what()}});
        }
    }
    const auto known = newestRecords_.endpoints.find(record.key);
    if (known == newestRecords_.endpoints.end() || known->second.offset < record.offset) {
        newestRecords_.endpoints.insert_or_assign(record.key, record);
    }
    gateway_.registry.apply(id, record.offset, endpoint, now);
}

void StoreFollower::recordSuccess(TopicCursor &cursor, const char *topic)
{
    cursor.failures = 0;
    if (cursor.lost) {
        cursor.lost = false;
        logEvent(LogEvent::StoreRegained, {{"topic", topic}});
    }
}

void StoreFollower::recordFailure(TopicCursor &cursor, const char *topic, const std::string &error)
{
    ++cursor.failures;
    gateway_.metrics.increment("mimosatally_store_failures_total", std::string("topic=\"") + topic + '"');
    if (!cursor.lost) {
        cursor.lost = true;
        logEvent(LogEvent::StoreLost, {{"topic", topic}, {"error", error}});
    }
}

Duration StoreFollower::backoffAfterFailure(const TopicCursor &cursor)
{
    const Duration pause = std::min(MAX_BACKOFF, MIN_BACKOFF * (1 << std::min(cursor.failures - 1, MAX_BACKOFF_DOUBLINGS)));
    return pause + Duration(static_cast<Duration::rep>(static_cast<double>(pause.count()) * gateway_.jitter()));
}

} // namespace mimosatally::internal
