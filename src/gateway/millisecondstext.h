#pragma once

#include <string>

namespace mimosatally::internal
{

/// \brief Returns \a milliseconds without their fraction, for the log.
inline std::string truncatedMs(double milliseconds)
{
    return std::to_string(static_cast<long>(milliseconds));
}

} // namespace mimosatally::internal
