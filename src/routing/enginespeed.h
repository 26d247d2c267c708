#pragma once

#include <mimosatally/Core>

namespace mimosatally::internal
{

/// \brief Time that work takes at one endpoint compared with the times expected for its service.
///
/// Two figures with different owners and lifetimes: a speed that this process learns from its own attempts over minutes, and a momentary
/// factor that the endpoint reports and that holds for fractions of a second.
class EngineSpeed
{
public:
    /// \brief Bounds of the learned speed.
    static constexpr double MIN_SPEED = 0.1;
    static constexpr double MAX_SPEED = 10;
    /// \brief Bounds of the reported factor; a false report changes a prediction by no more than this.
    static constexpr double MIN_FACTOR = 0.25;
    static constexpr double MAX_FACTOR = 8;
    /// \brief Samples before the learned speed is used.
    static constexpr int MIN_SAMPLES = 8;
    /// \brief Age at which the last report has lost its weight to the mean of the last seconds.
    static constexpr Duration REPORT_LIFETIME = Duration(400);

    /// \brief Service time of one attempt and of the work that was known to be ahead of it. A slow engine is slow with its queue as well.
    struct Sample {
        /// \brief Time that the work takes on an engine of speed 1.
        double expectedMs = 0;
        /// \brief Time without the round trip, including the wait.
        double measuredMs = 0;
        /// \brief Time that the work known to be ahead takes on an engine of speed 1.
        double queueMs = 0;
        /// \brief Momentary factor during the attempt.
        double factor = 1;
    };

    /// \brief Updates the learned speed. \return false if the sample says more about the queue than about the endpoint and is ignored.
    bool record(const Sample &sample, Time now);

    /// \brief Returns the learned speed, which returns to 1 while there are no samples; 2 is twice as quick as expected.
    [[nodiscard]] double speed(Time now) const;

    /// \brief Returns whether enough samples were recorded for the learned speed to be used.
    [[nodiscard]] bool isMeasured() const;

    /// \brief Returns the factor by which the true speed may differ from the learned one, at least 1.
    [[nodiscard]] double uncertainty() const;

    /// \brief Records the relative time that the endpoint reports. Values that are not positive are ignored, others are bounded.
    void reportRelativeTime(double value, Time now);

    /// \brief Returns the time that work takes now relative to the usual one, from the reports; 1 without any.
    [[nodiscard]] double momentaryFactor(Time now) const;

    /// \brief Returns the time of the last report of a relative time; Time::min() if there is none.
    [[nodiscard]] Time reportedAt() const
    {
        return reportedAt_;
    }

    /// \brief Returns the time of the last sample; Time::min() if there is none.
    [[nodiscard]] Time measuredAt() const
    {
        return measuredAt_;
    }

private:
    [[nodiscard]] double logSpeed(Time now) const;
    [[nodiscard]] double meanFactor(Time now) const;

    int samples_ = 0;
    /// \brief Natural logarithm of the learned speed at `measuredAt_`.
    double logSpeed_ = 0;
    /// \brief Mean deviation of the samples from `logSpeed_`.
    double deviation_ = 0;
    Time measuredAt_ = Time::min();
    /// \brief Reported factor, averaged over some tens of milliseconds.
    double recentFactor_ = 1;
    double meanFactor_ = 1;
    Time reportedAt_ = Time::min();
};

} // namespace mimosatally::internal
