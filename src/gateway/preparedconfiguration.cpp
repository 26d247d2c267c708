#include "preparedconfiguration.h"

namespace mimosatally::internal
{

PreparedConfiguration prepareConfiguration(std::shared_ptr<const ServingConfiguration> configuration, const Checkpoint &checkpoint)
{
    PreparedConfiguration prepared;
    prepared.routes = RouteTable(configuration, checkpoint);
    prepared.keys = KeyTable(configuration, checkpoint);
    checkpoint();
    prepared.urgencies = UrgencyTable(*configuration);
    checkpoint();
    prepared.configuration = std::move(configuration);
    return prepared;
}

} // namespace mimosatally::internal
