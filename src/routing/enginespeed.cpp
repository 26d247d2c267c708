#include "enginespeed.h"

#include <algorithm>
#include <cmath>

namespace mimosatally::internal
{

namespace
{
/// \brief Weight of a sample once the speed is known; the first samples have larger ones.
constexpr double MIN_SAMPLE_WEIGHT = 0.06;
constexpr double FIRST_SAMPLE_DIVISOR = 3;
/// \brief Largest deviation, as a logarithm, that one sample contributes: a single outlier of any size moves the speed by 4 percent.
constexpr double MAX_DEVIATION = 0.7;
/// \brief Share of the attempt's own work below which a sample is ignored: it would say more about the prediction of the queue than about the engine.
constexpr double MIN_OWN_SHARE = 0.1;
/// \brief Time without samples after which a learned deviation from 1 has halved, so that an endpoint that got no work is measured again.
constexpr double HALF_LIFE_MS = 60'000;
/// \brief Standard errors by which a speed is considered uncertain.
constexpr double CONFIDENCE = 3;
/// \brief Time over which reports are averaged, which removes changes that are shorter than any attempt.
constexpr double SMOOTHING_MS = 30;
/// \brief Time over which the mean of the reports is taken.
constexpr double MEAN_TIME_MS = 3'000;

double elapsedMs(Time from, Time to)
{
    return std::max(0.0, static_cast<double>((to - from).count()));
}

/// \brief Returns the weight of what has lasted for \a milliseconds in a mean over \a timeConstantMs.
double shareOfTime(double milliseconds, double timeConstantMs)
{
    return 1 - std::exp(-milliseconds / timeConstantMs);
}
} // namespace

bool EngineSpeed::record(const Sample &sample, Time now)
{
    const bool isUsable = std::isfinite(sample.measuredMs) && sample.expectedMs > 0 && sample.measuredMs > 0 && sample.factor > 0;
    const double knownMs = sample.expectedMs + std::max(0.0, sample.queueMs);
    const double ownShare = sample.expectedMs / knownMs;
    if (!isUsable || ownShare < MIN_OWN_SHARE) {
        return false;
    }
    const double current = logSpeed(now);
    const double observed = std::log(knownMs * sample.factor / sample.measuredMs);
    const double difference = std::clamp(observed - current, -MAX_DEVIATION, MAX_DEVIATION);
    // The longer the queue, the more the sample depends on its prediction.
    const double weight = std::sqrt(ownShare) * std::max(MIN_SAMPLE_WEIGHT, 1 / (samples_ + FIRST_SAMPLE_DIVISOR));
    logSpeed_ = std::clamp(current + weight * difference, std::log(MIN_SPEED), std::log(MAX_SPEED));
    deviation_ += weight * (std::abs(difference) - deviation_);
    samples_ = std::min(samples_ + 1, MIN_SAMPLES * MIN_SAMPLES);
    measuredAt_ = now;
    return true;
}

double EngineSpeed::logSpeed(Time now) const
{
    return measuredAt_ == Time::min() ? 0 : logSpeed_ * std::exp2(-elapsedMs(measuredAt_, now) / HALF_LIFE_MS);
}

double EngineSpeed::speed(Time now) const
{
    return std::exp(logSpeed(now));
}

bool EngineSpeed::isMeasured() const
{
    return samples_ >= MIN_SAMPLES;
}

double EngineSpeed::uncertainty() const
{
    const double weight = std::max(MIN_SAMPLE_WEIGHT, 1 / (samples_ + FIRST_SAMPLE_DIVISOR));
    return std::exp(CONFIDENCE * deviation_ * std::sqrt(weight / (2 - weight)));
}

void EngineSpeed::reportRelativeTime(double value, Time now)
{
    if (!std::isfinite(value) || value <= 0) {
        return;
    }
    const double bounded = std::clamp(value, MIN_FACTOR, MAX_FACTOR);
    if (reportedAt_ == Time::min()) {
        recentFactor_ = bounded;
    } else {
        const double momentary = momentaryFactor(now);
        meanFactor_ = meanFactor(now);
        recentFactor_ = momentary + shareOfTime(std::max(1.0, elapsedMs(reportedAt_, now)), SMOOTHING_MS) * (bounded - momentary);
    }
    reportedAt_ = std::max(reportedAt_, now);
}

double EngineSpeed::meanFactor(Time now) const
{
    // The last report counts for as long as it is believed; afterwards nothing is known and the mean returns to the usual time.
    const double believedMs = std::min(elapsedMs(reportedAt_, now), static_cast<double>(REPORT_LIFETIME.count()));
    const double unknownMs = elapsedMs(reportedAt_, now) - believedMs;
    const double mean = meanFactor_ + shareOfTime(believedMs, MEAN_TIME_MS) * (recentFactor_ - meanFactor_);
    return mean + shareOfTime(unknownMs, MEAN_TIME_MS) * (1 - mean);
}

double EngineSpeed::momentaryFactor(Time now) const
{
    if (reportedAt_ == Time::min()) {
        return 1;
    }
    const double freshness = std::max(0.0, 1 - elapsedMs(reportedAt_, now) / static_cast<double>(REPORT_LIFETIME.count()));
    const double mean = meanFactor(now);
    return mean + freshness * (recentFactor_ - mean);
}

} // namespace mimosatally::internal
