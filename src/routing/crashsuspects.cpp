#include <mimosatally/Routing>

#include <algorithm>
#include <functional>
#include <string>
#include <tuple>

namespace mimosatally
{

namespace
{
/// \brief Time for which a cleared part is announced, several heartbeats, since notices get lost.
constexpr Duration ANNOUNCE_CLEARED_TIME = Duration(5000);
constexpr int PROBE_INTERVAL_FACTOR = 4;

/// \brief Parts that other prompts can share: all but the last.
std::span<const PromptPart> sharedParts(std::span<const PromptPart> parts)
{
    return parts.empty() ? parts : parts.first(parts.size() - 1);
}

Duration probeInterval(int probes)
{
    Duration interval = CrashSuspects::FIRST_PROBE_INTERVAL;
    for (int i = 0; i < probes && interval < CrashSuspects::MAX_PROBE_INTERVAL; ++i) {
        interval *= PROBE_INTERVAL_FACTOR;
    }
    return std::min(interval, CrashSuspects::MAX_PROBE_INTERVAL);
}
} // namespace

CrashId crashIdOf(const EndpointId &endpoint, std::int64_t startedAt)
{
    return std::hash<std::string>()(endpoint.value() + '@' + std::to_string(startedAt));
}

CrashSuspects::CrashSuspects(std::uint64_t seed)
    : seed_(seed)
{
}

CrashSuspects::Entry &CrashSuspects::entryOf(std::uint64_t part, Time now)
{
    if (entries_.size() >= MAX_PARTS && !entries_.contains(part)) {
        forgetOldest();
    }
    Entry &entry = entries_[part];
    entry.lastUsed = now;
    return entry;
}

void CrashSuspects::forgetOldest()
{
    std::vector<std::pair<Time, std::uint64_t>> unsuspected;
    unsuspected.reserve(entries_.size());
    for (const auto &[part, entry] : entries_) {
        if (!suspects_.contains(part)) {
            unsuspected.emplace_back(entry.lastUsed, part);
        }
    }
    // Half of them at once, so that the search is rare.
    const auto middle = unsuspected.begin() + static_cast<std::ptrdiff_t>(unsuspected.size() / 2);
    std::nth_element(unsuspected.begin(), middle, unsuspected.end());
    std::for_each(unsuspected.begin(), middle, [this](const auto &item) {
        entries_.erase(item.second);
        announceCleared_.erase(item.second);
    });
}

bool CrashSuspects::isCleared(const Entry &entry, Time now)
{
    return entry.answeredAt && now - *entry.answeredAt < CLEARED_TIME;
}

void CrashSuspects::recordCall(std::span<const PromptPart> parts, Time now)
{
    std::size_t position = 0;
    for (const PromptPart &part : sharedParts(parts)) {
        Entry &entry = entryOf(part.id, now);
        ++entry.calls;
        entry.position = std::max(entry.position, position++);
    }
}

std::vector<std::uint64_t> CrashSuspects::recordAnswered(std::span<const PromptPart> parts, Time now)
{
    std::vector<std::uint64_t> cleared;
    for (const PromptPart &part : sharedParts(parts)) {
        if (clear(part.id, entryOf(part.id, now), now)) {
            cleared.push_back(part.id);
        }
    }
    return cleared;
}

bool CrashSuspects::dropSuspicion(std::uint64_t part, Entry &entry, Time now)
{
    entry.answeredAt = now;
    entry.crashes.clear();
    entry.blocked = false;
    entry.probes = 0;
    return suspects_.erase(part) > 0;
}

bool CrashSuspects::clear(std::uint64_t part, Entry &entry, Time now)
{
    if (!dropSuspicion(part, entry, now)) {
        return false;
    }
    entry.announceClearedUntil = now + ANNOUNCE_CLEARED_TIME;
    announceCleared_.insert(part);
    changed_ = true;
    return true;
}

std::vector<std::uint64_t> CrashSuspects::recordCrash(CrashId crash, std::span<const PromptPart> parts, Time now)
{
    const std::span<const PromptPart> shared = sharedParts(parts);
    if (isBlocked(parts)) {
        // The blocked part explains the crash.
        return {};
    }
    for (const PromptPart &part : shared) {
        changed_ = addCrashes(part.id, std::span(&crash, 1), now) || changed_;
    }
    return blockReachedParts(now);
}

bool CrashSuspects::addCrashes(std::uint64_t part, std::span<const CrashId> crashes, Time now)
{
    Entry &entry = entryOf(part, now);
    const bool full = suspects_.size() >= MAX_SUSPECTS && !suspects_.contains(part);
    if (isCleared(entry, now) || full || crashes.empty()) {
        return false;
    }
    bool added = false;
    for (const CrashId crash : crashes) {
        added = (entry.crashes.size() < MAX_CRASHES_PER_PART && entry.crashes.insert(crash).second) || added;
    }
    suspects_.insert(part);
    return added;
}

std::vector<std::uint64_t> CrashSuspects::blockReachedParts(Time now)
{
    std::vector<std::uint64_t> newlyBlocked;
    for (;;) {
        std::uint64_t rarest = 0;
        Entry *chosen = nullptr;
        for (const std::uint64_t part : suspects_) {
            Entry &entry = entries_.at(part);
            const bool reached = !entry.blocked && entry.crashes.size() >= CRASHES_TO_BLOCK;
            const bool rarer = chosen == nullptr || entry.calls < chosen->calls || (entry.calls == chosen->calls && entry.position > chosen->position);
            if (reached && rarer) {
                chosen = &entry;
                rarest = part;
            }
        }
        if (chosen == nullptr) {
            return newlyBlocked;
        }
        block(*chosen, 0, now);
        changed_ = true;
        newlyBlocked.push_back(rarest);
        for (const std::uint64_t part : suspects_) {
            Entry &other = entries_.at(part);
            if (!other.blocked) {
                std::erase_if(other.crashes, [chosen](CrashId crash) {
                    return chosen->crashes.contains(crash);
                });
            }
        }
        std::erase_if(suspects_, [this](std::uint64_t part) {
            return entries_.at(part).crashes.empty();
        });
    }
}

void CrashSuspects::block(Entry &entry, int probes, Time probedAt)
{
    const Duration interval = probeInterval(probes);
    entry.blocked = true;
    entry.probes = probes;
    entry.probedAt = probedAt;
    // A process tests up to half an interval later than another, and the first one tells the others.
    constexpr std::uint64_t steps = 1024;
    const auto step = static_cast<Duration::rep>((seed_ + static_cast<std::uint64_t>(probes)) % steps);
    entry.nextProbe = probedAt + interval + interval / 2 * step / static_cast<Duration::rep>(steps);
}

std::optional<BlockedPart> CrashSuspects::check(std::span<const PromptPart> parts, Time now)
{
    Entry *due = nullptr;
    for (const PromptPart &part : sharedParts(parts)) {
        const auto found = entries_.find(part.id);
        if (found == entries_.end() || !found->second.blocked) {
            continue;
        }
        Entry &entry = found->second;
        if (now < entry.nextProbe || due != nullptr) {
            const Duration untilProbe = now < entry.nextProbe ? entry.nextProbe - now : FIRST_PROBE_INTERVAL;
            return BlockedPart {part.id, static_cast<int>(entry.crashes.size()), untilProbe};
        }
        due = &entry;
    }
    if (due != nullptr) {
        block(*due, due->probes + 1, now);
        changed_ = true;
    }
    return std::nullopt;
}

bool CrashSuspects::isBlocked(std::span<const PromptPart> parts) const
{
    return std::ranges::any_of(sharedParts(parts), [this](const PromptPart &part) {
        const auto found = entries_.find(part.id);
        return found != entries_.end() && found->second.blocked;
    });
}

bool CrashSuspects::isSuspected(std::span<const PromptPart> parts) const
{
    return std::ranges::any_of(sharedParts(parts), [this](const PromptPart &part) {
        return suspects_.contains(part.id);
    });
}

std::vector<SuspectNotice> CrashSuspects::notices(std::size_t maxNotices, Time now)
{
    std::erase_if(announceCleared_, [&](std::uint64_t part) {
        return entries_.at(part).announceClearedUntil <= now;
    });
    std::vector<SuspectNotice> result;
    for (const std::uint64_t part : suspects_) {
        const Entry &entry = entries_.at(part);
        SuspectNotice notice;
        notice.part = part;
        notice.state = entry.blocked ? SuspectNotice::State::Blocked : SuspectNotice::State::Suspect;
        notice.crashes.assign(entry.crashes.begin(), entry.crashes.end());
        notice.probes = entry.probes;
        notice.sinceProbe = entry.blocked ? now - entry.probedAt : Duration(0);
        result.push_back(std::move(notice));
    }
    std::ranges::sort(result, std::greater(), [](const SuspectNotice &notice) {
        return std::tuple(notice.state == SuspectNotice::State::Blocked, notice.crashes.size(), notice.part);
    });
    for (const std::uint64_t part : announceCleared_) {
        SuspectNotice notice;
        notice.part = part;
        notice.state = SuspectNotice::State::Cleared;
        result.insert(result.begin(), notice);
    }
    result.resize(std::min(result.size(), maxNotices));
    return result;
}

bool CrashSuspects::takeChanged()
{
    return std::exchange(changed_, false);
}

bool CrashSuspects::recordNotice(const SuspectNotice &notice, Time now)
{
    Entry &entry = entryOf(notice.part, now);
    if (notice.state == SuspectNotice::State::Cleared) {
        dropSuspicion(notice.part, entry, now);
        return false;
    }
    if (isCleared(entry, now)) {
        // This process has an answer that shows the part to be sound; the sender learns it from the next notice.
        entry.announceClearedUntil = now + ANNOUNCE_CLEARED_TIME;
        changed_ = announceCleared_.insert(notice.part).second || changed_;
        return false;
    }
    const bool wasBlocked = entry.blocked;
    addCrashes(notice.part, notice.crashes, now);
    if (!suspects_.contains(notice.part)) {
        return false;
    }
    if (notice.state == SuspectNotice::State::Blocked && (!entry.blocked || notice.probes > entry.probes)) {
        block(entry, notice.probes, now - notice.sinceProbe);
    }
    blockReachedParts(now);
    return entry.blocked && !wasBlocked;
}

std::vector<BlockedPart> CrashSuspects::blockedParts(Time now) const
{
    std::vector<BlockedPart> result;
    for (const std::uint64_t part : suspects_) {
        const Entry &entry = entries_.at(part);
        if (entry.blocked) {
            result.push_back({part, static_cast<int>(entry.crashes.size()), std::max(entry.nextProbe - now, Duration(0))});
        }
    }
    return result;
}

std::size_t CrashSuspects::suspectCount() const
{
    return suspects_.size();
}

std::size_t CrashSuspects::crashesOf(std::uint64_t part) const
{
    const auto found = entries_.find(part);
    return found == entries_.end() ? 0 : found->second.crashes.size();
}

} // namespace mimosatally
