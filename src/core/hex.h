#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace mimosatally::internal
{

/// \brief Lower-case hexadecimal digits of \a data.
std::string toHex(std::span<const unsigned char> data);

/// \brief Bytes of a hexadecimal string, or empty if it is not one.
std::optional<std::string> fromHex(std::string_view text);

} // namespace mimosatally::internal
