#pragma once

#include "gatewaystate.h"
#include "peerexchange.h"

#include <mimosatally/Supervision>

#include <platform/storeclient.h>

namespace mimosatally::internal
{

/// \brief Keeps configuration and endpoints as the store has them.
class StoreFollower
{
public:
    StoreFollower(GatewayState &gateway, RpcContext &rpc);

    /// \brief What was read so far, for other gateways.
    [[nodiscard]] const NewestRecords &newest() const;

    /// \brief Follows the configuration until the task is stopped.
    boost::asio::awaitable<void> followConfiguration(TaskContext &context);

    /// \brief Follows the endpoints' heartbeats until the task is stopped.
    boost::asio::awaitable<void> followEndpoints(TaskContext &context);

private:
    /// \brief Progress in one topic; nothing means that a snapshot is to be read.
    struct Position {
        std::optional<Offset> next;
        bool lost = false;
        int failures = 0;
    };

    boost::asio::awaitable<void> advanceConfiguration(Position &position);
    boost::asio::awaitable<void> advanceEndpoints(Position &position);
    void applyConfigurationRecord(const platform::KeyedRecord &record);
    void applyEndpointRecord(const platform::KeyedRecord &record, Time now);
    void noteAnswer(Position &position, const char *topic);
    void noteFailure(Position &position, const char *topic, const std::string &error);
    Duration pauseAfterFailure(const Position &position);

    /// \brief Asks another gateway for what this one cannot read from the store.
    boost::asio::awaitable<void> askPeers();

    GatewayState &gateway_;
    RpcContext &rpc_;
    platform::StoreClient store_;
    NewestRecords newest_;
    /// \brief First offset of the endpoints' records that was not read.
    Offset endpointsNext_;
    std::size_t nextPeer_ = 0;
};

} // namespace mimosatally::internal
