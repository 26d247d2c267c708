#include "fairshare.h"

#include <algorithm>
#include <vector>

namespace mimosatally::internal
{

namespace
{
/// \brief Sorting 10,000 organisations takes about a millisecond, so the level is not computed for each call.
constexpr Duration LEVEL_INTERVAL = Duration(250);
/// \brief With a share of fewer mean calls, the size of single calls would decide whether an organisation is below it.
constexpr double MIN_CALLS_PER_SHARE = 3;
/// \brief Part of the share below which an organisation asks for clearly less; organisations of equal size differ by chance.
constexpr double BELOW_SHARE = 0.5;
/// \brief Age at which the last tokens of an organisation have lost almost all their weight.
constexpr Duration USE_LIFETIME = Duration(20'000);
} // namespace

FairShare::Use *FairShare::find(const OrganisationId &organisation, Time now)
{
    auto found = uses_.find(organisation);
    if (found == uses_.end()) {
        if (uses_.size() >= MAX_ORGANISATIONS) {
            return nullptr;
        }
        found = uses_.emplace(organisation, Use {DecayingSum(TIME_CONSTANT), DecayingSum(TIME_CONSTANT), now}).first;
    }
    found->second.usedAt = now;
    return &found->second;
}

void FairShare::recordOffered(const OrganisationId &organisation, double tokens, Time now)
{
    if (Use *use = find(organisation, now)) {
        use->offered.add(tokens, now);
    }
}

void FairShare::recordServed(const OrganisationId &organisation, double tokens, Time now)
{
    servedTokens_.add(tokens, now);
    servedCalls_.add(1, now);
    if (Use *use = find(organisation, now)) {
        use->served.add(tokens, now);
    }
}

ShareStanding FairShare::standingOf(const OrganisationId &organisation, Time now)
{
    if (levelUpdatedAt_ == Time::min() || now - levelUpdatedAt_ >= LEVEL_INTERVAL) {
        updateLevel(now);
    }
    const auto found = uses_.find(organisation);
    const double calls = servedCalls_.value(now);
    if (found == uses_.end() || calls <= 0) {
        return ShareStanding::Within;
    }
    const double meanCall = servedTokens_.value(now) / calls;
    if (found->second.served.value(now) > level_ + meanCall) {
        return ShareStanding::Above;
    }
    const bool isMeaningful = level_ >= meanCall * MIN_CALLS_PER_SHARE;
    return isMeaningful && found->second.offered.value(now) < level_ * BELOW_SHARE ? ShareStanding::Below : ShareStanding::Within;
}

void FairShare::updateLevel(Time now)
{
    levelUpdatedAt_ = now;
    std::erase_if(uses_, [now](const auto &entry) {
        return now - entry.second.usedAt > USE_LIFETIME;
    });
    std::vector<double> demands;
    demands.reserve(uses_.size());
    for (const auto &[organisation, use] : uses_) {
        demands.push_back(use.offered.value(now));
    }
    std::ranges::sort(demands);
    double rest = servedTokens_.value(now);
    auto sharers = static_cast<double>(demands.size());
    level_ = std::numeric_limits<double>::infinity();
    for (const double demand : demands) {
        if (demand * sharers > rest) {
            level_ = rest / sharers;
            return;
        }
        rest -= demand;
        sharers -= 1;
    }
}

std::size_t FairShare::size() const
{
    return uses_.size();
}

} // namespace mimosatally::internal
