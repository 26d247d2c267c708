#include "loopwatch.h"

#include <ctime>

namespace mimosatally::internal
{

namespace
{
/// \brief A tenth of a second: the period after which a used up share of a core is available again.
constexpr Duration LEAST_DELAY = Duration(100);
} // namespace

LoopWatch::LoopWatch(Duration interval)
    : interval_(interval)
{
}

std::optional<LoopDelay> LoopWatch::check(Time now, Duration processorTime)
{
    std::optional<LoopDelay> result;
    if (lastCheck_ && now - *lastCheck_ >= interval_ + LEAST_DELAY) {
        result = LoopDelay {now - *lastCheck_ - interval_, processorTime - lastProcessorTime_};
    }
    lastCheck_ = now;
    lastProcessorTime_ = processorTime;
    return result;
}

Duration processorTimeOfProcess()
{
    constexpr std::clock_t millisecondsPerSecond = 1000;
    return Duration(std::clock() / (CLOCKS_PER_SEC / millisecondsPerSecond));
}

} // namespace mimosatally::internal
