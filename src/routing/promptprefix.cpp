#include "phaserouterimpl.h"
#include "phasetimes.h"

#include <algorithm>

namespace mimosatally
{

using internal::chainOf;
using internal::spread;

namespace
{
/// \brief Engines that may have a prefix and are compared as sources; the newest holders first.
constexpr std::size_t MAX_HOLDERS = 4;
} // namespace

Tokens PhaseRouter::Impl::cachedTokens(const Endpoint &endpoint, const PlacementRequest &request, const std::vector<std::uint64_t> &chain) const
{
    const std::size_t parts = cache.cachedBlocks(endpoint.cacheIndex, chain);
    Tokens tokens;
    for (std::size_t i = 0; i < parts; ++i) {
        tokens += request.promptParts[i].tokens;
    }
    return std::min(tokens, request.promptTokens);
}

PhaseRouter::Impl::PromptView PhaseRouter::Impl::viewOf(const PlacementRequest &request, const std::vector<const Endpoint *> &candidates) const
{
    PromptView view {request, chainOf(request.promptParts), Tokens(0), {}};
    if (view.chain.size() < 2) {
        return view;
    }
    for (std::size_t i = 0; i + 1 < request.promptParts.size(); ++i) {
        view.sharedTokens += request.promptParts[i].tokens;
    }
    const std::uint64_t prefix = view.chain[view.chain.size() - 2];
    std::map<RegionId, double> best;
    for (const Endpoint *candidate : candidates) {
        if (candidate->record.phase != EnginePhase::Prefill) {
            continue;
        }
        const RegionId where = location.regionOf(candidate->record.dataCentre);
        const double weight = spread(prefix, candidate->record.id);
        const auto [found, isNew] = best.emplace(where, weight);
        if (isNew || weight > found->second) {
            found->second = weight;
            view.homes[where] = candidate;
        }
    }
    return view;
}

PhaseRouter::Impl::PrefixSource PhaseRouter::Impl::knownPrefix(const Endpoint &endpoint, AttemptWork work, const PromptView &prompt) const
{
    PrefixSource best;
    best.cached = cachedTokens(endpoint, prompt.request, prompt.chain);
    const Tokens own = best.cached;
    double bestMs = readingMs(work, prompt.request.promptTokens - own);
    for (const internal::CacheIndex::EndpointIndex index : cache.holders(prompt.chain, MAX_HOLDERS)) {
        const auto id = endpointOfCache.find(index);
        const auto holder = id == endpointOfCache.end() ? endpoints.end() : endpoints.find(id->second);
        if (holder == endpoints.end() || &holder->second == &endpoint || !holder->second.listed) {
            continue;
        }
        const Tokens held = cachedTokens(holder->second, prompt.request, prompt.chain);
        if (held <= own) {
            continue;
        }
        const double fetch = transferMs(holder->second, endpoint, held - own);
        const double total = fetch + readingMs(work, prompt.request.promptTokens - held);
        if (total < bestMs) {
            bestMs = total;
            best = {held, &holder->second, fetch, Tokens(0)};
        }
    }
    return best;
}

PhaseRouter::Impl::PrefixSource PhaseRouter::Impl::prefixFor(const Endpoint &endpoint, AttemptWork work, const PromptView &prompt) const
{
    PrefixSource prefix = knownPrefix(endpoint, work, prompt);
    const auto home = prompt.homes.find(location.regionOf(endpoint.record.dataCentre));
    if (home == prompt.homes.end() || prefix.cached >= prompt.sharedTokens) {
        return prefix;
    }
    prefix.probable = prompt.sharedTokens - prefix.cached;
    if (home->second != &endpoint) {
        prefix.source = home->second;
        prefix.fetchMs += transferMs(*home->second, endpoint, prefix.probable);
    }
    return prefix;
}

} // namespace mimosatally
