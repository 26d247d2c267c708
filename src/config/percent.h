#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mimosatally::internal
{

/// \brief Parses a percentage such as `12.5%` with at most four decimals exactly, in millionths.
/// \return std::nullopt if the text has another form or is above 100%.
std::optional<std::int64_t> parsePercent(std::string_view text);

/// \brief Formats millionths as a percentage without trailing zeros.
std::string formatPercent(std::int64_t millionths);

} // namespace mimosatally::internal
