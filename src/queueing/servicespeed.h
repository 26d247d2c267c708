#pragma once

#include <mimosatally/queueing/scheduler.h>

namespace mimosatally::internal
{

/// \brief Converts requests into engine time, and corrects the nominal speed by what was seen while the endpoint was full.
class ServiceSpeed
{
public:
    explicit ServiceSpeed(EndpointCapacity capacity)
        : capacity_(capacity)
    {
    }

    /// \brief Engine time of \a usage at nominal speed, in microseconds.
    [[nodiscard]] std::int64_t nominalMicros(TokenUsage usage) const;

    /// \brief Notes that the last free slot was taken.
    void becameFull(Time now);

    /// \brief Notes that a request of \a nominalMicros ended while the endpoint was full.
    void completedWhileFull(std::int64_t nominalMicros, Time now);

    /// \brief Expected duration of work of \a nominalMicros at the speed seen so far.
    [[nodiscard]] Duration expected(std::int64_t nominalMicros) const;

private:
    /// \brief Weight of the nominal speed at the start, so that the first answers do not decide alone.
    static constexpr std::int64_t INITIAL_MICROS = 2'000'000;
    /// \brief Older observations count half after this much work.
    static constexpr std::int64_t WINDOW_MICROS = 20'000'000;

    EndpointCapacity capacity_;
    Time fullSince_ {};
    std::int64_t nominalSum_ = INITIAL_MICROS;
    std::int64_t elapsedSum_ = INITIAL_MICROS;
};

} // namespace mimosatally::internal
