#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

namespace mimosatally::internal
{

/// \brief Returns value * numerator / denominator without intermediate overflow; saturates. A denominator below 1 counts as 1.
inline std::int64_t multiplyDivide(std::int64_t value, std::int64_t numerator, std::int64_t denominator)
{
    __extension__ using Wide = __int128;
    const Wide result = static_cast<Wide>(value) * numerator / std::max<std::int64_t>(denominator, 1);
    const Wide limit = std::numeric_limits<std::int64_t>::max();
    return static_cast<std::int64_t>(std::clamp(result, -limit, limit));
}

} // namespace mimosatally::internal
