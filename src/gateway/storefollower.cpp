#include "storefollower.h"

#include <mimosatally/Http>

#include <algorithm>
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
constexpr Duration MIN_BACKOFF = Duration(250);
constexpr Duration MAX_BACKOFF = Duration(1000);
constexpr int MAX_BACKOFF_DOUBLINGS = 2;
/// \brief Versions in quick succession are read together.
constexpr Duration PAUSE_AFTER_VERSION = Duration(100);
/// \brief Spreads the snapshots that all gateways read after a restore of the store.
constexpr Duration MAX_PAUSE_BEFORE_SNAPSHOT = Duration(300);
} // namespace

StoreFollower::StoreFollower(GatewayState &gateway, RecordIntake &intake, PeerReader &peers)
    : gateway_(gateway)
    , intake_(intake)
    , peers_(peers)
    , store_(gateway.io, parseAddress(gateway.settings.store))
{
}

awaitable<void> StoreFollower::followConfiguration(TaskContext &context)
{
    TopicCursor cursor {"configuration"};
    bool running = true;
    while (running) {
        std::string failure;
        Duration pause = PAUSE_AFTER_VERSION;
        readingConfiguration_ = true;
        try {
            const ReadResult result = co_await readConfiguration(cursor);
            pause = result == ReadResult::SnapshotNeeded ? pauseBeforeSnapshot() : pause;
        } catch (const Error &error) {
            failure = error.what();
        }
        readingConfiguration_ = false;
        if (failure.empty()) {
            if (cursor.lost) {
                recordNetworkReturn();
            }
            recordSuccess(cursor);
            configurationReadAt_ = MilliClock::now();
            peers_.askAfterSuccess();
        } else {
            recordFailure(cursor, failure);
            pause = backoffAfterFailure(cursor);
            // The store is asked again after the pause, whether the peer has answered or not.
            peers_.ask(nextEndpoint_);
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

std::optional<Time> StoreFollower::configurationReadAt() const
{
    return configurationReadAt_;
}

bool StoreFollower::isReadingConfiguration() const
{
    return readingConfiguration_;
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
        intake_.forgetEndpoints();
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
    const bool isOnlyRecord = before == 0 && snapshot.next == Offset(1) && records == 1;
    co_await intake_.applyConfigurations(std::move(snapshot.records), era, false);
    if (isOnlyRecord) {
        gateway_.streams.rules().recordOnlyConfiguration();
    }
    cursor.next = StorePosition {era, snapshot.next};
    // The store may have lost a version that other gateways have in force.
    peers_.askEach();
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
    // After a failure, a connection that stays silent must not take as long as a poll.
    const Duration wait = cursor.failures > 0 ? Duration(0) : CONFIGURATION_POLL_WAIT;
    const CallTimeouts timeouts {wait + ANSWER_TIMEOUT, ANSWER_TIMEOUT, CONFIGURATION_TIMEOUT};
    auto answer = co_await store_.read(platform::KeyedTopic::Operators, from.offset, wait, timeouts);
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
        co_await intake_.applyConfigurations(std::move(records->records), from.era, true);
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
    std::map<EndpointId, EndpointRecord> endpoints;
    for (const platform::KeyedRecord &record : snapshot.records) {
        present.insert(EndpointId(record.key));
        if (const std::optional<EndpointRecord> endpoint = intake_.applyEndpoint(record, end.era, now)) {
            endpoints.emplace(record.key, *endpoint);
        }
    }
    replay_.restart(std::move(endpoints));
    const auto missing = std::ranges::count_if(registry.endpoints(), [&present](const auto &item) {
        return !present.contains(item.first);
    });
    registry.retain(present, end, now);
    cursor.absence = registry.recordHistoryRead(sentAt, now, gateway_.settings.heartbeatInterval);
    recordEndpointsRead(false);
    intake_.retainEndpoints(present, end);
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
        const std::optional<EndpointRecord> endpoint = intake_.applyEndpoint(record, from.era, now);
        replay_.apply(EndpointId(record.key), endpoint, [&](const RegisteredSlots &slots) {
            gateway_.streams.rules().recordEarlierSlots(slots, now);
        });
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
    gateway_.recordEndpointStates(MilliClock::now());
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
