#include "expectilefit.h"

#include <Eigen/Dense>
#include <algorithm>
#include <cmath>

namespace mimosatally::internal
{

namespace
{
/// \brief Expectile that is fitted: weight of a sample above the model. One below the model has the weight 1 - WEIGHT_ABOVE.
constexpr double WEIGHT_ABOVE = 0.05;
/// \brief Number of samples of weight 1 after which the weight of an older sample has decayed to 1/e.
constexpr double MEMORY_SAMPLES = 400;
/// \brief Weight of the prior, in samples whose feature is 1.
constexpr double PRIOR_WEIGHT = 0.002;

constexpr int SIZE = static_cast<int>(ExpectileFit::FEATURES);
using Matrix = Eigen::Matrix<double, SIZE, SIZE, Eigen::RowMajor>;
using Column = Eigen::Matrix<double, SIZE, 1>;

bool isUsable(const ExpectileFit::Vector &features, double value)
{
    for (const double feature : features) {
        if (!std::isfinite(feature) || feature < 0) {
            return false;
        }
    }
    return std::isfinite(value) && value >= 0;
}
} // namespace

ExpectileFit::ExpectileFit(const Vector &prior)
    : prior_(prior)
    , coefficients_(prior)
{
}

void ExpectileFit::setPrior(const Vector &prior)
{
    prior_ = prior;
    solve();
}

void ExpectileFit::add(const Vector &features, double value, double weight)
{
    if (!isUsable(features, value) || !(weight > 0)) {
        return;
    }
    const double expectileWeight = value > predict(features) ? WEIGHT_ABOVE : 1 - WEIGHT_ABOVE;
    const Eigen::Map<const Column> x(features.data());
    Eigen::Map<Matrix> products(products_.data());
    Eigen::Map<Column> values(values_.data());
    const double decay = 1 - std::min(weight, 1.0) / MEMORY_SAMPLES;
    products *= decay;
    values *= decay;
    products += weight * expectileWeight * x * x.transpose();
    values += weight * expectileWeight * value * x;
    solve();
}

double ExpectileFit::predict(const Vector &features) const
{
    return Eigen::Map<const Column>(coefficients_.data()).dot(Eigen::Map<const Column>(features.data()));
}

void ExpectileFit::solve()
{
    const Matrix products = Eigen::Map<const Matrix>(products_.data()) + Matrix(Matrix::Identity() * PRIOR_WEIGHT);
    const Column values = Eigen::Map<const Column>(values_.data()) + Column(Eigen::Map<const Column>(prior_.data()) * PRIOR_WEIGHT);
    Eigen::Map<Column> result(coefficients_.data());
    Column excluded = Column::Zero();
    // Sets the lowest negative coefficient to zero and fits the others again; each pass excludes one coefficient, so the number of passes is bounded.
    for (int pass = 0; pass < SIZE; ++pass) {
        Matrix left = products;
        Column right = values;
        for (int i = 0; i < SIZE; ++i) {
            if (excluded[i] > 0) {
                left.row(i).setZero();
                left.col(i).setZero();
                left(i, i) = 1;
                right[i] = 0;
            }
        }
        result = left.ldlt().solve(right);
        int lowest = 0;
        if (result.minCoeff(&lowest) >= 0) {
            return;
        }
        excluded[lowest] = 1;
        result[lowest] = 0;
    }
    result = result.cwiseMax(0);
}

} // namespace mimosatally::internal
