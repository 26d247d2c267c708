#pragma once

#include "gatewaystate.h"

#include <mimosatally/Supervision>

#include <platform/storeclient.h>

namespace mimosatally::internal
{

/// \brief Keeps configuration and endpoints as the store has them.
class StoreFollower
{
public:
    explicit StoreFollower(GatewayState &gateway);

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

    GatewayState &gateway_;
    platform::StoreClient store_;
};

} // namespace mimosatally::internal
