#include <mimosatally/usage/usagereport.h>

namespace mimosatally
{

UsageWindow usageWindowAt(std::int64_t unixMs, Duration length)
{
    const std::int64_t quotient = unixMs / length.count();
    const bool roundsUp = unixMs % length.count() < 0;
    return UsageWindow(roundsUp ? quotient - 1 : quotient);
}

} // namespace mimosatally
