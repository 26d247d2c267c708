#include <mimosatally/routing/retrybudget.h>

#include <algorithm>

namespace mimosatally
{

namespace
{
/// \brief Each request earns a tenth of a retry (docs/design.md, section 5.6).
constexpr std::int64_t MILLI_RETRIES_PER_REQUEST = 100;
constexpr std::int64_t MILLI_RETRIES_PER_RETRY = 1000;
/// \brief The small constant: lets a customer with few requests retry at all; also the most that a customer may save.
constexpr std::int64_t MAX_MILLI_RETRIES = 10'000;
} // namespace

void RetryBudget::recordRequest(const CustomerId &customer, Time)
{
    Account &account = accounts_[customer];
    account.milliRetries = std::min(account.milliRetries + MILLI_RETRIES_PER_REQUEST, MAX_MILLI_RETRIES);
}

bool RetryBudget::tryRetry(const CustomerId &customer, Time)
{
    Account &account = accounts_[customer];
    if (account.milliRetries < MILLI_RETRIES_PER_RETRY) {
        return false;
    }
    account.milliRetries -= MILLI_RETRIES_PER_RETRY;
    return true;
}

} // namespace mimosatally
