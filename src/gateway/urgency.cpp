#include "urgency.h"

#include "engineorder.h"

#include <algorithm>
#include <set>

namespace mimosatally::internal
{

namespace
{
constexpr int ENGINE_LEVELS = 10;
/// \brief With more combinations, which are shared out among ten ranks, the route's priority would hardly ever make a difference.
constexpr std::size_t MAX_COMBINATIONS = 1000;
} // namespace

UrgencyTable::UrgencyTable(const ServingConfiguration &configuration)
{
    std::set<int> routePriorities;
    for (const Route &route : configuration.routes) {
        routePriorities.insert(route.priority);
    }
    std::set<int> organisationPriorities;
    if (configuration.organisations) {
        for (const Organisation &organisation : *configuration.organisations) {
            if (organisation.priority) {
                organisationPriorities.insert(*organisation.priority);
            }
        }
    }
    organisationOnly_ = routePriorities.size() * organisationPriorities.size() > MAX_COMBINATIONS || routePriorities.size() > MAX_COMBINATIONS;
    for (const int route : routePriorities) {
        urgencies_.emplace_back(route, organisationOnly_ ? 0 : route);
    }
    for (const int organisation : organisationPriorities) {
        if (organisationOnly_) {
            urgencies_.emplace_back(organisation, 0);
            continue;
        }
        for (const int route : routePriorities) {
            urgencies_.emplace_back(organisation, route);
        }
    }
    std::ranges::sort(urgencies_);
    const auto duplicates = std::ranges::unique(urgencies_);
    urgencies_.erase(duplicates.begin(), duplicates.end());
}

int UrgencyTable::rankOf(std::optional<int> organisationPriority, int routePriority) const
{
    if (urgencies_.empty()) {
        return 0;
    }
    const Priorities own(organisationPriority.value_or(routePriority), organisationOnly_ ? 0 : routePriority);
    const auto next = std::ranges::lower_bound(urgencies_, own);
    const auto index = std::min<std::ptrdiff_t>(next - urgencies_.begin(), std::ssize(urgencies_) - 1);
    const auto count = std::ssize(urgencies_);
    return static_cast<int>(count <= MAX_RANKS ? index : index * MAX_RANKS / count);
}

int UrgencyTable::rankCount() const
{
    return static_cast<int>(std::clamp<std::ptrdiff_t>(std::ssize(urgencies_), 1, MAX_RANKS));
}

int UrgencyTable::engineOrder(int rank, Tokens prefillTokens) const
{
    const int levelsPerRank = std::clamp(ENGINE_LEVELS / rankCount(), 1, PREFILL_CLASS_COUNT);
    const int prefill = prefillClassOf(prefillTokens);
    // With two levels, the long prefills are told apart from the others.
    const int level = levelsPerRank == 2 ? prefill / 2 : std::min(prefill, levelsPerRank - 1);
    return std::clamp(rank, 0, rankCount() - 1) * levelsPerRank + level;
}

} // namespace mimosatally::internal
