#include "requestcost.h"

#include <algorithm>

namespace mimosatally::internal
{

namespace
{
/// \brief Weight of one request in the running means.
constexpr double SMOOTHING = 0.05;
/// \brief Variance of the token counts, relative to the squared mean, below which no slope is fitted.
constexpr double MIN_RELATIVE_VARIANCE = 0.01;

void updateWeightedMean(double &mean, double value, double weight)
{
    mean += (value - mean) * weight;
}
} // namespace

void RequestCost::add(double tokens, double seconds)
{
    const double weight = hasSamples_ ? SMOOTHING : 1.0;
    hasSamples_ = true;
    updateWeightedMean(meanTokens_, tokens, weight);
    updateWeightedMean(meanSeconds_, seconds, weight);
    updateWeightedMean(meanSquaredTokens_, tokens * tokens, weight);
    updateWeightedMean(meanProduct_, tokens * seconds, weight);
}

double RequestCost::seconds(double requests, double tokens) const
{
    const double variance = meanSquaredTokens_ - meanTokens_ * meanTokens_;
    if (variance <= MIN_RELATIVE_VARIANCE * meanTokens_ * meanTokens_) {
        return meanTokens_ > 0 ? tokens * meanSeconds_ / meanTokens_ : requests * meanSeconds_;
    }
    const double covariance = meanProduct_ - meanTokens_ * meanSeconds_;
    const double slope = std::clamp(covariance / variance, 0.0, meanSeconds_ / meanTokens_);
    const double intercept = meanSeconds_ - slope * meanTokens_;
    return requests * intercept + tokens * slope;
}

} // namespace mimosatally::internal
