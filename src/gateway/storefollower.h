#pragma once

#include "gatewaystate.h"
#include "peerexchange.h"

#include <mimosatally/Supervision>

#include <platform/configurationreader.h>
#include <platform/storeclient.h>

namespace mimosatally::internal
{

/// \brief Keeps the configuration and the endpoints in step with the store.
class StoreFollower
{
public:
    StoreFollower(GatewayState &gateway, RpcContext &rpc);

    /// \brief Newest records read so far, which are served to other gateways.
    [[nodiscard]] const NewestRecords &newestRecords() const;

    /// \brief Follows the configuration until the task is stopped.
    boost::asio::awaitable<void> followConfiguration(TaskContext &context);

    /// \brief Follows the endpoints' heartbeats until the task is stopped.
    boost::asio::awaitable<void> followEndpoints(TaskContext &context);

    /// \brief Records a sign that the network is back. If the last read of the endpoints failed, the next one follows at once.
    void recordNetworkReturn();

    /// \brief Ends the pause of the task that follows the endpoints.
    void wakeEndpointReader();

private:
    /// \brief Progress of reading one topic.
    struct TopicCursor {
        const char *topic;
        /// \brief Position of the next record; empty if a snapshot has to be read first.
        std::optional<StorePosition> next = std::nullopt;
        /// \brief The snapshot is read because the store has returned from an older copy.
        bool restored = false;
        /// \brief Set from the first failure until the store answers again.
        bool lost = false;
        /// \brief Consecutive failures.
        int failures = 0;
        /// \brief What the last read tells of a time without the store that it ended, for the log.
        std::optional<StoreAbsence> absence = std::nullopt;
    };

    /// \brief What one read of a topic has brought.
    enum class ReadResult {
        UpToDate,
        /// \brief The topic has further records.
        MoreRecords,
        /// \brief The reading position is not valid any more; a snapshot has to be read next.
        SnapshotNeeded,
    };

    boost::asio::awaitable<ReadResult> readConfiguration(TopicCursor &cursor);
    boost::asio::awaitable<ReadResult> readEndpoints(TopicCursor &cursor);
    boost::asio::awaitable<void> readConfigurationSnapshot(TopicCursor &cursor);
    boost::asio::awaitable<void> readEndpointSnapshot(TopicCursor &cursor);
    /// \brief Records the era of an answer and returns whether its records belong to the position of \a cursor.
    /// Otherwise the position is dropped, or, for a late answer of an older era, kept.
    bool acceptAnswer(TopicCursor &cursor, std::optional<StoreEra> era, Time now);
    /// \brief Drops a reading position of an older era.
    void dropOutdatedPosition(TopicCursor &cursor) const;
    /// \brief Forgets the positions of records if the store has gone back without stating a newer era.
    void checkSnapshotEnd(StorePosition end);
    void logReadAgain(TopicCursor &cursor, std::size_t records, std::size_t changed, std::size_t missing);
    /// \brief Puts the readable configuration of \a records with the highest version in force; those before it are not decoded.
    boost::asio::awaitable<void> applyConfigurationRecords(std::vector<platform::KeyedRecord> records, StoreEra era);
    /// \brief Sorts the records by their versions and, within one version, by their offsets.
    boost::asio::awaitable<void> sortByVersion(std::vector<platform::KeyedRecord> &records);
    /// \brief Reads a record and puts it in force if it is newer. \return whether it is in force now.
    boost::asio::awaitable<bool> applyConfigurationRecord(PositionedRecord positioned);
    /// \return whether the configuration that was read is in force now.
    bool putInForce(PositionedRecord positioned, platform::ConfigurationReading reading, PreparedConfiguration prepared, const ConfigurationCost &cost);
    /// \brief Returns whether a record of this version and position goes before the configuration in force.
    [[nodiscard]] bool isNewer(std::int64_t version, const StorePosition &position) const;
    [[nodiscard]] platform::EarlierReading earlierReading() const;
    void applyEndpointRecord(const platform::KeyedRecord &record, StoreEra era, Time now);
    /// \brief Records that the endpoints are known as of the time at which the current read was sent. \param complete see VersionHistory::recordRead().
    void recordEndpointsRead(bool complete);
    void recordSuccess(TopicCursor &cursor);
    void recordFailure(TopicCursor &cursor, const std::string &error);
    Duration backoffAfterFailure(const TopicCursor &cursor);
    Duration pauseAfterEndpoints(ReadResult result);
    Duration pauseBeforeSnapshot();

    /// \brief Fetches the records from the next peer. \param endpointsFrom position of the first endpoint record that is wanted.
    boost::asio::awaitable<void> fetchFromNextPeer(StorePosition endpointsFrom);
    /// \brief Fetches the endpoints of a peer, which are more urgent than a configuration, and applies them.
    /// \return a configuration that came with them: a peer of an earlier version always sends it.
    boost::asio::awaitable<std::optional<PositionedRecord>> fetchEndpoints(std::string peer, StorePosition from);
    /// \brief Fetches a configuration of a peer that is newer than the known one, if the peer has one.
    boost::asio::awaitable<std::optional<PositionedRecord>> fetchConfiguration(std::string peer);

    GatewayState &gateway_;
    RpcContext &rpc_;
    platform::StoreClient store_;
    NewestRecords newestRecords_;
    /// \brief Places of the routes in the text of the newest configuration.
    std::vector<platform::EntryText> routeTexts_;
    /// \brief Position of the first endpoint record that was not read.
    StorePosition nextEndpoint_;
    /// \brief Task that follows the endpoints; null before it has started.
    TaskContext *endpointReader_ = nullptr;
    /// \brief The last read of the endpoints failed.
    bool endpointsLost_ = false;
    /// \brief There was a sign that the network is back since the last read of the endpoints failed.
    bool networkReturned_ = false;
    std::size_t nextPeer_ = 0;
    /// \brief Peers that are still to be asked for a newer configuration than the store has.
    std::size_t peersToAsk_ = 0;
};

} // namespace mimosatally::internal
