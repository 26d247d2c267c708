#pragma once

#include "servingconfiguration.h"

#include <string>
#include <vector>

namespace mimosatally
{

enum class FindingSeverity {
    /// \brief Gateways would reject the configuration, or calls would fail.
    Error,
    /// \brief An entry has no effect, or contradicts another one.
    Warning,
};

/// \brief One problem of a serving configuration.
struct ConfigurationFinding {
    FindingSeverity severity = FindingSeverity::Error;
    /// \brief JSON pointer of the entry, for example `/routes/3`; empty for the whole text.
    std::string place;
    std::string message;

    bool operator==(const ConfigurationFinding &) const = default;
};

/// \brief Returns the entries that are wrong, can never match or have no effect, and the limits that contradict each other. Performs no I/O; the time grows
/// linearly with the number of entries.
[[nodiscard]] std::vector<ConfigurationFinding> checkServingConfiguration(const ServingConfiguration &configuration);

} // namespace mimosatally
