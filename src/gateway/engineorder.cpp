#include "engineorder.h"

#include <algorithm>

namespace mimosatally::internal
{

namespace
{
/// \brief Longest prompt that is prefilled within one batch step.
constexpr Tokens SHORT_PREFILL = Tokens(512);
constexpr int LEVELS_PER_CLASS = 3;
constexpr int LAST_LEVEL = 9;
} // namespace

int prefillClassOf(Tokens prefillTokens)
{
    if (prefillTokens > SHORT_PREFILL) {
        return 2;
    }
    return prefillTokens > Tokens(0) ? 1 : 0;
}

int engineOrder(int routePriority, Tokens prefillTokens)
{
    const int level = prefillClassOf(prefillTokens) * LEVELS_PER_CLASS + std::clamp(routePriority, 0, LEVELS_PER_CLASS - 1);
    return std::min(level, LAST_LEVEL);
}

} // namespace mimosatally::internal
