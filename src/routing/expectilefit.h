#pragma once

#include <array>
#include <cstddef>

namespace mimosatally::internal
{

/// \brief Linear model of a time with non-negative coefficients, fitted to a low expectile of the samples.
///
/// Samples contain waits that the features do not explain. A sample above the model therefore has a smaller weight than one below it. The
/// weights of older samples decay, so the model adapts to a change within MEMORY_SAMPLES samples.
class ExpectileFit
{
public:
    static constexpr std::size_t FEATURES = 3;
    using Vector = std::array<double, FEATURES>;

    /// \param prior coefficients before the first sample; features must be scaled to the order of 1.
    explicit ExpectileFit(const Vector &prior);

    /// \brief Replaces the coefficients that the model assumes where it has no samples.
    void setPrior(const Vector &prior);

    /// \brief Adds a sample. A sample with a negative or non-finite value is ignored. \param weight confidence in the sample, 0 to 1.
    void add(const Vector &features, double value, double weight);

    [[nodiscard]] double predict(const Vector &features) const;

    [[nodiscard]] const Vector &coefficients() const
    {
        return coefficients_;
    }

private:
    void solve();

    Vector prior_;
    Vector coefficients_;
    /// \brief Weighted sum of the products of features, a matrix in row-major order.
    std::array<double, FEATURES * FEATURES> products_ {};
    /// \brief Weighted sum of the products of features and values.
    Vector values_ {};
};

} // namespace mimosatally::internal
