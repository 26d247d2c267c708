#include "requestcost.h"

#include <algorithm>

namespace mimosatally::internal
{

namespace
{
/// \brief Weight of one request in the means.
constexpr double STEP = 0.05;
/// \brief Below this part of the squared mean, the token counts vary too little for a slope.
constexpr double LEAST_VARIANCE = 0.01;

void move(double &mean, double value, double step)
{
    mean += (value - mean) * step;
}
} // namespace

void RequestCost::add(double tokens, double seconds)
{
    const double step = known_ ? STEP : 1.0;
    known_ = true;
    move(meanTokens_, tokens, step);
    move(meanSeconds_, seconds, step);
    move(meanSquaredTokens_, tokens * tokens, step);
    move(meanProduct_, tokens * seconds, step);
}

double RequestCost::seconds(double requests, double tokens) const
{
    const double variance = meanSquaredTokens_ - meanTokens_ * meanTokens_;
    if (variance <= LEAST_VARIANCE * meanTokens_ * meanTokens_) {
        return meanTokens_ > 0 ? tokens * meanSeconds_ / meanTokens_ : requests * meanSeconds_;
    }
    const double covariance = meanProduct_ - meanTokens_ * meanSeconds_;
    const double slope = std::clamp(covariance / variance, 0.0, meanSeconds_ / meanTokens_);
    const double constant = meanSeconds_ - slope * meanTokens_;
    return requests * constant + tokens * slope;
}

} // namespace mimosatally::internal
