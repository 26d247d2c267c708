#pragma once

#include <mimosatally/Core>

#include <algorithm>
#include <cstdint>
#include <map>

namespace mimosatally
{

/// \brief Parameters of a retry budget; amounts are in thousandths of a retry.
struct RetryAllowance {
    /// \brief Each request earns a tenth of a retry (docs/design.md, section 5.6).
    std::int64_t earnedPerRequest = 100;
    /// \brief Initial balance of a key, so that keys with few requests can retry.
    std::int64_t initial = 3000;
    /// \brief Upper bound of the balance of a key.
    std::int64_t maxBalance = 10'000;
    /// \brief Time after which unused balance expires at the latest; zero means never.
    Duration lifetime = Duration(0);
    /// \brief A key whose requests within a lifetime do not earn one retry is allowed one per this interval; zero allows none.
    Duration slackInterval = Duration(0);
};

/// \brief Limits the retries of each key to a fraction of its requests, so that retries cannot amplify an overload.
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
    void recordRequest(const Key &key, Time now)
    {
        Account &account = accountOf(key, now);
        ++account.requests;
        account.earned = std::min(account.earned + allowance_.earnedPerRequest, allowance_.maxBalance - account.previousEarned);
    }

    /// \brief Takes \a count retries from the budget.
    /// \return false if the budget does not allow them.
    bool tryRetry(const Key &key, Time now, std::int64_t count = 1)
    {
        Account &account = accountOf(key, now);
        const std::int64_t cost = count * ONE_RETRY;
        if (account.previousEarned + account.earned < cost) {
            return count == 1 && trySlack(account, now);
        }
        const std::int64_t fromPrevious = std::min(cost, account.previousEarned);
        account.previousEarned -= fromPrevious;
        account.earned -= cost - fromPrevious;
        return true;
    }

    /// \brief Takes one retry for an attempt that no failure asks for. Half of what the requests of a lifetime have earned stays reserved for retries after
    /// failures. \return false if the budget does not allow it.
    bool tryExtraAttempt(const Key &key, Time now)
    {
        Account &account = accountOf(key, now);
        const std::int64_t earned = std::min((account.requests + account.previousRequests) * allowance_.earnedPerRequest, allowance_.maxBalance);
        if (account.previousEarned + account.earned - ONE_RETRY < earned / 2) {
            return false;
        }
        return tryRetry(key, now);
    }

private:
    static constexpr std::int64_t ONE_RETRY = 1000;

    /// \brief Unused balance and requests of the current and the previous half of a lifetime.
    struct Account {
        std::int64_t earned = 0;
        std::int64_t previousEarned = 0;
        std::int64_t requests = 0;
        std::int64_t previousRequests = 0;
        Time halfEnd = Time::min();
        Time nextSlack = Time::min();
    };

    bool trySlack(Account &account, Time now) const
    {
        const bool earnsEnough = (account.requests + account.previousRequests) * allowance_.earnedPerRequest >= ONE_RETRY;
        if (allowance_.slackInterval <= Duration(0) || earnsEnough || now < account.nextSlack) {
            return false;
        }
        account.nextSlack = now + allowance_.slackInterval;
        return true;
    }

    Account &accountOf(const Key &key, Time now)
    {
        Account &account = accounts_.emplace(key, Account {allowance_.initial, 0, 0, 0, now + allowance_.lifetime / 2, now}).first->second;
        const Duration half = allowance_.lifetime / 2;
        if (half > Duration(0) && now >= account.halfEnd) {
            const bool idle = now >= account.halfEnd + half;
            account.previousEarned = idle ? 0 : account.earned;
            account.earned = 0;
            account.previousRequests = idle ? 0 : account.requests;
            account.requests = 0;
            account.halfEnd = idle ? now + half : account.halfEnd + half;
        }
        return account;
    }

    RetryAllowance allowance_;
    std::map<Key, Account> accounts_;
};

/// \brief Retry budget of each customer.
using RetryBudget = KeyedRetryBudget<CustomerId>;

} // namespace mimosatally
