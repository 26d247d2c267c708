#include "phaserouterimpl.h"
#include "phasetimes.h"

#include <algorithm>

namespace mimosatally
{

using internal::chainOf;
using internal::mix;

namespace
{
/// \brief Engines that may have a prefix and are compared as sources; the newest holders first.
constexpr std::size_t MAX_HOLDERS = 4;
/// \brief A fleet up to this size is compared as a whole; the time of a call grows with each endpoint.
constexpr std::size_t MOST_COMPARED = 64;
/// \brief Endpoints of the own region and of others that are compared in a larger fleet.
constexpr std::size_t NEAR_SAMPLE = 24;
constexpr std::size_t FAR_SAMPLE = 8;
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

PhaseRouter::Impl::PromptView PhaseRouter::Impl::viewOf(const PlacementRequest &request, const ServiceFleet &fleet, Time now) const
{
    PromptView view {request, chainOf(request.promptParts), Tokens(0), {}, nullptr, {}};
    for (const internal::CacheIndex::EndpointIndex index : cache.holders(view.chain, MAX_HOLDERS)) {
        const auto id = endpointOfCache.find(index);
        const auto holder = id == endpointOfCache.end() ? endpoints.end() : endpoints.find(id->second);
        if (holder != endpoints.end() && holder->second.listed) {
            view.holders.push_back(&holder->second);
        }
    }
    if (view.chain.size() < 2) {
        return view;
    }
    for (std::size_t i = 0; i + 1 < request.promptParts.size(); ++i) {
        view.sharedTokens += request.promptParts[i].tokens;
    }
    const std::uint64_t prefix = view.chain[view.chain.size() - 2];
    std::uint64_t bestOfAll = 0;
    for (const auto &[where, readers] : fleet.readers) {
        std::uint64_t best = 0;
        for (const Reader &reader : readers) {
            const std::uint64_t weight = mix(prefix ^ reader.hash);
            if (weight >= best && mayServe(*reader.endpoint, request, now) && healthy(*reader.endpoint, now)) {
                best = weight;
                view.homes[where] = reader.endpoint;
            }
        }
        if (best > bestOfAll) {
            bestOfAll = best;
            view.fleetHome = view.homes[where];
        }
    }
    return view;
}

std::vector<const PhaseRouter::Impl::Endpoint *> PhaseRouter::Impl::sampleOf(const ServiceFleet &fleet, const PromptView &prompt) const
{
    std::vector<const Endpoint *> sample;
    const auto add = [&sample](const Endpoint *endpoint) {
        if (std::ranges::find(sample, endpoint) == sample.end()) {
            sample.push_back(endpoint);
        }
    };
    const auto draw = [this, &add](const std::vector<const Endpoint *> &all, std::size_t most) {
        const std::size_t count = std::min(most, all.size());
        const std::uint64_t start = mix(seed ^ ++draws);
        for (std::size_t i = 0; i < count; ++i) {
            add(all[(start + i * all.size() / count) % all.size()]);
        }
    };
    const bool small = fleet.near.size() + fleet.far.size() <= MOST_COMPARED;
    draw(fleet.near, small ? fleet.near.size() : NEAR_SAMPLE);
    draw(fleet.far, small ? fleet.far.size() : FAR_SAMPLE);
    for (const auto &[where, home] : prompt.homes) {
        add(home);
    }
    for (const Endpoint *holder : prompt.holders) {
        if (holder->record.service == prompt.request.service) {
            add(holder);
        }
    }
    return sample;
}

CacheEstimate PhaseRouter::Impl::homeBelief(const Endpoint &endpoint, const PromptView &prompt) const
{
    if (&endpoint == prompt.fleetHome) {
        return CacheEstimate::FleetAffinity;
    }
    const auto home = prompt.homes.find(location.regionOf(endpoint.record.dataCentre));
    return home != prompt.homes.end() && home->second == &endpoint ? CacheEstimate::RegionAffinity : CacheEstimate::None;
}

CachedPrefix PhaseRouter::Impl::ownPrefix(const Endpoint &endpoint, const PromptView &prompt) const
{
    const CachedPrefix sent = {cachedTokens(endpoint, prompt.request, prompt.chain), CacheEstimate::Sent};
    const CachedPrefix home = {prompt.sharedTokens, homeBelief(endpoint, prompt)};
    if (home.belief != CacheEstimate::None && home.tokens > sent.tokens) {
        return home;
    }
    return sent.tokens > Tokens(0) ? sent : CachedPrefix();
}

PhaseRouter::Impl::PrefixSource PhaseRouter::Impl::prefixFor(const Endpoint &endpoint, AttemptWork work, const PromptView &prompt) const
{
    const Tokens tokens = prompt.request.promptTokens;
    PrefixSource best;
    best.cache = ownPrefix(endpoint, prompt);
    best.readingMs = expectedReadingMs(endpoint, work, tokens, best.cache, 0);
    const Tokens own = cachedTokens(endpoint, prompt.request, prompt.chain);
    const auto consider = [&](const Endpoint *source) {
        const CachedPrefix held = source == nullptr || source == &endpoint ? CachedPrefix() : ownPrefix(*source, prompt);
        if (held.tokens <= own) {
            return;
        }
        const double expected = expectedReadingMs(endpoint, work, tokens, held, transferMs(*source, endpoint, held.tokens - own));
        if (expected < best.readingMs) {
            best = {held, source, expected};
        }
    };
    for (const Endpoint *holder : prompt.holders) {
        consider(holder);
    }
    const auto home = prompt.homes.find(location.regionOf(endpoint.record.dataCentre));
    consider(home == prompt.homes.end() ? nullptr : home->second);
    consider(prompt.fleetHome);
    return best;
}

} // namespace mimosatally
