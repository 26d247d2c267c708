#pragma once

#include <mimosatally/Core>

#include <optional>

namespace mimosatally::internal
{

/// \brief Delay of the process's one thread between two checks.
struct LoopDelay {
    /// \brief Time beyond the interval.
    Duration delay = Duration(0);
    /// \brief Processor time of the process meanwhile: close to the delay if it was busy, close to zero if it was kept from running.
    Duration processorTime = Duration(0);
};

/// \brief Notices that the event loop was held up, so that late answers of all calls at once can be explained afterwards.
class LoopWatch
{
public:
    explicit LoopWatch(Duration interval);

    /// \brief To be called at each interval. \return the delay if it is long enough to matter to a call.
    [[nodiscard]] std::optional<LoopDelay> check(Time now, Duration processorTime);

private:
    Duration interval_;
    std::optional<Time> lastCheck_;
    Duration lastProcessorTime_ = Duration(0);
};

/// \brief Processor time of this process since its start.
[[nodiscard]] Duration processorTimeOfProcess();

} // namespace mimosatally::internal
