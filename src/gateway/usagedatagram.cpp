#include "usagedatagram.h"

#include "peerdatagram.h"

#include <algorithm>
#include <capnp/common.h>

namespace mimosatally::internal
{

namespace
{
constexpr std::size_t WORD_BYTES = sizeof(capnp::word);
/// \brief Bytes that usage notices may take up in a datagram; the rest is left for the message around them.
constexpr std::size_t MAX_USAGE_BYTES = MAX_DATAGRAM_BYTES - 300;
/// \brief Bytes of a notice without the characters of its process and without counts: three data words, three pointers and the padding of its lists.
constexpr std::size_t NOTICE_BYTES = 8 * WORD_BYTES;
constexpr std::size_t COUNT_BYTES = sizeof(std::uint64_t) + sizeof(std::uint32_t);

std::size_t emptyNoticeBytes(const ProcessId &process)
{
    return NOTICE_BYTES + WORD_BYTES * (1 + process.value().size() / WORD_BYTES);
}

/// \brief Fills datagrams one after another up to MAX_USAGE_BYTES.
class UsageBatches
{
public:
    UsageBatches(RegionId region, const Checkpoint &checkpoint)
        : region_(std::move(region))
        , checkpoint_(checkpoint)
    {
    }

    void add(const UsageNotice &notice)
    {
        HashedUsageNotice *part = &beginPart(notice);
        for (const auto &[organisation, count] : notice.counts) {
            if (bytes_ + COUNT_BYTES > MAX_USAGE_BYTES) {
                part = &beginPart(notice);
            }
            bytes_ += COUNT_BYTES;
            part->counts.push_back({hashOf(organisation), std::min(count, UsageLedger::MAX_COUNT)});
        }
    }

    std::vector<PeerDatagram> take()
    {
        return std::move(datagrams_);
    }

private:
    HashedUsageNotice &beginPart(const UsageNotice &notice)
    {
        const std::size_t bytes = emptyNoticeBytes(notice.process);
        if (datagrams_.empty() || bytes_ + bytes + COUNT_BYTES > MAX_USAGE_BYTES || datagrams_.back().usageNotices.size() == MAX_USAGE_NOTICES_PER_DATAGRAM) {
            checkpoint_();
            datagrams_.emplace_back().region = region_;
            bytes_ = 0;
        }
        bytes_ += bytes;
        return datagrams_.back().usageNotices.emplace_back(HashedUsageNotice {notice.process, notice.window, notice.sequence, notice.closedTotal, {}});
    }

    RegionId region_;
    const Checkpoint &checkpoint_;
    std::vector<PeerDatagram> datagrams_;
    std::size_t bytes_ = 0;
};
} // namespace

std::uint64_t hashOf(const OrganisationId &organisation)
{
    constexpr std::size_t digits = 16;
    constexpr int hexadecimal = 16;
    // A digest that is resistant to collisions: one would add up the counts of two organisations.
    return std::stoull(sha256Hex(organisation.value()).substr(0, digits), nullptr, hexadecimal);
}

std::vector<PeerDatagram> batchUsageNotices(const RegionId &region, const std::vector<UsageNotice> &notices, const Checkpoint &checkpoint)
{
    UsageBatches batches(region, checkpoint);
    for (const UsageNotice &notice : notices) {
        if (notice.process.value().size() <= MAX_USAGE_PROCESS_BYTES) {
            batches.add(notice);
        }
    }
    return batches.take();
}

} // namespace mimosatally::internal
