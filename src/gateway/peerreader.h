#pragma once

#include "recordintake.h"

#include <mimosatally/Membership>

namespace mimosatally::internal
{

/// \brief Reads the store's records from other gateways, beside the reads of the store: at the start, while the store does not answer, and after a restore.
///
/// No call waits for a peer. Each peer has one open question at most, which ends within 0.5 s for the connection, 0.8 s for the endpoints and 6.5 s for a
/// large configuration.
class PeerReader
{
public:
    PeerReader(GatewayState &gateway, RpcContext &rpc, RecordIntake &intake);

    /// \brief Asks the next peer in turn for a newer configuration and for the endpoint records from \a endpointsFrom on.
    /// \return false if there is none, or all are being asked.
    bool ask(StorePosition endpointsFrom);

    /// \brief Lets each peer be asked once by askAfterSuccess(): the store may lack a version that they have in force.
    void askEach();

    /// \brief Asks the next peer for a newer configuration if one is still to be asked.
    void askAfterSuccess();

private:
    boost::asio::awaitable<void> fetch(std::string peer, StorePosition endpointsFrom);
    boost::asio::awaitable<void> fetchRecords(std::string peer, StorePosition endpointsFrom);
    /// \brief Fetches the endpoints of a peer, which are more urgent than a configuration, and applies them.
    /// \return a configuration that came with them: a peer of an earlier version always sends it.
    boost::asio::awaitable<std::shared_ptr<const PositionedRecord>> fetchEndpoints(std::string peer, StorePosition from);
    /// \brief Fetches a configuration of a peer that is newer than the known one, if the peer has one.
    boost::asio::awaitable<std::shared_ptr<const PositionedRecord>> fetchConfiguration(std::string peer);

    GatewayState &gateway_;
    RpcContext &rpc_;
    RecordIntake &intake_;
    PeerQuestions questions_;
};

} // namespace mimosatally::internal
