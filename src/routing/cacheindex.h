#pragma once

#include <mimosatally/Core>

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace mimosatally::internal
{

/// \brief Estimated content of each endpoint's prefix cache, in prompt blocks.
///
/// A block hash covers the whole prompt up to the block's end. A known block therefore implies the blocks before it, which
/// compensates for lost events. Each endpoint's blocks are bounded by its cache memory; the least recently stored are evicted first.
class CacheIndex
{
public:
    using EndpointIndex = std::uint32_t;

    /// \param capacity maximum sum of the sizes of the endpoint's blocks.
    void setCapacity(EndpointIndex endpoint, std::size_t capacity);
    void store(EndpointIndex endpoint, std::uint64_t block, std::size_t size = 1);
    void evict(EndpointIndex endpoint, std::uint64_t block);
    void clear(EndpointIndex endpoint);

    /// \brief Number of leading \a blocks that the endpoint is expected to have cached.
    [[nodiscard]] std::size_t cachedBlocks(EndpointIndex endpoint, const std::vector<std::uint64_t> &blocks) const;

    /// \brief Endpoints with the longest known prefixes of \a blocks; at most \a limit.
    [[nodiscard]] std::vector<EndpointIndex> holders(const std::vector<std::uint64_t> &blocks, std::size_t limit) const;

private:
    struct Use {
        std::uint64_t block;
        std::uint64_t sequence;
    };

    struct Block {
        /// \brief Sequence number of its last use.
        std::uint64_t lastUse = 0;
        std::size_t size = 1;
    };

    struct EndpointBlocks {
        std::size_t capacity = 0;
        std::size_t used = 0;
        std::unordered_map<std::uint64_t, Block> known;
        /// \brief Uses, oldest first; those that are not the last use of their block are skipped.
        std::deque<Use> uses;
    };

    void removeHolder(EndpointIndex endpoint, std::uint64_t block);
    void trim(EndpointIndex endpoint, EndpointBlocks &blocks);

    std::vector<EndpointBlocks> endpoints_;
    std::unordered_map<std::uint64_t, std::vector<EndpointIndex>> holders_;
    std::uint64_t nextUse_ = 0;
};

} // namespace mimosatally::internal
