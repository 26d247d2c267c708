#pragma once

#include <mimosatally/Core>

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace mimosatally::internal
{

/// \brief Removes the older half of \a times at once, so that a bounded table that is full rarely has to be searched.
inline void forgetOlderHalf(std::unordered_map<std::uint64_t, Time> &times)
{
    std::vector<Time> sorted;
    sorted.reserve(times.size());
    for (const auto &[key, time] : times) {
        sorted.push_back(time);
    }
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    std::erase_if(times, [limit = *middle](const auto &item) {
        return item.second <= limit;
    });
}

} // namespace mimosatally::internal
