#pragma once

#include "gatewaystate.h"
#include "peerreader.h"
#include "recordintake.h"

#include <mimosatally/Supervision>

#include <platform/storeclient.h>

namespace mimosatally::internal
{

/// \brief Keeps the configuration and the endpoints in step with the store.
class StoreFollower
{
public:
    StoreFollower(GatewayState &gateway, RecordIntake &intake, PeerReader &peers);

    /// \brief Follows the configuration until the task is stopped. Nothing that another gateway does holds up a read of the store.
    boost::asio::awaitable<void> followConfiguration(TaskContext &context);

    /// \brief Returns when the last read of the configuration that the store has answered ended; empty if there was none.
    [[nodiscard]] std::optional<Time> configurationReadAt() const;

    /// \brief Returns whether the task that follows the configuration waits for an answer of the store; otherwise it pauses.
    [[nodiscard]] bool isReadingConfiguration() const;

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
    /// \brief Records that the endpoints are known as of the time at which the current read was sent. \param complete see VersionHistory::recordRead().
    void recordEndpointsRead(bool complete);
    void recordSuccess(TopicCursor &cursor);
    void recordFailure(TopicCursor &cursor, const std::string &error);
    Duration backoffAfterFailure(const TopicCursor &cursor);
    Duration pauseAfterEndpoints(ReadResult result);
    Duration pauseBeforeSnapshot();

    GatewayState &gateway_;
    RecordIntake &intake_;
    PeerReader &peers_;
    platform::StoreClient store_;
    /// \brief Endpoints as the records that were read from the store have them; gateway_.registry may be ahead by what peers have told.
    RegistrationReplay replay_;
    /// \brief Position of the first endpoint record that was not read.
    StorePosition nextEndpoint_;
    std::optional<Time> configurationReadAt_;
    bool readingConfiguration_ = false;
    /// \brief Task that follows the endpoints; null before it has started.
    TaskContext *endpointReader_ = nullptr;
    /// \brief The last read of the endpoints failed.
    bool endpointsLost_ = false;
    /// \brief There was a sign that the network is back since the last read of the endpoints failed.
    bool networkReturned_ = false;
};

} // namespace mimosatally::internal
