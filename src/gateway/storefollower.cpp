#include "storefollower.h"

#include <mimosatally/Http>

#include <algorithm>
#include <limits>
#include <map>
#include <platform/recordcodec.h>
#include <set>
#include <utility>

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
/// \brief A large configuration takes some seconds over a slow link, and counts as lost if no more of it comes.
constexpr Duration CONFIGURATION_TIMEOUT = Duration(20'000);
/// \brief Time for a large configuration of a peer. While it passes, the store is not asked for the configuration.
constexpr Duration PEER_CONFIGURATION_TIMEOUT = Duration(6000);
constexpr Duration MIN_BACKOFF = Duration(250);
constexpr Duration MAX_BACKOFF = Duration(1000);
constexpr int MAX_BACKOFF_DOUBLINGS = 2;
/// \brief Versions in quick succession are read together.
constexpr Duration PAUSE_AFTER_VERSION = Duration(100);
/// \brief Spreads the snapshots that all gateways read after a restore of the store.
constexpr Duration MAX_PAUSE_BEFORE_SNAPSHOT = Duration(300);
/// \brief Position from which a peer has no endpoint records to tell: only its configuration is wanted.
constexpr StorePosition NO_ENDPOINTS = {platform::MAX_STORE_ERA + StoreEra(1), Offset(0)};
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

awaitable<void> StoreFollower::fetchFromNextPeer(StorePosition endpointsFrom)
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
        std::optional<PositionedRecord> configuration = co_await fetchEndpoints(peer, endpointsFrom);
        // The peer is known to answer, so it gets the time that a large configuration takes.
        if (!configuration) {
            configuration = co_await fetchConfiguration(peer);
        }
        if (configuration) {
            co_await applyConfigurationRecord(std::move(*configuration));
            gateway_.applyEndpoints(MilliClock::now());
        }
    } catch (const Error &error) {
        gateway_.metrics.increment("mimosatally_peer_failures_total", {});
        logEvent(LogEvent::PeerUnreachable, {{"peer", peer}, {"error", error.what()}});
    }
}

awaitable<std::optional<PositionedRecord>> StoreFollower::fetchEndpoints(std::string peer, StorePosition from)
{
    PeerQuery query;
    query.endpointsFrom = from;
    query.wantsConfiguration = false;
    NewestRecords records = co_await fetchPeerRecords(rpc_, peer, query);
    const Time now = MilliClock::now();
    for (const auto &[key, positioned] : records.endpoints) {
        applyEndpointRecord(positioned.record, positioned.era, now);
    }
    // The process may be ready from here on, so the router must know the endpoints at once.
    gateway_.applyEndpoints(now);
    co_return std::move(records.configuration);
}

awaitable<std::optional<PositionedRecord>> StoreFollower::fetchConfiguration(std::string peer)
{
    PeerQuery query;
    query.endpointsFrom = NO_ENDPOINTS;
    query.knownConfiguration = newestRecords_.configurationRank();
    query.timeout = PEER_CONFIGURATION_TIMEOUT;
    NewestRecords records = co_await fetchPeerRecords(rpc_, peer, query);
    co_return std::move(records.configuration);
}

awaitable<void> StoreFollower::followConfiguration(TaskContext &context)
{
    TopicCursor cursor {"configuration"};
    bool running = true;
    while (running) {
        std::string failure;
        Duration pause = PAUSE_AFTER_VERSION;
        try {
            const ReadResult result = co_await readConfiguration(cursor);
            pause = result == ReadResult::SnapshotNeeded ? pauseBeforeSnapshot() : pause;
        } catch (const Error &error) {
            failure = error.what();
        }
        if (failure.empty()) {
            if (cursor.lost) {
                recordNetworkReturn();
            }
            recordSuccess(cursor);
            if (peersToAsk_ > 0) {
                --peersToAsk_;
                co_await fetchFromNextPeer(NO_ENDPOINTS);
            }
        } else {
            recordFailure(cursor, failure);
            pause = backoffAfterFailure(cursor);
            // The next failure of the store tries the next peer.
            co_await fetchFromNextPeer(nextEndpoint_);
        }
        running = co_await context.sleep(pause);
    }
}

awaitable<void> StoreFollower::followEndpoints(TaskContext &context)
{
    TopicCursor cursor {"endpoints"};
    endpointReader_ = &context;
    StoreObservation &observation = gateway_.endpointObservation;
    observation.setReadNow([this] {
        wakeEndpointReader();
    });
    bool running = true;
    while (running) {
        std::string failure;
        Duration pause(0);
        try {
            pause = pauseAfterEndpoints(co_await readEndpoints(cursor));
        } catch (const Error &error) {
            failure = error.what();
        }
        if (failure.empty()) {
            recordSuccess(cursor);
        } else {
            // What failed on connections of before the cut tells nothing of the store.
            cursor.failures = std::exchange(networkReturned_, false) ? 0 : cursor.failures;
            recordFailure(cursor, failure);
            gateway_.registry.recordStoreFailure();
            pause = backoffAfterFailure(cursor);
        }
        endpointsLost_ = cursor.lost;
        networkReturned_ = networkReturned_ && cursor.lost;
        gateway_.applyEndpoints(MilliClock::now());
        observation.endRead(failure.empty());
        running = co_await context.sleep(pause);
    }
    observation.setReadNow(nullptr);
    endpointReader_ = nullptr;
}

Duration StoreFollower::pauseAfterEndpoints(ReadResult result)
{
    if (result == ReadResult::SnapshotNeeded) {
        return pauseBeforeSnapshot();
    }
    return result == ReadResult::MoreRecords ? Duration(0) : ENDPOINT_POLL_INTERVAL;
}

void StoreFollower::recordNetworkReturn()
{
    if (endpointsLost_) {
        networkReturned_ = true;
        wakeEndpointReader();
    }
}

void StoreFollower::wakeEndpointReader()
{
    if (endpointReader_ != nullptr) {
        endpointReader_->wake();
    }
}

Duration StoreFollower::pauseBeforeSnapshot()
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(MAX_PAUSE_BEFORE_SNAPSHOT.count()) * gateway_.jitter()));
}

bool StoreFollower::acceptAnswer(TopicCursor &cursor, std::optional<StoreEra> era, Time now)
{
    const bool outdated = gateway_.observeStoreEra(era, cursor.topic, now) == StoreEraTracker::Observation::Outdated;
    dropOutdatedPosition(cursor);
    return !outdated && cursor.next;
}

void StoreFollower::dropOutdatedPosition(TopicCursor &cursor) const
{
    if (cursor.next && cursor.next->era < gateway_.storeEra.current()) {
        cursor.next.reset();
        cursor.restored = true;
    }
}

void StoreFollower::checkSnapshotEnd(StorePosition end)
{
    const StorePosition known = gateway_.registry.newestPosition();
    if (end.era == known.era && end.offset <= known.offset) {
        logEvent(LogEvent::StoreWentBack, {{"topic", "endpoints"}, {"end", end.offset}, {"known", known.offset}});
        gateway_.registry.forgetPositions();
        newestRecords_.endpoints.clear();
        const Time now = MilliClock::now();
        gateway_.endpointObservation.recordRestore(now + EndpointRegistry::REREGISTRATION_TIME);
        gateway_.streams.versions().recordRestore(now);
    }
}

void StoreFollower::logReadAgain(TopicCursor &cursor, std::size_t records, std::size_t changed, std::size_t missing)
{
    if (!std::exchange(cursor.restored, false)) {
        return;
    }
    logEvent(LogEvent::StoreReadAgain,
             {{"topic", cursor.topic},
              {"era", gateway_.storeEra.current()},
              {"records", records},
              {"changed", changed},
              {"missing", missing},
              {"configuration", gateway_.configuration ? gateway_.configuration->version : 0}});
}

awaitable<void> StoreFollower::readConfigurationSnapshot(TopicCursor &cursor)
{
    const CallTimeouts timeouts {ANSWER_TIMEOUT, ANSWER_TIMEOUT, CONFIGURATION_TIMEOUT};
    platform::KeyedSnapshot snapshot = co_await store_.newest(platform::KeyedTopic::Operators, timeouts);
    if (gateway_.observeStoreEra(snapshot.era, cursor.topic, MilliClock::now()) == StoreEraTracker::Observation::Outdated) {
        co_return;
    }
    const StoreEra era = gateway_.storeEra.current();
    const std::int64_t before = gateway_.configuration ? gateway_.configuration->version : 0;
    const std::size_t records = snapshot.records.size();
    co_await applyConfigurationRecords(std::move(snapshot.records), era);
    cursor.next = StorePosition {era, snapshot.next};
    // The store may have lost a version that other gateways have in force.
    peersToAsk_ = gateway_.settings.peers.size();
    logReadAgain(cursor, records, gateway_.configuration && gateway_.configuration->version != before ? 1 : 0, 0);
}

awaitable<StoreFollower::ReadResult> StoreFollower::readConfiguration(TopicCursor &cursor)
{
    dropOutdatedPosition(cursor);
    if (!cursor.next) {
        co_await readConfigurationSnapshot(cursor);
        co_return cursor.next ? ReadResult::UpToDate : ReadResult::SnapshotNeeded;
    }
    const StorePosition from = *cursor.next;
    const CallTimeouts timeouts {CONFIGURATION_POLL_WAIT + ANSWER_TIMEOUT, ANSWER_TIMEOUT, CONFIGURATION_TIMEOUT};
    auto answer = co_await store_.read(platform::KeyedTopic::Operators, from.offset, CONFIGURATION_POLL_WAIT, timeouts);
    auto *records = std::get_if<platform::KeyedRecords>(&answer);
    const std::optional<StoreEra> era = records == nullptr ? std::get<platform::OffsetUnavailable>(answer).era : records->era;
    const bool accepted = acceptAnswer(cursor, era, MilliClock::now());
    if (accepted && records == nullptr) {
        cursor.next.reset();
    }
    if (!cursor.next) {
        co_return ReadResult::SnapshotNeeded;
    }
    if (accepted) {
        co_await applyConfigurationRecords(std::move(records->records), from.era);
        cursor.next = StorePosition {from.era, records->next};
    }
    co_return ReadResult::UpToDate;
}

awaitable<void> StoreFollower::readEndpointSnapshot(TopicCursor &cursor)
{
    const Time sentAt = MilliClock::now();
    gateway_.endpointObservation.beginRead(sentAt);
    const platform::KeyedSnapshot snapshot = co_await store_.newest(platform::KeyedTopic::Endpoints, ANSWER_TIMEOUT);
    const Time now = MilliClock::now();
    if (gateway_.observeStoreEra(snapshot.era, cursor.topic, now) == StoreEraTracker::Observation::Outdated) {
        co_return;
    }
    EndpointRegistry &registry = gateway_.registry;
    registry.recordStoreAnswer(now);
    const StorePosition end {gateway_.storeEra.current(), snapshot.next};
    if (!snapshot.era) {
        checkSnapshotEnd(end);
    }
    const std::uint64_t before = registry.changeCount();
    std::set<EndpointId> present;
    for (const platform::KeyedRecord &record : snapshot.records) {
        present.insert(EndpointId(record.key));
        applyEndpointRecord(record, end.era, now);
    }
    const auto missing = std::ranges::count_if(registry.endpoints(), [&present](const auto &item) {
        return !present.contains(item.first);
    });
    registry.retain(present, end, now);
    cursor.absence = registry.recordHistoryRead(sentAt, now, gateway_.settings.heartbeatInterval);
    recordEndpointsRead(false);
    std::erase_if(newestRecords_.endpoints, [&](const auto &item) {
        return item.second.position() < end && !present.contains(EndpointId(item.first));
    });
    cursor.next = end;
    nextEndpoint_ = end;
    logReadAgain(cursor, snapshot.records.size(), registry.changeCount() - before, static_cast<std::size_t>(missing));
}

awaitable<StoreFollower::ReadResult> StoreFollower::readEndpoints(TopicCursor &cursor)
{
    dropOutdatedPosition(cursor);
    if (!cursor.next) {
        co_await readEndpointSnapshot(cursor);
        co_return cursor.next ? ReadResult::UpToDate : ReadResult::SnapshotNeeded;
    }
    const StorePosition from = *cursor.next;
    const Time sentAt = MilliClock::now();
    gateway_.endpointObservation.beginRead(sentAt);
    const auto answer = co_await store_.read(platform::KeyedTopic::Endpoints, from.offset, Duration(0), ANSWER_TIMEOUT);
    const Time now = MilliClock::now();
    gateway_.registry.recordStoreAnswer(now);
    const auto *records = std::get_if<platform::KeyedRecords>(&answer);
    const std::optional<StoreEra> era = records == nullptr ? std::get<platform::OffsetUnavailable>(answer).era : records->era;
    const bool accepted = acceptAnswer(cursor, era, now);
    if (accepted && records == nullptr) {
        cursor.next.reset();
    }
    if (!cursor.next) {
        co_return ReadResult::SnapshotNeeded;
    }
    if (!accepted) {
        co_return ReadResult::UpToDate;
    }
    for (const platform::KeyedRecord &record : records->records) {
        applyEndpointRecord(record, from.era, now);
    }
    cursor.next = StorePosition {from.era, records->next};
    nextEndpoint_ = *cursor.next;
    if (records->next < records->end) {
        co_return records->records.empty() ? ReadResult::UpToDate : ReadResult::MoreRecords;
    }
    cursor.absence = gateway_.registry.recordHistoryRead(sentAt, now, gateway_.settings.heartbeatInterval);
    recordEndpointsRead(true);
    co_return ReadResult::UpToDate;
}

void StoreFollower::recordEndpointsRead(bool complete)
{
    gateway_.streams.versions().recordRead(complete, gateway_.endpointObservation.sentAt());
    gateway_.endpointObservation.recordSeenToEnd();
}

awaitable<void> StoreFollower::applyConfigurationRecords(std::vector<platform::KeyedRecord> records, StoreEra era)
{
    if (records.size() > 1) {
        co_await sortByVersion(records);
    }
    bool inForce = false;
    for (auto record = records.rbegin(); record != records.rend() && !inForce; ++record) {
        PositionedRecord positioned {era, std::move(*record)};
        inForce = co_await applyConfigurationRecord(std::move(positioned));
    }
}

awaitable<void> StoreFollower::sortByVersion(std::vector<platform::KeyedRecord> &records)
{
    std::map<Offset, std::int64_t> versions;
    const auto work = [&](const Checkpoint &checkpoint) {
        for (const platform::KeyedRecord &record : records) {
            // A text without a version goes last, so that it is reported as unreadable.
            const std::optional<std::int64_t> version = platform::configurationVersion(record.value.value_or(std::string()), checkpoint);
            versions[record.offset] = version.value_or(std::numeric_limits<std::int64_t>::max());
        }
    };
    co_await runInPieces(gateway_.io, Pace::Shared, work);
    std::ranges::sort(records, {}, [&versions](const platform::KeyedRecord &record) {
        return std::pair(versions[record.offset], record.offset);
    });
}

awaitable<bool> StoreFollower::applyConfigurationRecord(PositionedRecord positioned)
{
    platform::KeyedRecord &record = positioned.record;
    if (record.key != platform::CONFIGURATION_KEY || !record.value) {
        co_return false;
    }
    ConfigurationCost cost;
    cost.textBytes = record.value->size();
    platform::ConfigurationReading reading;
    PreparedConfiguration prepared;
    std::string failure;
    const auto work = [&](const Checkpoint &checkpoint) {
        reading = platform::readConfigurationText(std::move(*record.value), earlierReading(), checkpoint);
        if (isNewer(reading.configuration->version, positioned.position())) {
            prepared = prepareConfiguration(reading.configuration, checkpoint);
        }
    };
    // A process without a configuration serves no calls that could wait.
    const Pace pace = gateway_.configuration ? Pace::Shared : Pace::Prompt;
    try {
        cost.times = co_await runInPieces(gateway_.io, pace, work);
    } catch (const MalformedInputError &error) {
        failure = error.what();
    }
    if (!failure.empty()) {
        logEvent(LogEvent::ServingConfigurationUnreadable, {{"offset", record.offset}, {"error", failure}});
        co_return false;
    }
    cost.decodedRoutes = reading.decodedRoutes;
    if (!prepared.configuration) {
        co_return false;
    }
    co_return putInForce(std::move(positioned), std::move(reading), std::move(prepared), cost);
}

bool StoreFollower::isNewer(std::int64_t version, const StorePosition &position) const
{
    const std::optional<ConfigurationRank> known = newestRecords_.configurationRank();
    return !known || ConfigurationRank {version, position} > *known;
}

platform::EarlierReading StoreFollower::earlierReading() const
{
    const std::optional<PositionedRecord> &newest = newestRecords_.configuration;
    if (!gateway_.configuration || !newest || !newest->record.value) {
        return {};
    }
    return {gateway_.configuration.get(), *newest->record.value, routeTexts_};
}

bool StoreFollower::putInForce(PositionedRecord positioned,
                               platform::ConfigurationReading reading,
                               PreparedConfiguration prepared,
                               const ConfigurationCost &cost)
{
    std::optional<PositionedRecord> &newest = newestRecords_.configuration;
    const bool sameVersion = gateway_.configuration && reading.configuration->version == gateway_.configuration->version;
    // The record is passed on to other gateways, which need no keys to authenticate callers.
    positioned.record.value = std::move(reading.text);
    if (!sameVersion) {
        gateway_.applyConfiguration(std::move(prepared), cost);
    } else if (newest && newest->record.value != positioned.record.value) {
        // An operator may write another text with the version that the store has lost. All gateways end with the one that was written last.
        gateway_.replaceConfiguration(std::move(prepared), cost);
    }
    newest = std::move(positioned);
    newestRecords_.configurationVersion = gateway_.configuration->version;
    routeTexts_ = std::move(reading.routes);
    return true;
}

void StoreFollower::applyEndpointRecord(const platform::KeyedRecord &record, StoreEra era, Time now)
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
    if (endpoint) {
        gateway_.streams.versions().observe(endpoint->service, endpoint->version, now);
    }
    const PositionedRecord positioned {era, record};
    const auto known = newestRecords_.endpoints.find(record.key);
    if (known == newestRecords_.endpoints.end() || known->second.position() < positioned.position()) {
        newestRecords_.endpoints.insert_or_assign(record.key, positioned);
    }
    gateway_.registry.apply(id, positioned.position(), endpoint, now);
}

void StoreFollower::recordSuccess(TopicCursor &cursor)
{
    cursor.failures = 0;
    if (cursor.lost) {
        cursor.lost = false;
        const StoreAbsence absence = cursor.absence.value_or(StoreAbsence());
        logEvent(LogEvent::StoreRegained,
                 {{"topic", cursor.topic},
                  {"absent_ms", absence.duration},
                  {"covered_ms", absence.covered},
                  {"served_others", absence.servedOthers ? "true" : "false"},
                  {"cut_off", absence.cutOff ? "true" : "false"},
                  {"removed", absence.removed},
                  {"kept", absence.kept}});
    }
}

void StoreFollower::recordFailure(TopicCursor &cursor, const std::string &error)
{
    ++cursor.failures;
    gateway_.metrics.increment("mimosatally_store_failures_total", std::string("topic=\"") + cursor.topic + '"');
    if (!cursor.lost) {
        cursor.lost = true;
        logEvent(LogEvent::StoreLost, {{"topic", cursor.topic}, {"error", error}});
    }
}

Duration StoreFollower::backoffAfterFailure(const TopicCursor &cursor)
{
    const Duration pause = std::min(MAX_BACKOFF, MIN_BACKOFF * (1 << std::min(cursor.failures - 1, MAX_BACKOFF_DOUBLINGS)));
    return pause + Duration(static_cast<Duration::rep>(static_cast<double>(pause.count()) * gateway_.jitter()));
}

} // namespace mimosatally::internal
