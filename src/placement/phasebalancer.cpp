#include <mimosatally/placement/phasebalancer.h>

#include <algorithm>
#include <cmath>

namespace mimosatally
{

namespace
{
/// \brief Slots of decode engines that the prompts of one busy prefill engine take (docs/policy.md).
constexpr double SLOTS_PER_PREFILL_ENGINE = 8;
/// \brief With a smaller part of the decode engines that the share asks for, one of few is missing and prompts wait for the others.
constexpr double LEAST_DECODE_PART = 0.75;

EnginePhase otherPhase(EnginePhase phase)
{
    return phase == EnginePhase::Prefill ? EnginePhase::Decode : EnginePhase::Prefill;
}

/// \brief Part of each region's engines that prefill.
std::map<RegionId, double> prefillParts(const std::vector<BalancedEngine> &engines)
{
    std::map<RegionId, std::pair<double, double>> counts;
    for (const BalancedEngine &engine : engines) {
        auto &[prefill, all] = counts[engine.region];
        prefill += engine.phase == EnginePhase::Prefill ? 1 : 0;
        all += 1;
    }
    std::map<RegionId, double> parts;
    for (const auto &[region, count] : counts) {
        parts[region] = count.first / count.second;
    }
    return parts;
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

double PhaseBalancer::shareFor(double mostPrefill, int slots)
{
    const double keptBusy = static_cast<double>(slots) / SLOTS_PER_PREFILL_ENGINE;
    return std::min(mostPrefill, keptBusy / (1 + keptBusy));
}

std::size_t PhaseBalancer::prefillEngines(std::size_t total) const
{
    if (total < 2) {
        return 0;
    }
    const auto wanted = static_cast<std::size_t>(std::lround(prefillShare_ * static_cast<double>(total)));
    return std::clamp<std::size_t>(wanted, 1, total - 1);
}

void PhaseBalancer::endPending(const std::vector<BalancedEngine> &engines, Time now)
{
    std::erase_if(pending_, [&engines, now](const auto &entry) {
        const auto &[id, pending] = entry;
        const auto engine = std::ranges::find(engines, id, &BalancedEngine::id);
        const bool shown = engine != engines.end() && (engine->phase == pending.phase || engine->startedAt != pending.startedAt);
        const bool done = shown && !pending.rejected;
        return done || now >= pending.until;
    });
}

const BalancedEngine *PhaseBalancer::pick(const std::vector<BalancedEngine> &engines, EnginePhase from, const std::map<RegionId, double> &parts) const
{
    const BalancedEngine *best = nullptr;
    for (const BalancedEngine &engine : engines) {
        if (engine.phase != from || pending_.contains(engine.id)) {
            continue;
        }
        // A region with few prefill engines gives a decode engine, and one with many gives a prefill engine.
        const double part = from == EnginePhase::Decode ? parts.at(engine.region) : -parts.at(engine.region);
        if (best == nullptr || part < (from == EnginePhase::Decode ? parts.at(best->region) : -parts.at(best->region))) {
            best = &engine;
        }
    }
    return best;
}

bool PhaseBalancer::tolerates(std::size_t prefill, std::size_t wanted, std::size_t total, PhasePressure pressure) const
{
    if (prefill == wanted) {
        return true;
    }
    if (total > LARGEST_FLEET_IN_ADVANCE) {
        const bool needed = prefill < wanted ? pressure.reading : pressure.generating;
        return prefill > 0 && (!needed || pending_.size() >= total / CHANGING_DIVISOR);
    }
    const bool nearShare = prefill + 1 >= wanted && prefill <= wanted + 1;
    const auto decode = static_cast<double>(total - prefill);
    const bool enoughDecode = decode >= LEAST_DECODE_PART * static_cast<double>(total - wanted);
    return pressure.serving && prefill > 0 && nearShare && enoughDecode;
}

std::vector<PhaseChange> PhaseBalancer::plan(const std::vector<BalancedEngine> &engines, PhasePressure pressure, Time now)
{
    endPending(engines, now);
    std::vector<BalancedEngine> expected = engines;
    for (BalancedEngine &engine : expected) {
        const auto pending = pending_.find(engine.id);
        if (pending != pending_.end()) {
            engine.phase = pending->second.phase;
        }
    }
    std::vector<PhaseChange> changes;
    const std::size_t wanted = prefillEngines(expected.size());
    for (;;) {
        const auto prefill = static_cast<std::size_t>(std::ranges::count(expected, EnginePhase::Prefill, &BalancedEngine::phase));
        if (tolerates(prefill, wanted, expected.size(), pressure)) {
            break;
        }
        const EnginePhase from = prefill < wanted ? EnginePhase::Decode : EnginePhase::Prefill;
        const BalancedEngine *engine = pick(expected, from, prefillParts(expected));
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

void PhaseBalancer::rejected(const EndpointId &engine, Time now)
{
    const auto found = pending_.find(engine);
    if (found != pending_.end()) {
        found->second.rejected = true;
        found->second.phase = otherPhase(found->second.phase);
        found->second.until = now + REJECTION_PAUSE;
    }
}

} // namespace mimosatally
