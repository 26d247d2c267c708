#include "cacheindex.h"

#include <algorithm>

namespace mimosatally::internal
{

namespace
{
/// \brief Number of uses kept per known block before superseded ones are pruned.
constexpr std::size_t USES_PER_BLOCK = 4;
} // namespace

void CacheIndex::setCapacity(EndpointIndex endpoint, std::size_t capacity)
{
    if (endpoint >= endpoints_.size()) {
        endpoints_.resize(endpoint + 1);
    }
    endpoints_[endpoint].capacity = capacity;
    trim(endpoint, endpoints_[endpoint]);
}

void CacheIndex::store(EndpointIndex endpoint, std::uint64_t block, std::size_t size)
{
    EndpointBlocks &blocks = endpoints_[endpoint];
    if (blocks.capacity == 0) {
        return;
    }
    const std::uint64_t use = nextUse_++;
    const auto [found, added] = blocks.known.try_emplace(block);
    if (added) {
        holders_[block].push_back(endpoint);
    }
    blocks.used += size - (added ? 0 : found->second.size);
    found->second = {use, size};
    blocks.uses.push_back({block, use});
    trim(endpoint, blocks);
}

void CacheIndex::evict(EndpointIndex endpoint, std::uint64_t block)
{
    EndpointBlocks &blocks = endpoints_[endpoint];
    const auto found = blocks.known.find(block);
    if (found != blocks.known.end()) {
        blocks.used -= found->second.size;
        blocks.known.erase(found);
        removeHolder(endpoint, block);
    }
}

void CacheIndex::clear(EndpointIndex endpoint)
{
    for (const auto &[block, known] : endpoints_[endpoint].known) {
        removeHolder(endpoint, block);
    }
    endpoints_[endpoint].known.clear();
    endpoints_[endpoint].uses.clear();
    endpoints_[endpoint].used = 0;
}

std::size_t CacheIndex::cachedBlocks(EndpointIndex endpoint, const std::vector<std::uint64_t> &blocks) const
{
    const auto &known = endpoints_[endpoint].known;
    for (std::size_t count = blocks.size(); count > 0; --count) {
        if (known.contains(blocks[count - 1])) {
            return count;
        }
    }
    return 0;
}

std::vector<CacheIndex::EndpointIndex> CacheIndex::holders(const std::vector<std::uint64_t> &blocks, std::size_t limit) const
{
    std::vector<EndpointIndex> result;
    for (auto block = blocks.rbegin(); block != blocks.rend() && result.size() < limit; ++block) {
        const auto found = holders_.find(*block);
        if (found == holders_.end()) {
            continue;
        }
        // The most recent holders are the least likely to have evicted the block without a reported event.
        for (auto endpoint = found->second.rbegin(); endpoint != found->second.rend() && result.size() < limit; ++endpoint) {
            if (std::find(result.begin(), result.end(), *endpoint) == result.end()) {
                result.push_back(*endpoint);
            }
        }
    }
    return result;
}

void CacheIndex::removeHolder(EndpointIndex endpoint, std::uint64_t block)
{
    const auto found = holders_.find(block);
    std::erase(found->second, endpoint);
    if (found->second.empty()) {
        holders_.erase(found);
    }
}

void CacheIndex::trim(EndpointIndex endpoint, EndpointBlocks &blocks)
{
    while (!blocks.uses.empty() && (blocks.used > blocks.capacity || blocks.uses.size() > USES_PER_BLOCK * blocks.known.size() + USES_PER_BLOCK)) {
        const Use oldest = blocks.uses.front();
        blocks.uses.pop_front();
        const auto found = blocks.known.find(oldest.block);
        if (found != blocks.known.end() && found->second.lastUse == oldest.sequence) {
            blocks.used -= found->second.size;
            blocks.known.erase(found);
            removeHolder(endpoint, oldest.block);
        }
    }
}

} // namespace mimosatally::internal
