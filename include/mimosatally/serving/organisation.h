#pragma once

#include <mimosatally/Core>

#include <array>
#include <optional>
#include <vector>

namespace mimosatally
{

/// \brief SHA-256 digest of a key.
using KeyDigest = std::array<unsigned char, 32>;

/// \brief Organisation as it is configured.
struct Organisation {
    OrganisationId id;
    /// \brief Goes before the priority of a call's route; 0 is the highest. Empty if the priority of the route alone decides.
    std::optional<int> priority;
    /// \brief Digests of its keys; the keys themselves are not kept.
    std::vector<KeyDigest> keys;

    bool operator==(const Organisation &) const = default;
};

/// \brief Organisation of one call, as far as it decides about the call.
struct CallerOrganisation {
    /// \brief Empty if the configuration has no organisations, or if the route is public and the call has no valid key.
    OrganisationId id;
    std::optional<int> priority;
};

} // namespace mimosatally
