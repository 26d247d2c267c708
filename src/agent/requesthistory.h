#pragma once

#include <mimosatally/Core>

#include <cstdint>
#include <vector>

namespace mimosatally::internal
{

/// \brief Set of ids in fixed memory (Bloom filter): no false negatives, few false positives.
class IdFilter
{
public:
    /// \param bits size; a power of two.
    explicit IdFilter(std::size_t bits);

    void insert(const RequestId &id);
    [[nodiscard]] bool mayContain(const RequestId &id) const;

    /// \brief Returns true once so many ids were inserted that more than about 1% of other ids would be false positives.
    [[nodiscard]] bool isFull() const;

private:
    std::vector<std::uint64_t> words_;
    std::size_t inserted_ = 0;
};

/// \brief Ids of the requests that have run, and of those that were cancelled before they started and must not start later.
///
/// Covers the lifetime of one incarnation in fixed memory. False positives are safe: an id that wrongly counts as run is not
/// reported as `neverStarted`, and one that wrongly counts as cancelled is refused as not run.
class RequestHistory
{
public:
    RequestHistory();

    void recordRun(const RequestId &id);
    [[nodiscard]] bool mayHaveRun(const RequestId &id) const;

    /// \brief Records that \a id must not start. \return false if the filter is full.
    bool recordCancelled(const RequestId &id);
    [[nodiscard]] bool isCancelled(const RequestId &id) const;

private:
    IdFilter run_;
    IdFilter cancelled_;
};

} // namespace mimosatally::internal
