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
    /// \brief What is earned and not used expires after at most this; zero keeps it.
    Duration lifetime = Duration(0);
    /// \brief A key whose requests of a lifetime do not earn one retry may have one in this time all the same; zero allows none.
    Duration slackInterval = Duration(0);
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
    void recordRequest(const Key &key, Time now)
    {
        Account &account = accountOf(key, now);
        ++account.requests;
        account.earned = std::min(account.earned + allowance_.earnedPerRequest, allowance_.most - account.earnedBefore);
    }

    /// \return whether \a count retries are allowed; takes them from the budget.
    bool tryRetry(const Key &key, Time now, std::int64_t count = 1)
    {
        Account &account = accountOf(key, now);
        const std::int64_t price = count * ONE_RETRY;
        if (account.earnedBefore + account.earned < price) {
            return count == 1 && trySlack(account, now);
        }
        const std::int64_t oldPart = std::min(price, account.earnedBefore);
        account.earnedBefore -= oldPart;
        account.earned -= price - oldPart;
        return true;
    }

private:
    static constexpr std::int64_t ONE_RETRY = 1000;

    /// \brief Unused budget of the present half of a lifetime and of the one before.
    struct Account {
        std::int64_t earned = 0;
        std::int64_t earnedBefore = 0;
        std::int64_t requests = 0;
        std::int64_t requestsBefore = 0;
        Time halfEnd = Time::min();
        Time nextSlack = Time::min();
    };

    bool trySlack(Account &account, Time now) const
    {
        const bool earnsEnough = (account.requests + account.requestsBefore) * allowance_.earnedPerRequest >= ONE_RETRY;
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
            account.earnedBefore = idle ? 0 : account.earned;
            account.earned = 0;
            account.requestsBefore = idle ? 0 : account.requests;
            account.requests = 0;
            account.halfEnd = idle ? now + half : account.halfEnd + half;
        }
        return account;
    }

    RetryAllowance allowance_;
    std::map<Key, Account> accounts_;
};

/// \brief Budget of each customer.
using RetryBudget = KeyedRetryBudget<CustomerId>;

} // namespace mimosatally
