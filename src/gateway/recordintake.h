#pragma once

#include "peerexchange.h"

#include <platform/configurationreader.h>
#include <set>

namespace mimosatally::internal
{

/// \brief Takes over records of the store, whether they were read from it or from another gateway.
///
/// Calls may overlap. A configuration is compared with the one in force once it has been read, so that an answer that ends late replaces no newer one.
class RecordIntake
{
public:
    explicit RecordIntake(GatewayState &gateway);

    /// \brief Newest records so far, which are served to other gateways.
    [[nodiscard]] const NewestRecords &newest() const;

    /// \brief Puts the readable configuration of \a records with the highest version in force; those before it are not decoded.
    /// \param follows the records are all that were written after the last ones.
    boost::asio::awaitable<void> applyConfigurations(std::vector<platform::KeyedRecord> records, StoreEra era, bool follows);

    /// \brief Puts the configuration of another gateway in force if it is newer than the one in force.
    boost::asio::awaitable<void> applyPeerConfiguration(std::shared_ptr<const PositionedRecord> record);

    /// \brief Records the newest state of an endpoint. A record that cannot be read removes it, with a log line.
    /// \return what the record says; empty if it removes the endpoint.
    std::optional<EndpointRecord> applyEndpoint(const platform::KeyedRecord &record, StoreEra era, Time now);

    /// \brief Forgets the endpoints' records, after the store has gone back without stating a newer era.
    void forgetEndpoints();

    /// \brief Forgets the records before \a end of all endpoints but \a present, which the store has not any more.
    void retainEndpoints(const std::set<EndpointId> &present, StorePosition end);

private:
    /// \brief Reads a record and puts it in force if it is newer. \return whether it is in force now.
    boost::asio::awaitable<bool> applyConfiguration(PositionedRecord positioned, bool follows);
    /// \brief Sorts the records by their versions and, within one version, by their offsets.
    boost::asio::awaitable<void> sortByVersion(std::vector<platform::KeyedRecord> &records);
    /// \return whether the configuration that was read is in force now.
    bool putInForce(
        PositionedRecord positioned, platform::ConfigurationReading reading, PreparedConfiguration prepared, const ConfigurationCost &cost, bool follows);
    /// \brief Returns whether a record of this version and position goes before the configuration in force.
    [[nodiscard]] bool isNewer(std::int64_t version, const StorePosition &position) const;

    GatewayState &gateway_;
    NewestRecords newest_;
    /// \brief Places of the routes in the text of the newest configuration; null before the first one.
    std::shared_ptr<const std::vector<platform::EntryText>> routeTexts_;
};

} // namespace mimosatally::internal
