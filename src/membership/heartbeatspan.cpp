#include <mimosatally/membership/heartbeatspan.h>

#include <algorithm>

namespace mimosatally
{

void HeartbeatSpan::add(const EndpointRecord &record)
{
    Counted &counted = endpoints_[record.id];
    const EndpointRecord &last = counted.last;
    const std::size_t place = size_++;
    const bool sameStart = last.startedAt == record.startedAt && last.heartbeat && record.heartbeat;
    if (sameStart && *record.heartbeat < *last.heartbeat) {
        // An older record, after a newer one that another gateway has told: the heartbeats between them would count twice.
        return;
    }
    // Records that tell of a change are written between the regular ones.
    const bool regular = sameStart && last.leaving == record.leaving && last.phase == record.phase && *record.heartbeat > *last.heartbeat;
    if (regular) {
        counted.regular.push_back(place);
    }
    counted.last = record;
}

std::size_t HeartbeatSpan::size() const
{
    return size_;
}

int HeartbeatSpan::intervals() const
{
    std::size_t longest = 0;
    for (const auto &[id, counted] : endpoints_) {
        longest = std::max(longest, counted.regular.size());
    }
    return static_cast<int>(longest);
}

int HeartbeatSpan::intervalsAfter(std::size_t mark) const
{
    std::ptrdiff_t most = 0;
    for (const auto &[id, counted] : endpoints_) {
        most = std::max(most, counted.regular.end() - std::ranges::lower_bound(counted.regular, mark));
    }
    // The first heartbeat may have been written at once after the mark.
    return static_cast<int>(std::max<std::ptrdiff_t>(most - 1, 0));
}

} // namespace mimosatally
