#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace mimosatally::internal
{

/// \brief Parses a text of decimal digits only. \return std::nullopt if it has another form or is too large.
inline std::optional<std::int64_t> parseDigits(std::string_view text)
{
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || text.front() == '-' || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace mimosatally::internal
