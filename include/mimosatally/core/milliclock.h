#pragma once

#include <chrono>
#include <ctime>

namespace mimosatally
{

/// \brief Monotonic clock of the process with a resolution of one millisecond.
///
/// It also advances while the machine is suspended: a lease or a report that expired meanwhile must not look fresh.
/// Modules that do no I/O never call now(); they receive the time as an argument.
struct MilliClock {
    using rep = std::chrono::milliseconds::rep;
    using period = std::chrono::milliseconds::period;
    using duration = std::chrono::milliseconds;
    using time_point = std::chrono::time_point<MilliClock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        timespec now = {};
        clock_gettime(CLOCK_BOOTTIME, &now);
        const auto sinceBoot = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
        return time_point(std::chrono::duration_cast<duration>(sinceBoot));
    }
};

/// \brief Point in time on the process's own monotonic clock.
using Time = MilliClock::time_point;
/// \brief Length of time in milliseconds.
using Duration = MilliClock::duration;

} // namespace mimosatally
