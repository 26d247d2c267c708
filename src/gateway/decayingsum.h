#pragma once

#include <mimosatally/Core>

#include <algorithm>
#include <cmath>

namespace mimosatally::internal
{

/// \brief Sum whose addends lose weight exponentially with their age.
class DecayingSum
{
public:
    explicit DecayingSum(Duration timeConstant)
        : timeConstant_(timeConstant)
    {
    }

    void add(double amount, Time now)
    {
        value_ = value(now) + amount;
        updatedAt_ = std::max(updatedAt_, now);
    }

    [[nodiscard]] double value(Time now) const
    {
        if (now <= updatedAt_ || value_ <= 0) {
            return value_;
        }
        const double age = std::chrono::duration<double>(now - updatedAt_) / std::chrono::duration<double>(timeConstant_);
        return value_ * std::exp(-age);
    }

    /// \brief Returns the mean amount per millisecond.
    [[nodiscard]] double perMs(Time now) const
    {
        return value(now) / static_cast<double>(timeConstant_.count());
    }

private:
    Duration timeConstant_;
    double value_ = 0;
    Time updatedAt_ = Time::min();
};

} // namespace mimosatally::internal
