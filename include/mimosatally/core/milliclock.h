#pragma once

#include <chrono>

namespace mimosatally
{

/// \brief Monotonic clock of the process with a resolution of one millisecond.
///
/// The cores never call now(); they receive the time as an argument.
struct MilliClock {
    using rep = std::chrono::milliseconds::rep;
    using period = std::chrono::milliseconds::period;
    using duration = std::chrono::milliseconds;
    using time_point = std::chrono::time_point<MilliClock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        return time_point(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
    }
};

/// \brief Point in time on the process's own monotonic clock.
using Time = MilliClock::time_point;
/// \brief Length of time in milliseconds.
using Duration = MilliClock::duration;

} // namespace mimosatally
