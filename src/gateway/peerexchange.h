#pragma once

#include "gatewaystate.h"

#include "mimosatally.capnp.h"

#include <mimosatally/Rpc>

#include <platform/storeclient.h>

namespace mimosatally::internal
{

/// \brief Newest store records that one gateway has read. Other gateways fetch them while they cannot read the store.
struct NewestRecords {
    std::optional<platform::KeyedRecord> configuration;
    std::map<std::string, platform::KeyedRecord> endpoints;
};

/// \brief Serves this gateway's records to other gateways.
class PeerService final : public schema::Gateway::Server
{
public:
    explicit PeerService(const NewestRecords &records);

protected:
    kj::Promise<void> newestRecords(NewestRecordsContext context) override;

private:
    const NewestRecords &records_;
};

/// \brief Fetches the records of another gateway. \param endpointsFrom offset of the first endpoint record that is not known.
/// \throws UnreachableError \throws Error
boost::asio::awaitable<NewestRecords> fetchPeerRecords(RpcContext &rpc, std::string address, Offset endpointsFrom);

} // namespace mimosatally::internal
