#pragma once

#include "servingconfiguration.h"

#include <string>
#include <variant>
#include <vector>

namespace mimosatally
{

/// \brief One entry of a list before and after a change; empty where it does not exist.
template<class Entry>
struct EntryChange {
    std::optional<Entry> before;
    std::optional<Entry> after;

    bool operator==(const EntryChange &) const = default;
};

using RouteChange = EntryChange<Route>;
using ServiceChange = EntryChange<ServiceProfile>;
using OrganisationChange = EntryChange<Organisation>;

/// \brief Callers have to authenticate from now on, or no longer.
struct AuthenticationChange {
    bool required = false;

    bool operator==(const AuthenticationChange &) const = default;
};

struct LimitsChange {
    CallerLimits after;

    bool operator==(const LimitsChange &) const = default;
};

/// \brief One difference between two configurations.
using ConfigurationChange = std::variant<AuthenticationChange, RouteChange, ServiceChange, OrganisationChange, LimitsChange>;

/// \brief Returns the differences from \a before to \a after. Routes, services and organisations are told apart by their names; of several entries with one
/// name the last counts.
[[nodiscard]] std::vector<ConfigurationChange> difference(const ServingConfiguration &before, const ServingConfiguration &after);

/// \brief Returns \a configuration after \a changes. Entries that are added come last.
[[nodiscard]] ServingConfiguration applyChanges(ServingConfiguration configuration, const std::vector<ConfigurationChange> &changes);

/// \brief Describes a change in one line, with what it means for callers.
[[nodiscard]] std::string describe(const ConfigurationChange &change);

} // namespace mimosatally
