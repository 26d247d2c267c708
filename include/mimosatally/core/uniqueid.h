#pragma once

#include <string>

namespace mimosatally
{

/// \brief 128 random bits from the system's generator as 32 hexadecimal digits. \throws Error if it fails.
std::string newUniqueId();

} // namespace mimosatally
