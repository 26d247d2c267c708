#include "phaserouterimpl.h"
#include "phasetimes.h"

#include <algorithm>

namespace mimosatally
{

using internal::mix;
using internal::prefixHashesOf;

namespace
{
/// \brief Maximum number of engines with a cached prefix that are compared as sources, the most recent holders first.
constexpr std::size_t MAX_HOLDERS = 4;
/// \brief Fleets up to this size are compared completely; the cost of a placement grows with each endpoint.
constexpr std::size_t MAX_COMPARED = 64;
/// \brief Number of endpoints of the own region and of other regions that are compared in a larger fleet.
constexpr std::size_t NEAR_SAMPLE_SIZE = 24;
constexpr std::size_t FAR_SAMPLE_SIZE = 8;
} // namespace

Tokens PhaseRouter::Impl::cachedTokens(const Endpoint &endpoint, const PlacementRequest &request, const std::vector<std::uint64_t> &prefixHashes) const
{
    const std::size_t parts = cache.cachedBlocks(endpoint.cacheIndex, prefixHashes);
    Tokens tokens;
    for (std::size_t i = 0; i < parts; ++i) {
        tokens += request.promptParts[i].tokens;
    }
    return std::min(tokens, request.promptTokens);
}

PhaseRouter::Impl::PromptContext PhaseRouter::Impl::promptContextFor(const PlacementRequest &request, const ServiceFleet &fleet, Time now) const
{
    PromptContext context {request, prefixHashesOf(request.promptParts), Tokens(0), {}, {}, {}};
    std::map<SoftwareVersion, std::size_t> holdersOfVersion;
    for (const internal::CacheIndex::EndpointIndex index : cache.holders(context.prefixHashes, MAX_HOLDERS * fleet.versions.size())) {
        const auto id = endpointOfCacheIndex.find(index);
        const auto holder = id == endpointOfCacheIndex.end() ? endpoints.end() : endpoints.find(id->second);
        if (holder != endpoints.end() && ++holdersOfVersion[holder->second.record.version] <= MAX_HOLDERS && holder->second.listed) {
            context.holders.push_back(&holder->second);
        }
    }
    if (context.prefixHashes.size() < 2) {
        return context;
    }
    for (std::size_t i = 0; i + 1 < request.promptParts.size(); ++i) {
        context.sharedTokens += request.promptParts[i].tokens;
    }
    const std::uint64_t prefix = context.prefixHashes[context.prefixHashes.size() - 2];
    // Rendezvous hashing: processes with the same list of engines choose the same engine for a prefix. An engine without a request limit goes before
    // a limited one, which cannot take all calls of the prefix.
    std::map<SoftwareVersion, std::pair<bool, std::uint64_t>> bestOfFleet;
    for (const auto &[group, prefillEngines] : fleet.prefillEngines) {
        std::pair<bool, std::uint64_t> bestOfGroup;
        for (const PrefillEngine &engine : prefillEngines) {
            const Endpoint &endpoint = *engine.endpoint;
            const std::pair rank(!endpoint.limit.rate(), mix(prefix ^ engine.hash));
            if (rank >= bestOfGroup && acceptsCalls(endpoint, now) && hasVersion(endpoint, request) && !isExcluded(endpoint, request)
                && isHealthy(endpoint, now)) {
                bestOfGroup = rank;
                context.groupAffinityEngines[group] = &endpoint;
            }
        }
        const SoftwareVersion &version = group.second;
        if (bestOfGroup > bestOfFleet[version]) {
            bestOfFleet[version] = bestOfGroup;
            context.fleetAffinityEngines[version] = context.groupAffinityEngines[group];
        }
    }
    return context;
}

std::vector<const PhaseRouter::Impl::Endpoint *> PhaseRouter::Impl::sampleEndpoints(const ServiceFleet &fleet, const PromptContext &prompt) const
{
    std::vector<const Endpoint *> sample;
    const auto add = [&sample](const Endpoint *endpoint) {
        if (std::ranges::find(sample, endpoint) == sample.end()) {
            sample.push_back(endpoint);
        }
    };
    const auto addSample = [this, &add](const std::vector<const Endpoint *> &all, std::size_t maxCount) {
        const std::size_t count = std::min(maxCount, all.size());
        const std::uint64_t start = mix(seed ^ ++draws);
        for (std::size_t i = 0; i < count; ++i) {
            add(all[(start + i * all.size() / count) % all.size()]);
        }
    };
    // A sample of the whole fleet would often hold no endpoint of a rare version.
    const ServiceFleet ofVersion = prompt.request.version ? fleetOfVersion(fleet, prompt.request) : ServiceFleet();
    const ServiceFleet &compared = prompt.request.version ? ofVersion : fleet;
    const bool isSmall = compared.near.size() + compared.far.size() <= MAX_COMPARED;
    addSample(compared.near, isSmall ? compared.near.size() : NEAR_SAMPLE_SIZE);
    addSample(compared.far, isSmall ? compared.far.size() : FAR_SAMPLE_SIZE);
    for (const auto &[group, affinityEngine] : prompt.groupAffinityEngines) {
        add(affinityEngine);
    }
    for (const Endpoint *holder : prompt.holders) {
        if (holder->record.service == prompt.request.service) {
            add(holder);
        }
    }
    return sample;
}

CacheEstimate PhaseRouter::Impl::affinityEstimate(const Endpoint &endpoint, const PromptContext &prompt) const
{
    const auto ofFleet = prompt.fleetAffinityEngines.find(endpoint.record.version);
    if (ofFleet != prompt.fleetAffinityEngines.end() && ofFleet->second == &endpoint) {
        return CacheEstimate::FleetAffinity;
    }
    const auto ofGroup = prompt.groupAffinityEngines.find(groupOf(endpoint));
    return ofGroup != prompt.groupAffinityEngines.end() && ofGroup->second == &endpoint ? CacheEstimate::RegionAffinity : CacheEstimate::None;
}

CachedPrefix PhaseRouter::Impl::ownPrefix(const Endpoint &endpoint, const PromptContext &prompt) const
{
    const CachedPrefix sent = {cachedTokens(endpoint, prompt.request, prompt.prefixHashes), CacheEstimate::Sent};
    const CachedPrefix byAffinity = {prompt.sharedTokens, affinityEstimate(endpoint, prompt)};
    if (byAffinity.estimate != CacheEstimate::None && byAffinity.tokens > sent.tokens) {
        return byAffinity;
    }
    return sent.tokens > Tokens(0) ? sent : CachedPrefix();
}

PhaseRouter::Impl::PrefixSource PhaseRouter::Impl::prefixFor(const Endpoint &endpoint, AttemptWork work, const PromptContext &prompt) const
{
    const Tokens tokens = prompt.request.promptTokens;
    PrefixSource best;
    best.cache = ownPrefix(endpoint, prompt);
    best.prefillMs = expectedPrefillMs(endpoint, work, tokens, best.cache, 0);
    const Tokens ownTokens = cachedTokens(endpoint, prompt.request, prompt.prefixHashes);
    const auto consider = [&](const Endpoint *source) {
        if (source == &endpoint || !canExchangeCache(*source, endpoint)) {
            return;
        }
        const CachedPrefix available = ownPrefix(*source, prompt);
        if (available.tokens <= ownTokens) {
            return;
        }
        const double expectedMs = expectedPrefillMs(endpoint, work, tokens, available, transferMs(*source, endpoint, available.tokens - ownTokens));
        if (expectedMs < best.prefillMs) {
            best = {available, source, expectedMs};
        }
    };
    for (const Endpoint *holder : prompt.holders) {
        consider(holder);
    }
    const auto ofGroup = prompt.groupAffinityEngines.find(groupOf(endpoint));
    if (ofGroup != prompt.groupAffinityEngines.end()) {
        consider(ofGroup->second);
    }
    const auto ofFleet = prompt.fleetAffinityEngines.find(endpoint.record.version);
    if (ofFleet != prompt.fleetAffinityEngines.end()) {
        consider(ofFleet->second);
    }
    return best;
}

} // namespace mimosatally
