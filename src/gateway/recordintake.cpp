#include "recordintake.h"

#include <algorithm>
#include <limits>
#include <map>
#include <platform/recordcodec.h>
#include <utility>

namespace mimosatally::internal
{

using boost::asio::awaitable;

RecordIntake::RecordIntake(GatewayState &gateway)
    : gateway_(gateway)
{
}

const NewestRecords &RecordIntake::newest() const
{
    return newest_;
}

awaitable<void> RecordIntake::applyPeerConfiguration(std::shared_ptr<const PositionedRecord> record)
{
    const std::string text = record->record.value.value_or(std::string());
    std::optional<std::int64_t> version;
    co_await runInPieces(gateway_.io, Pace::Shared, [&](const Checkpoint &checkpoint) {
        version = platform::configurationVersion(text, checkpoint);
    });
    // The store has often shown a newer version since the peer was asked; the rest of the text is not read then.
    if (!version || isNewer(*version, record->position())) {
        co_await applyConfiguration(*record, false);
    }
}

awaitable<void> RecordIntake::applyConfigurations(std::vector<platform::KeyedRecord> records, StoreEra era, bool follows)
{
    if (records.size() > 1) {
        co_await sortByVersion(records);
    }
    // Of several versions only the last one is read, which others may have had in force.
    const bool isNext = follows && records.size() == 1;
    bool inForce = false;
    for (auto record = records.rbegin(); record != records.rend() && !inForce; ++record) {
        PositionedRecord positioned {era, std::move(*record)};
        inForce = co_await applyConfiguration(std::move(positioned), isNext);
    }
}

awaitable<void> RecordIntake::sortByVersion(std::vector<platform::KeyedRecord> &records)
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

awaitable<bool> RecordIntake::applyConfiguration(PositionedRecord positioned, bool follows)
{
    platform::KeyedRecord &record = positioned.record;
    if (record.key != platform::CONFIGURATION_KEY || !record.value) {
        co_return false;
    }
    ConfigurationCost cost;
    cost.textBytes = record.value->size();
    // Another configuration may be put in force meanwhile, so what the reading refers to is kept.
    const std::shared_ptr<const ServingConfiguration> inForce = gateway_.configuration;
    const std::shared_ptr<const PositionedRecord> newest = newest_.configuration;
    const std::shared_ptr<const std::vector<platform::EntryText>> routeTexts = routeTexts_;
    platform::EarlierReading earlier;
    if (inForce && newest && routeTexts) {
        const std::optional<std::string> &text = newest->record.value;
        earlier = text ? platform::EarlierReading {inForce.get(), *text, *routeTexts} : earlier;
    }
    platform::ConfigurationReading reading;
    PreparedConfiguration prepared;
    std::string failure;
    const auto work = [&](const Checkpoint &checkpoint) {
        reading = platform::readConfigurationText(std::move(*record.value), earlier, checkpoint);
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
    if (!prepared.configuration || !isNewer(reading.configuration->version, positioned.position())) {
        co_return false;
    }
    co_return putInForce(std::move(positioned), std::move(reading), std::move(prepared), cost, follows);
}

bool RecordIntake::isNewer(std::int64_t version, const StorePosition &position) const
{
    const std::optional<ConfigurationRank> known = newest_.configurationRank();
    return !known || ConfigurationRank {version, position} > *known;
}

bool RecordIntake::putInForce(
    PositionedRecord positioned, platform::ConfigurationReading reading, PreparedConfiguration prepared, const ConfigurationCost &cost, bool follows)
{
    std::shared_ptr<const PositionedRecord> &newest = newest_.configuration;
    const bool sameVersion = gateway_.configuration && reading.configuration->version == gateway_.configuration->version;
    // The record is passed on to other gateways, which need no keys to authenticate callers.
    positioned.record.value = std::move(reading.text);
    if (!sameVersion) {
        gateway_.applyConfiguration(std::move(prepared), cost, follows);
    } else if (newest && newest->record.value != positioned.record.value) {
        // An operator may write another text with the version that the store has lost. All gateways end with the one that was written last.
        gateway_.replaceConfiguration(std::move(prepared), cost);
    }
    newest = std::make_shared<const PositionedRecord>(std::move(positioned));
    newest_.configurationVersion = gateway_.configuration->version;
    routeTexts_ = std::make_shared<const std::vector<platform::EntryText>>(std::move(reading.routes));
    return true;
}

std::optional<EndpointRecord> RecordIntake::applyEndpoint(const platform::KeyedRecord &record, StoreEra era, Time now)
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
    const auto known = newest_.endpoints.find(record.key);
    if (known == newest_.endpoints.end() || known->second.position() < positioned.position()) {
        newest_.endpoints.insert_or_assign(record.key, positioned);
    }
    gateway_.registry.apply(id, positioned.position(), endpoint, now);
    return endpoint;
}

void RecordIntake::forgetEndpoints()
{
    newest_.endpoints.clear();
}

void RecordIntake::retainEndpoints(const std::set<EndpointId> &present, StorePosition end)
{
    std::erase_if(newest_.endpoints, [&](const auto &item) {
        return item.second.position() < end && !present.contains(EndpointId(item.first));
    });
}

} // namespace mimosatally::internal
