#pragma once

#include <mimosatally/Serving>

#include <optional>
#include <string>

namespace mimosatally::internal
{

/// \brief Returns \a milliseconds without their fraction, for the log.
inline std::string truncatedMs(double milliseconds)
{
    return std::to_string(static_cast<long>(milliseconds));
}

/// \brief Returns \a version; `-` if there is none or it is not known.
inline SoftwareVersion versionText(const std::optional<SoftwareVersion> &version)
{
    return version && !version->empty() ? *version : SoftwareVersion("-");
}

/// \brief Returns the beginning of an event's id, which callers and endpoints choose; `-` if there is none.
inline std::string eventIdText(const std::string &id)
{
    constexpr std::size_t maxBytes = 64;
    return id.empty() ? "-" : id.substr(0, maxBytes);
}

} // namespace mimosatally::internal
