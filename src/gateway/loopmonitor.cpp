#include "loopmonitor.h"

#include <ctime>

namespace mimosatally::internal
{

namespace
{
/// \brief Equal to the period of the CPU quota: a process that has used up its quota is scheduled again in the next period.
constexpr Duration MIN_REPORTED_DELAY = Duration(100);
} // namespace

LoopMonitor::LoopMonitor(Duration interval)
    : interval_(interval)
{
}

std::optional<LoopDelay> LoopMonitor::check(Time now, Duration processorTime)
{
    std::optional<LoopDelay> result;
    if (lastCheck_ && now - *lastCheck_ >= interval_ + MIN_REPORTED_DELAY) {
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
