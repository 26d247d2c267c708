#pragma once

#include "phaserouterimpl.h"

namespace mimosatally::internal
{

/// \brief Time of a plain call before one was measured.
constexpr double INITIAL_PLAIN_MS = 20;

[[nodiscard]] double roundTripMs(Distance distance);

[[nodiscard]] double toMs(Duration duration);

/// \brief 1 for a report that has just come, 0 for one as old as \a lifetime.
[[nodiscard]] double freshness(Time reportedAt, Time now, Duration lifetime);

/// \brief Moves an exponential mean by one sample.
void learn(double &mean, double sample);

/// \brief Hash of the prompt up to the end of each part.
[[nodiscard]] std::vector<std::uint64_t> prefixHashesOf(const std::vector<PromptPart> &parts);

/// \brief Mixes the bits of \a value; all processes compute the same.
[[nodiscard]] std::uint64_t mix(std::uint64_t value);

/// \brief Hash of an endpoint's id, the same in all processes.
[[nodiscard]] std::uint64_t hashOf(const EndpointId &endpoint);

} // namespace mimosatally::internal
