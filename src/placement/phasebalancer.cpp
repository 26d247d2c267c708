#include <mimosatally/placement/phasebalancer.h>

#include <algorithm>
#include <cmath>

namespace mimosatally
{

namespace
{
/// \brief Slots of decode engines that the requests of one busy prefill engine occupy (docs/policy.md).
constexpr double SLOTS_PER_PREFILL_ENGINE = 8;
/// \brief Minimum decode engines as a fraction of the number that the share requires; below it, one of only a few is missing and requests
/// queue for the others.
constexpr double MIN_DECODE_FRACTION = 0.75;
/// \brief Ratio of two speeds from which they determine which engine changes; smaller differences may be errors of the learned speeds.
constexpr double MIN_SPEED_RATIO = 1.15;

EnginePhase otherPhase(EnginePhase phase)
{
    return phase == EnginePhase::Prefill ? EnginePhase::Decode : EnginePhase::Prefill;
}

/// \brief Returns whether \a first is a better choice than \a second of the same region for a change from \a from, by their speeds.
bool isBetterBySpeed(const BalancedEngine &first, const BalancedEngine &second, EnginePhase from)
{
    return from == EnginePhase::Decode ? first.speed > second.speed * MIN_SPEED_RATIO : first.speed * MIN_SPEED_RATIO < second.speed;
}

/// \brief Returns the share of prefill engines in each region.
std::map<RegionId, double> prefillShares(const std::vector<BalancedEngine> &engines)
{
    std::map<RegionId, std::pair<double, double>> counts;
    for (const BalancedEngine &engine : engines) {
        auto &[prefill, total] = counts[engine.region];
        prefill += engine.phase == EnginePhase::Prefill ? 1 : 0;
        total += 1;
    }
    std::map<RegionId, double> shares;
    for (const auto &[region, count] : counts) {
        shares[region] = count.first / count.second;
    }
    return shares;
}
} // namespace

PhaseBalancer::PhaseBalancer(double prefillShare)
    : prefillShare_(prefillShare)
{
}

void PhaseBalancer::setPrefillShare(double share)
{
    prefillShare_ = share;
}

double PhaseBalancer::prefillShareFor(double maxPrefill, int slots)
{
    const double prefillPerDecode = static_cast<double>(slots) / SLOTS_PER_PREFILL_ENGINE;
    return std::min(maxPrefill, prefillPerDecode / (1 + prefillPerDecode));
}

std::size_t PhaseBalancer::targetPrefillEngines(std::size_t total) const
{
    if (total < 2) {
        return 0;
    }
    const auto wanted = static_cast<std::size_t>(std::lround(prefillShare_ * static_cast<double>(total)));
    return std::clamp<std::size_t>(wanted, 1, total - 1);
}

void PhaseBalancer::prunePending(const std::vector<BalancedEngine> &engines, Time now)
{
    std::erase_if(pending_, [&engines, now](const auto &entry) {
        const auto &[id, pending] = entry;
        const auto engine = std::ranges::find(engines, id, &BalancedEngine::id);
        const bool hasChanged = engine != engines.end() && (engine->phase == pending.phase || engine->startedAt != pending.startedAt);
        const bool done = hasChanged && !pending.rejected;
        return done || now >= pending.until;
    });
}

const BalancedEngine *PhaseBalancer::selectEngine(const std::vector<BalancedEngine> &engines, EnginePhase from, const std::map<RegionId, double> &shares) const
{
    const BalancedEngine *best = nullptr;
    for (const BalancedEngine &engine : engines) {
        if (engine.phase != from || pending_.contains(engine.id)) {
            continue;
        }
        // A decode engine is taken from the region with the lowest prefill share, a prefill engine from the one with the highest.
        const double cost = from == EnginePhase::Decode ? shares.at(engine.region) : -shares.at(engine.region);
        const double bestCost = best == nullptr ? 0 : (from == EnginePhase::Decode ? shares.at(best->region) : -shares.at(best->region));
        if (best == nullptr || cost < bestCost || (cost == bestCost && isBetterBySpeed(engine, *best, from))) {
            best = &engine;
        }
    }
    return best;
}

bool PhaseBalancer::isAcceptable(std::size_t prefill, std::size_t wanted, std::size_t total, PhasePressure pressure) const
{
    if (prefill == wanted) {
        return true;
    }
    if (total > MAX_PROACTIVE_FLEET_SIZE) {
        const bool needed = prefill < wanted ? pressure.prefillWaiting : pressure.decodeWaiting;
        return prefill > 0 && (!needed || pending_.size() >= total / CONCURRENT_CHANGES_DIVISOR);
    }
    const bool nearShare = prefill + 1 >= wanted && prefill <= wanted + 1;
    const auto decode = static_cast<double>(total - prefill);
    const bool enoughDecode = decode >= MIN_DECODE_FRACTION * static_cast<double>(total - wanted);
    return pressure.serving && prefill > 0 && nearShare && enoughDecode;
}

std::vector<PhaseChange> PhaseBalancer::plan(const std::vector<BalancedEngine> &engines, PhasePressure pressure, Time now)
{
    prunePending(engines, now);
    std::vector<BalancedEngine> expected = engines;
    for (BalancedEngine &engine : expected) {
        const auto pending = pending_.find(engine.id);
        if (pending != pending_.end()) {
            engine.phase = pending->second.phase;
        }
    }
    std::vector<PhaseChange> changes;
    const std::size_t wanted = targetPrefillEngines(expected.size());
    for (;;) {
        const auto prefill = static_cast<std::size_t>(std::ranges::count(expected, EnginePhase::Prefill, &BalancedEngine::phase));
        if (isAcceptable(prefill, wanted, expected.size(), pressure)) {
            break;
        }
        const EnginePhase from = prefill < wanted ? EnginePhase::Decode : EnginePhase::Prefill;
        const BalancedEngine *engine = selectEngine(expected, from, prefillShares(expected));
        if (engine == nullptr) {
            break;
        }
        const PhaseChange change = {engine->id, otherPhase(from)};
        pending_.insert_or_assign(change.engine, Pending {change.phase, engine->startedAt, now + ORDER_LIFETIME, false});
        std::ranges::find(expected, change.engine, &BalancedEngine::id)->phase = change.phase;
        changes.push_back(change);
    }
    return changes;
}

void PhaseBalancer::recordRejection(const EndpointId &engine, Time now)
{
    const auto found = pending_.find(engine);
    if (found != pending_.end()) {
        found->second.rejected = true;
        found->second.phase = otherPhase(found->second.phase);
        found->second.until = now + REJECTION_BACKOFF;
    }
}

} // namespace mimosatally
