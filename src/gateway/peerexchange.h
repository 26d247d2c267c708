#pragma once

#include "gatewaystate.h"

#include "mimosatally.capnp.h"

#include <mimosatally/Rpc>

#include <memory>
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

/// \brief Order of configurations: a higher version is newer, and of the same version the later record of the store.
struct ConfigurationRank {
    std::int64_t version = 0;
    StorePosition position;

    auto operator<=>(const ConfigurationRank &) const = default;
};

/// \brief Newest store records that one gateway has read. Other gateways fetch them while they cannot read the store, at their start, and after a restore.
struct NewestRecords {
    /// \brief Null if none is known. It does not change, so that what reads it may go on while another one is put in force.
    std::shared_ptr<const PositionedRecord> configuration;
    std::int64_t configurationVersion = 0;
    std::map<std::string, PositionedRecord> endpoints;

    /// \brief Returns the rank of the configuration, if there is one.
    [[nodiscard]] std::optional<ConfigurationRank> configurationRank() const;
};

/// \brief Records that a gateway wants of another one. By default, those are all.
struct PeerQuery {
    /// \brief Position of the first endpoint record that is not known; older ones are left out.
    StorePosition endpointsFrom;
    bool wantsConfiguration = true;
    /// \brief Configuration that is known; the peer leaves its own out if that is not newer, unless the peer has an earlier version of the program.
    std::optional<ConfigurationRank> knownConfiguration;
    /// \brief Longest time to the end of the answer.
    Duration timeout = Duration(800);
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

/// \brief Fetches records of another gateway; the version of the configuration is not filled in. \throws UnreachableError \throws Error
boost::asio::awaitable<NewestRecords> fetchPeerRecords(RpcContext &rpc, std::string address, PeerQuery query);

} // namespace mimosatally::internal
