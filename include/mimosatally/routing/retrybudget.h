#pragma once

#include <mimosatally/Core>

#include <algorithm>
#include <cstdint>
#include <map>

namespace mimosatally
{

/// \brief How many retries a budget allows, in thousandths of a retry.
struct RetryAllowance {
    /// \brief Each request earns a tenth of a retry (docs/design.md, section 5.6).
    std::int64_t earnedPerRequest = 100;
    /// \brief Lets a key with few requests retry at all.
    std::int64_t initial = 3000;
    /// \brief Greatest budget that a key may save.
    std::int64_t most = 10'000;
};

/// \brief Bounds the retries of each key to a fraction of its requests, so that retries cannot amplify an overload.
template<class Key>
class KeyedRetryBudget
{
public:
    KeyedRetryBudget() = default;

    explicit KeyedRetryBudget(RetryAllowance allowance)
        : allowance_(allowance)
    {
    }

    /// \brief Counts a first attempt.
    void recordRequest(const Key &key, Time)
    {
        std::int64_t &budget = account(key);
        budget = std::min(budget + allowance_.earnedPerRequest, allowance_.most);
    }

    /// \return whether one retry is allowed; takes it from the budget.
    bool tryRetry(const Key &key, Time)
    {
        constexpr std::int64_t oneRetry = 1000;
        std::int64_t &budget = account(key);
        if (budget < oneRetry) {
            return false;
        }
        budget -= oneRetry;
        return true;
    }

private:
    std::int64_t &account(const Key &key)
    {
        return budgets_.emplace(key, allowance_.initial).first->second;
    }

    RetryAllowance allowance_;
    std::map<Key, std::int64_t> budgets_;
};

/// \brief Budget of each customer.
using RetryBudget = KeyedRetryBudget<CustomerId>;

} // namespace mimosatally
