#pragma once

#include "servingconfiguration.h"

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
    explicit RouteTable(std::shared_ptr<const ServingConfiguration> configuration);

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
    using Prefixes = std::unordered_map<std::string, const Route *, TextHash, std::equal_to<>>;

    std::shared_ptr<const ServingConfiguration> configuration_;
    std::unordered_map<std::string, Prefixes, TextHash, std::equal_to<>> hosts_;
};

} // namespace mimosatally
