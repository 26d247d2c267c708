#pragma once

#include "servingconfiguration.h"

#include <mimosatally/core/checkpoint.h>

#include <memory>
#include <string_view>
#include <unordered_map>

namespace mimosatally
{

/// \brief Finds the route of a call; the time depends only on the depth of its path, not on the number of routes.
class RouteTable
{
public:
    RouteTable() = default;
    /// \param checkpoint is called after each route.
    explicit RouteTable(std::shared_ptr<const ServingConfiguration> configuration, const Checkpoint &checkpoint = noCheckpoint);

    /// \brief Returns the route of \a host with the longest prefix of \a path; null if no route matches. \param path without its query.
    [[nodiscard]] const Route *find(std::string_view host, std::string_view path) const;

private:
    struct TextHash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept
        {
            return std::hash<std::string_view>()(text);
        }
    };
    /// \brief The keys are texts of the configuration's routes.
    using Prefixes = std::unordered_map<std::string_view, const Route *>;

    std::shared_ptr<const ServingConfiguration> configuration_;
    std::unordered_map<std::string, Prefixes, TextHash, std::equal_to<>> hosts_;
};

} // namespace mimosatally
