#pragma once

#include <mimosatally/Routing>

#include <string>

namespace mimosatally::internal
{

/// \brief Writes the learned speeds of each service for which predictions use them.
void logSpeeds(const PhaseRouter &router, Time now);

/// \brief Sets the gauges of the learned speeds of each service and phase.
void setSpeedMetrics(const PhaseRouter &router, Metrics &metrics);

/// \brief Returns the speed of an endpoint as `speed/age/factor/age`, with the ages in milliseconds; `-` if predictions do not use it.
[[nodiscard]] std::string speedText(const PhaseRouter &router, const EndpointId &endpoint, Time now);

} // namespace mimosatally::internal
