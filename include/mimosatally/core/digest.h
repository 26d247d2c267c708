#pragma once

#include <string>
#include <string_view>

namespace mimosatally
{

/// \brief SHA-256 of \a data as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);

/// \brief Compares two strings in time that depends on their length only.
bool equalInConstantTime(std::string_view left, std::string_view right);

} // namespace mimosatally
