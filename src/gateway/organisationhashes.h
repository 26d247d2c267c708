#pragma once

#include "usagedatagram.h"

#include <mimosatally/Serving>

#include <unordered_map>

namespace mimosatally::internal
{

/// \brief Names of the organisations of the configurations that were in force, by their hashes in datagrams. Performs no I/O.
class OrganisationHashes
{
public:
    /// \brief Bounds the memory. Beyond it only organisations of the configuration in force are known, and the first ones of these.
    static constexpr std::size_t MAX_NAMES = 16'384;

    void learn(const ServingConfiguration &configuration)
    {
        if (!configuration.organisations) {
            return;
        }
        if (names_.size() + configuration.organisations->size() > MAX_NAMES) {
            names_.clear();
        }
        for (const Organisation &organisation : *configuration.organisations) {
            if (names_.size() == MAX_NAMES) {
                return;
            }
            names_.emplace(hashOf(organisation.id), organisation.id);
        }
    }

    /// \brief Returns null if no configuration had the organisation.
    [[nodiscard]] const OrganisationId *find(std::uint64_t hash) const
    {
        const auto found = names_.find(hash);
        return found == names_.end() ? nullptr : &found->second;
    }

private:
    std::unordered_map<std::uint64_t, OrganisationId> names_;
};

} // namespace mimosatally::internal
