#pragma once

#include <mimosatally/Core>

#include <map>

namespace mimosatally
{

/// \brief Bounds the retries of each customer to a fraction of its requests, so that retries cannot amplify an overload.
class RetryBudget
{
public:
    /// \brief Counts a first attempt.
    void recordRequest(const CustomerId &customer, Time now);

    /// \return whether one retry is allowed; takes it from the budget.
    bool tryRetry(const CustomerId &customer, Time now);

private:
    /// \brief Budget in thousandths of a retry; starts with a small constant.
    struct Account {
        std::int64_t milliRetries = 3000;
    };

    std::map<CustomerId, Account> accounts_;
};

} // namespace mimosatally
