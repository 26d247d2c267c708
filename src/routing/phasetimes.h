#pragma once

#include "phaserouterimpl.h"

namespace mimosatally::internal
{

/// \brief Assumed time of a plain call before the first measurement.
constexpr double INITIAL_PLAIN_CALL_MS = 20;

[[nodiscard]] double roundTripMs(Distance distance);

[[nodiscard]] double toMs(Duration duration);

/// \brief Weight of a report by its age: 1 for a new one, falling linearly to 0 at \a lifetime.
[[nodiscard]] double freshness(Time reportedAt, Time now, Duration lifetime);

/// \brief Adds one sample to an exponential moving average.
void updateMean(double &mean, double sample);

/// \brief Returns, for each part, the hash of the prompt up to the end of that part.
[[nodiscard]] std::vector<std::uint64_t> prefixHashesOf(const std::vector<PromptPart> &parts);

/// \brief Mixes the bits of \a value (64-bit finalizer of MurmurHash3); the result is the same in all processes.
[[nodiscard]] std::uint64_t mix(std::uint64_t value);

/// \brief Returns the hash of an endpoint's id, which is the same in all processes.
[[nodiscard]] std::uint64_t hashOf(const EndpointId &endpoint);

} // namespace mimosatally::internal
