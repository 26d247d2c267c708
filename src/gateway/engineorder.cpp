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

int engineOrder(int routePriority, Tokens prefillTokens)
{
    int prefillClass = 0;
    if (prefillTokens > SHORT_PREFILL) {
        prefillClass = 2;
    } else if (prefillTokens > Tokens(0)) {
        prefillClass = 1;
    }
    const int level = prefillClass * LEVELS_PER_CLASS + std::clamp(routePriority, 0, LEVELS_PER_CLASS - 1);
    return std::min(level, LAST_LEVEL);
}

} // namespace mimosatally::internal
