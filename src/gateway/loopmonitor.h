#pragma once

#include <mimosatally/Core>

#include <optional>

namespace mimosatally::internal
{

/// \brief Delay of the process's only thread between two checks.
struct LoopDelay {
    /// \brief Time beyond the interval.
    Duration delay = Duration(0);
    /// \brief Processor time of the process in between: close to the delay if it was busy, close to zero if it was not scheduled.
    Duration processorTime = Duration(0);
};

/// \brief Detects delays of the event loop, so that the log explains why the answers of all calls were late at once.
class LoopMonitor
{
public:
    explicit LoopMonitor(Duration interval);

    /// \brief Must be called once per interval. \return the delay if it is long enough to affect calls.
    [[nodiscard]] std::optional<LoopDelay> check(Time now, Duration processorTime);

private:
    Duration interval_;
    std::optional<Time> lastCheck_;
    Duration lastProcessorTime_ = Duration(0);
};

/// \brief Processor time of this process since its start.
[[nodiscard]] Duration processorTimeOfProcess();

} // namespace mimosatally::internal
