#pragma once

#include "core/piecework.h"
#include "urgency.h"

#include <mimosatally/Serving>

#include <memory>

namespace mimosatally::internal
{

/// \brief A configuration with the tables that calls are served from, so that it is put in force by exchanging pointers.
struct PreparedConfiguration {
    std::shared_ptr<const ServingConfiguration> configuration;
    RouteTable routes;
    KeyTable keys;
    UrgencyTable urgencies;
};

/// \brief Builds the tables of \a configuration; the time between two calls of \a checkpoint is that of one route, or of sorting the keys.
[[nodiscard]] PreparedConfiguration prepareConfiguration(std::shared_ptr<const ServingConfiguration> configuration,
                                                         const Checkpoint &checkpoint = noCheckpoint);

/// \brief What it took to read and prepare a configuration, for the log.
struct ConfigurationCost {
    std::size_t textBytes = 0;
    std::size_t decodedRoutes = 0;
    PieceTimes times;
};

} // namespace mimosatally::internal
