#pragma once

#include "gatewaystate.h"

#include "mimosatally.capnp.h"

#include <mimosatally/Rpc>

#include <platform/storeclient.h>

namespace mimosatally::internal
{

/// \brief Record of the store with the era in which it has its offset.
struct PositionedRecord {
    StoreEra era;
    platform::KeyedRecord record;

    [[nodiscard]] StorePosition position() const
    {
        return {era, record.offset};
    }
};

/// \brief Newest store records that one gateway has read. Other gateways fetch them while they cannot read the store, at their start, and after a restore.
struct NewestRecords {
    std::optional<PositionedRecord> configuration;
    std::map<std::string, PositionedRecord> endpoints;
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

/// \brief Fetches the records of another gateway. \param endpointsFrom position of the first endpoint record that is not known; older ones are left out.
/// \throws UnreachableError \throws Error
boost::asio::awaitable<NewestRecords> fetchPeerRecords(RpcContext &rpc, std::string address, StorePosition endpointsFrom);

} // namespace mimosatally::internal
