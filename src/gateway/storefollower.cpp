#include "storefollower.h"

#include <mimosatally/Http>

#include <algorithm>
#include <platform/recordcodec.h>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
/// \brief Longest wait for a new version in one call. A connection that went silent unnoticed costs as much, so it stays below the
/// time in which a version has to be in force.
constexpr Duration CONFIGURATION_WAIT = Duration(1500);
/// \brief A leaving endpoint must get no calls after some seconds; each read is priced.
constexpr Duration ENDPOINT_INTERVAL = Duration(900);
/// \brief A slow store takes some hundred milliseconds.
constexpr Duration ANSWER_TIMEOUT = Duration(800);
constexpr Duration FIRST_PAUSE = Duration(250);
constexpr Duration LONGEST_PAUSE = Duration(1000);
constexpr int PAUSE_DOUBLINGS = 2;
/// \brief Versions that follow each other quickly are read together.
constexpr Duration PAUSE_AFTER_VERSION = Duration(100);
} // namespace

StoreFollower::StoreFollower(GatewayState &gateway, RpcContext &rpc)
    : gateway_(gateway)
    , rpc_(rpc)
    , store_(gateway.io, parseAddress(gateway.settings.store))
{
}

const NewestRecords &StoreFollower::newest() const
{
    return newest_;
}

awaitable<void> StoreFollower::askPeers()
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
        const NewestRecords records = co_await askPeer(rpc_, peer, endpointsNext_);
        const Time now = MilliClock::now();
        if (records.configuration) {
            applyConfigurationRecord(*records.configuration);
        }
        for (const auto &[key, record] : records.endpoints) {
            applyEndpointRecord(record, now);
        }
        // The process counts as ready from now on, so calls must find the endpoints at once.
        gateway_.applyEndpoints(now);
    } catch (const Error &error) {
        // The next peer is asked with the next failure of the store.
        gateway_.metrics.increment("mimosatally_peer_failures_total", {});
        logEvent(LogEvent::PeerUnreachable, {{"peer", peer}, {"error", error.what()}});
    }
}

awaitable<void> StoreFollower::followConfiguration(TaskContext &context)
{
    Position position;
    bool goesOn = true;
    while (goesOn) {
        std::string failure;
        Duration pause = PAUSE_AFTER_VERSION;
        try {
            co_await advanceConfiguration(position);
        } catch (const Error &error) {
            failure = error.what();
        }
        if (failure.empty()) {
            noteAnswer(position, "configuration");
        } else {
            noteFailure(position, "configuration", failure);
            pause = pauseAfterFailure(position);
            co_await askPeers();
        }
        goesOn = co_await context.sleep(pause);
    }
}

awaitable<void> StoreFollower::followEndpoints(TaskContext &context)
{
    Position position;
    bool goesOn = true;
    while (goesOn) {
        std::string failure;
        Duration pause = ENDPOINT_INTERVAL;
        try {
            co_await advanceEndpoints(position);
        } catch (const Error &error) {
            failure = error.what();
        }
        if (failure.empty()) {
            noteAnswer(position, "endpoints");
        } else {
            noteFailure(position, "endpoints", failure);
            gateway_.registry.storeLost();
            pause = pauseAfterFailure(position);
        }
        gateway_.applyEndpoints(MilliClock::now());
        goesOn = co_await context.sleep(pause);
    }
}

awaitable<void> StoreFollower::advanceConfiguration(Position &position)
{
    if (!position.next) {
        const platform::KeyedSnapshot snapshot = co_await store_.newest(platform::KeyedTopic::Operators, ANSWER_TIMEOUT);
        for (const platform::KeyedRecord &record : snapshot.records) {
            applyConfigurationRecord(record);
        }
        position.next = snapshot.next;
        co_return;
    }
    const Duration timeout = CONFIGURATION_WAIT + ANSWER_TIMEOUT;
    const auto answer = co_await store_.read(platform::KeyedTopic::Operators, *position.next, CONFIGURATION_WAIT, timeout);
    const auto *records = std::get_if<platform::KeyedRecords>(&answer);
    if (records == nullptr) {
        position.next.reset();
        co_return;
    }
    for (const platform::KeyedRecord &record : records->records) {
        applyConfigurationRecord(record);
    }
    position.next = records->next;
}

awaitable<void> StoreFollower::advanceEndpoints(Position &position)
{
    if (!position.next) {
        const platform::KeyedSnapshot snapshot = co_await store_.newest(platform::KeyedTopic::Endpoints, ANSWER_TIMEOUT);
        const Time now = MilliClock::now();
        gateway_.registry.storeAnswered(now);
        std::map<EndpointId, Offset> present;
        for (const platform::KeyedRecord &record : snapshot.records) {
            present.emplace(EndpointId(record.key), record.offset);
            applyEndpointRecord(record, now);
        }
        gateway_.registry.retain(present, snapshot.next, now);
        position.next = snapshot.next;
        endpointsNext_ = snapshot.next;
        co_return;
    }
    const auto answer = co_await store_.read(platform::KeyedTopic::Endpoints, *position.next, Duration(0), ANSWER_TIMEOUT);
    const Time now = MilliClock::now();
    gateway_.registry.storeAnswered(now);
    const auto *records = std::get_if<platform::KeyedRecords>(&answer);
    if (records == nullptr) {
        position.next.reset();
        co_return;
    }
    for (const platform::KeyedRecord &record : records->records) {
        applyEndpointRecord(record, now);
    }
    position.next = records->next;
    endpointsNext_ = records->next;
}

void StoreFollower::applyConfigurationRecord(const platform::KeyedRecord &record)
{
    if (record.key != platform::CONFIGURATION_KEY || !record.value) {
        return;
    }
    try {
        if (gateway_.applyConfiguration(platform::decodeConfiguration(*record.value))) {
            newest_.configuration = record;
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
    const auto known = newest_.endpoints.find(record.key);
    if (known == newest_.endpoints.end() || known->second.offset < record.offset) {
        newest_.endpoints.insert_or_assign(record.key, record);
    }
    gateway_.registry.apply(id, record.offset, endpoint, now);
}

void StoreFollower::noteAnswer(Position &position, const char *topic)
{
    position.failures = 0;
    if (position.lost) {
        position.lost = false;
        logEvent(LogEvent::StoreRegained, {{"topic", topic}});
    }
}

void StoreFollower::noteFailure(Position &position, const char *topic, const std::string &error)
{
    ++position.failures;
    gateway_.metrics.increment("mimosatally_store_failures_total", std::string("topic=\"") + topic + '"');
    if (!position.lost) {
        position.lost = true;
        logEvent(LogEvent::StoreLost, {{"topic", topic}, {"error", error}});
    }
}

Duration StoreFollower::pauseAfterFailure(const Position &position)
{
    const Duration pause = std::min(LONGEST_PAUSE, FIRST_PAUSE * (1 << std::min(position.failures - 1, PAUSE_DOUBLINGS)));
    return pause + Duration(static_cast<Duration::rep>(static_cast<double>(pause.count()) * gateway_.jitter()));
}

} // namespace mimosatally::internal
