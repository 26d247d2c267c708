#pragma once

#include <mimosatally/Core>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <vector>

namespace mimosatally::internal
{

/// \brief Requests that were sent over one connection, so that none is sent over it twice.
///
/// An endpoint can write an answer again at any later time. As long as a connection carries each id once, the id of an answer names the only request that the
/// answer can belong to. Ids are kept as hashes of 32 bits: two ids with one hash cost a connection and nothing else.
class SentRequests
{
public:
    /// \brief Requests after which a connection is not kept any more. Bounds its memory to 4 KB; a new connection for each 1,024 requests costs little.
    static constexpr std::size_t MAX_REQUESTS = 1024;

    void add(const RequestId &id)
    {
        hashes_.push_back(hashOf(id));
    }

    [[nodiscard]] bool contains(const RequestId &id) const
    {
        return std::ranges::find(hashes_, hashOf(id)) != hashes_.end();
    }

    [[nodiscard]] std::size_t count() const
    {
        return hashes_.size();
    }

    [[nodiscard]] bool isFull() const
    {
        return hashes_.size() >= MAX_REQUESTS;
    }

private:
    static std::uint32_t hashOf(const RequestId &id)
    {
        return static_cast<std::uint32_t>(std::hash<RequestId>()(id));
    }

    std::vector<std::uint32_t> hashes_;
};

} // namespace mimosatally::internal
