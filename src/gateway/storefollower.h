#pragma once

#include "gatewaystate.h"
#include "peerexchange.h"

#include <mimosatally/Supervision>

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

private:
    /// \brief Progress of reading one topic.
    struct TopicCursor {
        /// \brief Offset of the next record; empty if a snapshot has to be read first.
        std::optional<Offset> next;
        /// \brief Set from the first failure until the store answers again.
        bool lost = false;
        /// \brief Consecutive failures.
        int failures = 0;
    };

    boost::asio::awaitable<void> readConfiguration(TopicCursor &cursor);
    boost::asio::awaitable<void> readEndpoints(TopicCursor &cursor);
    void applyConfigurationRecord(const platform::KeyedRecord &record);
    void applyEndpointRecord(const platform::KeyedRecord &record, Time now);
    void recordSuccess(TopicCursor &cursor, const char *topic);
    void recordFailure(TopicCursor &cursor, const char *topic, const std::string &error);
    Duration backoffAfterFailure(const TopicCursor &cursor);

    /// \brief Fetches the records from the next peer; called after a failure of the store.
    boost::asio::awaitable<void> fetchFromNextPeer();

    GatewayState &gateway_;
    RpcContext &rpc_;
    platform::StoreClient store_;
    NewestRecords newestRecords_;
    /// \brief Offset of the first endpoint record that was not read.
    Offset nextEndpointOffset_;
    std::size_t nextPeer_ = 0;
};

} // namespace mimosatally::internal
