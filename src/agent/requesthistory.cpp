#include "requesthistory.h"

namespace mimosatally::internal
{

namespace
{
/// \brief 4 MiB, for about 3.5 million requests that ran.
constexpr std::size_t RUN_FILTER_BITS = std::size_t(1) << 25;
/// \brief 512 KiB, for about 430,000 cancelled requests.
constexpr std::size_t CANCELLED_FILTER_BITS = std::size_t(1) << 22;
/// \brief Seven hash functions and 9.6 bits per id give one false positive in 100.
constexpr int HASH_FUNCTIONS = 7;
constexpr std::size_t BITS_PER_WORD = 64;

std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    return value;
}

/// \brief Calls \a use with the bit index of each hash function.
template<class Use>
void forEachBit(const RequestId &id, std::size_t bits, Use use)
{
    const std::uint64_t first = std::hash<RequestId>()(id);
    const std::uint64_t second = mix(first) | 1;
    for (int i = 0; i < HASH_FUNCTIONS; ++i) {
        use((first + static_cast<std::uint64_t>(i) * second) & (bits - 1));
    }
}
} // namespace

IdFilter::IdFilter(std::size_t bits)
    : words_(bits / BITS_PER_WORD)
{
    invariant((bits & (bits - 1)) == 0, "the filter's size is a power of two");
}

void IdFilter::insert(const RequestId &id)
{
    ++inserted_;
    forEachBit(id, words_.size() * BITS_PER_WORD, [this](std::size_t bit) {
        words_[bit / BITS_PER_WORD] |= std::uint64_t(1) << (bit % BITS_PER_WORD);
    });
}

bool IdFilter::mayContain(const RequestId &id) const
{
    bool contains = true;
    forEachBit(id, words_.size() * BITS_PER_WORD, [this, &contains](std::size_t bit) {
        contains = contains && (words_[bit / BITS_PER_WORD] >> (bit % BITS_PER_WORD) & 1) != 0;
    });
    return contains;
}

bool IdFilter::isFull() const
{
    constexpr std::size_t bitsPerTenIds = 96;
    return inserted_ * bitsPerTenIds >= words_.size() * BITS_PER_WORD * 10;
}

RequestHistory::RequestHistory()
    : run_(RUN_FILTER_BITS)
    , cancelled_(CANCELLED_FILTER_BITS)
{
}

void RequestHistory::recordRun(const RequestId &id)
{
    run_.insert(id);
}

bool RequestHistory::mayHaveRun(const RequestId &id) const
{
    return run_.isFull() || run_.mayContain(id);
}

bool RequestHistory::recordCancelled(const RequestId &id)
{
    if (cancelled_.mayContain(id)) {
        return true;
    }
    if (cancelled_.isFull()) {
        return false;
    }
    cancelled_.insert(id);
    return true;
}

bool RequestHistory::isCancelled(const RequestId &id) const
{
    return cancelled_.mayContain(id);
}

} // namespace mimosatally::internal
