#pragma once

#include "gatewaystate.h"

#include "mimosatally.capnp.h"

#include <mimosatally/Rpc>

#include <platform/storeclient.h>

namespace mimosatally::internal
{

/// \brief Newest records of the store as one gateway has read them; other gateways get them while the store refuses them.
struct NewestRecords {
    std::optional<platform::KeyedRecord> configuration;
    std::map<std::string, platform::KeyedRecord> endpoints;
};

/// \brief Answers other gateways from this gateway's records.
class PeerService final : public schema::Gateway::Server
{
public:
    explicit PeerService(const NewestRecords &records);

protected:
    kj::Promise<void> newestRecords(NewestRecordsContext context) override;

private:
    const NewestRecords &records_;
};

/// \brief Asks one gateway for its records. \param endpointsFrom offset of the first record that is not known.
/// \throws UnreachableError \throws Error
boost::asio::awaitable<NewestRecords> askPeer(RpcContext &rpc, std::string address, Offset endpointsFrom);

} // namespace mimosatally::internal
