#pragma once

#include <mimosatally/Core>

#include <cstdint>
#include <map>

namespace mimosatally
{

/// \brief Requests of each organisation that began to run in one window.
using UsageCounts = std::map<OrganisationId, std::int64_t>;

/// \brief Usage of one window as it is reported to the platform. Once written down it never changes.
struct UsageReport {
    UsageWindow window;
    UsageCounts counts;

    bool operator==(const UsageReport &) const = default;
};

/// \brief Returns the window of a point in true time. \param unixMs milliseconds since the start of 1970. \param length length of a window.
[[nodiscard]] UsageWindow usageWindowAt(std::int64_t unixMs, Duration length);

} // namespace mimosatally
