#include "engineorder.h"

#include <algorithm>

namespace mimosatally::internal
{

namespace
{
/// \brief Read within one step of a batch.
constexpr Tokens SHORT_READING = Tokens(512);
constexpr int LEVELS_PER_CLASS = 3;
constexpr int LAST_LEVEL = 9;
} // namespace

int engineOrder(int routePriority, Tokens unread)
{
    int readingClass = 0;
    if (unread > SHORT_READING) {
        readingClass = 2;
    } else if (unread > Tokens(0)) {
        readingClass = 1;
    }
    const int level = readingClass * LEVELS_PER_CLASS + std::clamp(routePriority, 0, LEVELS_PER_CLASS - 1);
    return std::min(level, LAST_LEVEL);
}

} // namespace mimosatally::internal
