#pragma once

#include <mimosatally/queueing/scheduler.h>

namespace mimosatally::internal
{

/// \brief Converts requests into engine time and corrects the nominal speed by the speed measured while all slots were taken.
class ServiceSpeed
{
public:
    explicit ServiceSpeed(EndpointCapacity capacity)
        : capacity_(capacity)
    {
    }

    /// \brief Engine time of \a usage at nominal speed, in microseconds.
    [[nodiscard]] std::int64_t nominalMicros(TokenUsage usage) const;

    /// \brief Records that the last free slot was taken.
    void recordFull(Time now);

    /// \brief Records that a request of \a nominalMicros completed while all slots were taken.
    void recordCompletion(std::int64_t nominalMicros, Time now);

    /// \brief Expected duration of work of \a nominalMicros at the measured speed.
    [[nodiscard]] Duration expectedDuration(std::int64_t nominalMicros) const;

private:
    /// \brief Initial value of both sums, so that the first answers do not decide alone.
    static constexpr std::int64_t INITIAL_MICROS = 2'000'000;
    /// \brief Both sums are halved after this much work, so that recent observations weigh more.
    static constexpr std::int64_t WINDOW_MICROS = 20'000'000;

    EndpointCapacity capacity_;
    Time fullSince_ {};
    std::int64_t nominalSum_ = INITIAL_MICROS;
    std::int64_t elapsedSum_ = INITIAL_MICROS;
};

} // namespace mimosatally::internal
