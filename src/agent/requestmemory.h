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

    /// \brief Whether so many ids were inserted that more than about 1% of all ids would be false positives.
    [[nodiscard]] bool isFull() const;

private:
    std::vector<std::uint64_t> words_;
    std::size_t inserted_ = 0;
};

/// \brief Which requests have run and which never will, for the life of one incarnation and in fixed memory.
///
/// Errors are on the safe side: an id may wrongly count as run, so that `neverStarted` is not said, or as renounced, so
/// that its submit is refused as not run.
class RequestMemory
{
public:
    RequestMemory();

    void recordRun(const RequestId &id);
    [[nodiscard]] bool mayHaveRun(const RequestId &id) const;

    /// \brief Remembers that \a id never starts. \return false if the memory is used up.
    bool renounce(const RequestId &id);
    [[nodiscard]] bool isRenounced(const RequestId &id) const;

private:
    IdFilter run_;
    IdFilter renounced_;
};

} // namespace mimosatally::internal
