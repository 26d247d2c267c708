#include "forgetolder.h"

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
/// \brief Turns of a second of which older suspected parts are announced in one, to bound the datagrams.
constexpr std::uint64_t REMINDER_TURNS = 8;

Duration probeInterval(int probes)
{
    Duration interval = CrashSuspects::FIRST_PROBE_INTERVAL;
    for (int i = 0; i < probes && interval < CrashSuspects::MAX_PROBE_INTERVAL; ++i) {
        interval *= PROBE_INTERVAL_FACTOR;
    }
    return std::min(interval, CrashSuspects::MAX_PROBE_INTERVAL);
}
} // namespace

std::vector<SuspectId> sharedParts(std::span<const PromptPart> parts)
{
    std::vector<SuspectId> result;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        result.push_back(suspectOfPart(parts[i].id));
    }
    return result;
}

CrashSuspects::CrashSuspects(std::uint64_t seed)
    : seed_(seed)
{
}

CrashSuspects::Entry &CrashSuspects::entryOf(SuspectId suspect, Time now)
{
    if (entries_.size() >= MAX_ENTRIES && !entries_.contains(suspect)) {
        forgetOldest();
    }
    Entry &entry = entries_[suspect];
    entry.lastUsed = now;
    return entry;
}

void CrashSuspects::forgetOldest()
{
    std::vector<std::pair<Time, SuspectId>> unsuspected;
    unsuspected.reserve(entries_.size());
    for (const auto &[suspect, entry] : entries_) {
        if (!suspects_.contains(suspect)) {
            unsuspected.emplace_back(entry.lastUsed, suspect);
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

void CrashSuspects::recordCall(std::span<const SuspectId> parts, Time now)
{
    std::size_t position = 0;
    for (const SuspectId part : parts) {
        Entry &entry = entryOf(part, now);
        ++entry.calls;
        entry.position = std::max(entry.position, position++);
    }
    recordParents(parts);
}

void CrashSuspects::recordParents(std::span<const SuspectId> suspects)
{
    SuspectId parent = 0;
    for (const SuspectId suspect : suspects) {
        const auto found = entries_.find(suspect);
        if (found != entries_.end()) {
            found->second.parent = parent;
            found->second.parentKnown = true;
        }
        parent = suspect;
    }
}

std::vector<SuspectId> CrashSuspects::recordAnswered(std::span<const SuspectId> suspects, Time now)
{
    std::vector<SuspectId> cleared;
    for (const SuspectId suspect : suspects) {
        if (isRequestSuspect(suspect) && !suspects_.contains(suspect)) {
            rememberAnswered(suspect, now);
            continue;
        }
        if (clear(suspect, entryOf(suspect, now), now)) {
            cleared.push_back(suspect);
        }
    }
    return cleared;
}

void CrashSuspects::rememberAnswered(SuspectId request, Time now)
{
    if (answeredRequests_.size() >= MAX_ANSWERED_REQUESTS && !answeredRequests_.contains(request)) {
        internal::forgetOlderHalf(answeredRequests_);
    }
    answeredRequests_[request] = now;
}

bool CrashSuspects::wasAnswered(SuspectId request, Time now) const
{
    const auto found = answeredRequests_.find(request);
    return found != answeredRequests_.end() && now - found->second < CLEARED_TIME;
}

bool CrashSuspects::dropSuspicion(SuspectId suspect, Entry &entry, Time now)
{
    entry.answeredAt = now;
    entry.crashes.clear();
    entry.evidence = 0;
    entry.blocked = false;
    entry.probes = 0;
    return suspects_.erase(suspect) > 0;
}

bool CrashSuspects::clear(SuspectId suspect, Entry &entry, Time now)
{
    if (!dropSuspicion(suspect, entry, now)) {
        return false;
    }
    entry.announceClearedUntil = now + ANNOUNCE_CLEARED_TIME;
    announceCleared_.insert(suspect);
    changed_ = true;
    return true;
}

std::vector<SuspectId> CrashSuspects::recordCrash(CrashId crash, std::span<const SuspectId> suspects, Time now, std::optional<Duration> sinceFirstByte)
{
    if (isBlocked(suspects)) {
        // What is blocked explains the crash.
        return {};
    }
    const CrashMark mark = CrashEvidence::mark(crash, sinceFirstByte);
    for (const SuspectId suspect : suspects) {
        changed_ = addCrashes(suspect, std::span(&mark, 1), now) || changed_;
    }
    recordParents(suspects);
    return blockReached(now);
}

bool CrashSuspects::addCrashes(SuspectId suspect, std::span<const CrashMark> crashes, Time now)
{
    for (const CrashMark crash : crashes) {
        crashTimes_.record(CrashEvidence::crashOf(crash), now);
    }
    const bool isNew = !suspects_.contains(suspect);
    if (crashes.empty() || wasAnswered(suspect, now)) {
        return false;
    }
    Entry &entry = entryOf(suspect, now);
    if (isCleared(entry, now)) {
        return false;
    }
    if (isNew && suspects_.size() >= MAX_SUSPECTS && !makeRoom(crashes.size())) {
        return false;
    }
    bool added = false;
    for (const CrashMark crash : crashes) {
        added = entry.crashes.add(crash, crashTimes_) || added;
    }
    entry.lastCrash = added ? now : entry.lastCrash;
    entry.evidence = entry.crashes.count(crashTimes_);
    if (isNew) {
        entry.suspicion = ++suspicions_;
        suspects_.insert(suspect);
    }
    return added;
}

bool CrashSuspects::makeRoom(std::size_t crashes)
{
    const auto weight = [this](SuspectId suspect) {
        const Entry &entry = entries_.at(suspect);
        return std::tuple(entry.blocked, entry.evidence, entry.suspicion);
    };
    const auto weakest = std::ranges::min_element(suspects_, {}, weight);
    Entry &entry = entries_.at(*weakest);
    if (entry.blocked || entry.evidence > crashes) {
        return false;
    }
    entry.crashes.clear();
    entry.evidence = 0;
    suspects_.erase(weakest);
    return true;
}

std::vector<SuspectId> CrashSuspects::decide(Time now)
{
    if (suspects_.empty()) {
        return {};
    }
    forgetOldSuspicions(now);
    return blockReached(now);
}

void CrashSuspects::forgetOldSuspicions(Time now)
{
    std::erase_if(suspects_, [this, now](SuspectId suspect) {
        Entry &entry = entries_.at(suspect);
        const Duration kept = isRequestSuspect(suspect) ? SUSPICION_TIME : PART_SUSPICION_TIME;
        const bool forgotten = !entry.blocked && now - entry.lastCrash >= kept;
        if (forgotten) {
            entry.crashes.clear();
            entry.evidence = 0;
        }
        return forgotten;
    });
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

std::optional<BlockedSuspect> CrashSuspects::check(std::span<const SuspectId> suspects, Time now)
{
    Entry *due = nullptr;
    for (const SuspectId suspect : suspects) {
        const auto found = entries_.find(suspect);
        if (found == entries_.end() || !found->second.blocked) {
            continue;
        }
        Entry &entry = found->second;
        if (now < entry.nextProbe || due != nullptr) {
            const Duration untilProbe = now < entry.nextProbe ? entry.nextProbe - now : FIRST_PROBE_INTERVAL;
            return BlockedSuspect {suspect, static_cast<int>(entry.evidence), untilProbe};
        }
        due = &entry;
    }
    if (due != nullptr) {
        block(*due, due->probes + 1, now);
        changed_ = true;
    }
    return std::nullopt;
}

bool CrashSuspects::isBlocked(std::span<const SuspectId> suspects) const
{
    return std::ranges::any_of(suspects, [this](SuspectId suspect) {
        const auto found = entries_.find(suspect);
        return found != entries_.end() && found->second.blocked;
    });
}

bool CrashSuspects::preventsRepeat(std::span<const SuspectId> suspects, bool answerBegun) const
{
    return std::ranges::any_of(suspects, [this, answerBegun](SuspectId suspect) {
        const std::size_t enoughForPart = answerBegun ? CRASHES_TO_BLOCK : 1;
        const std::size_t enough = isRequestSuspect(suspect) ? 2 : enoughForPart;
        return suspects_.contains(suspect) && crashesOf(suspect) >= enough;
    });
}

bool CrashSuspects::isSuspected(std::span<const SuspectId> suspects) const
{
    return std::ranges::any_of(suspects, [this](SuspectId suspect) {
        return suspects_.contains(suspect);
    });
}

bool CrashSuspects::suspectsRequests() const
{
    return !suspects_.empty() && isRequestSuspect(*suspects_.rbegin());
}

std::vector<SuspectNotice> CrashSuspects::notices(std::size_t maxNotices, Time now)
{
    std::erase_if(announceCleared_, [&](SuspectId suspect) {
        return entries_.at(suspect).announceClearedUntil <= now;
    });
    std::vector<SuspectId> order(suspects_.begin(), suspects_.end());
    std::ranges::sort(order, std::greater(), [this](SuspectId suspect) {
        const Entry &entry = entries_.at(suspect);
        return std::tuple(entry.blocked, entry.evidence, entry.suspicion);
    });
    std::vector<SuspectNotice> result;
    const auto turn = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
    for (const SuspectId suspect : order) {
        const Entry &entry = entries_.at(suspect);
        // A part that another process has an answer for is cleared by its reply, so older ones are still told now and then.
        const bool isReminder = !isRequestSuspect(suspect) && (suspect + static_cast<std::uint64_t>(turn)) % REMINDER_TURNS == 0;
        if (!entry.blocked && !isReminder && now - entry.lastCrash >= ANNOUNCE_SUSPECT_TIME) {
            continue;
        }
        SuspectNotice notice;
        notice.suspect = suspect;
        notice.state = entry.blocked ? SuspectNotice::State::Blocked : SuspectNotice::State::Suspect;
        notice.crashes = entry.crashes.marks();
        notice.probes = entry.probes;
        notice.sinceProbe = entry.blocked ? now - entry.probedAt : Duration(0);
        result.push_back(std::move(notice));
    }
    for (const SuspectId suspect : announceCleared_) {
        SuspectNotice notice;
        notice.suspect = suspect;
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
    Entry &entry = entryOf(notice.suspect, now);
    if (notice.state == SuspectNotice::State::Cleared) {
        dropSuspicion(notice.suspect, entry, now);
        return false;
    }
    if (isCleared(entry, now)) {
        // This process has an answer that shows the suspect to be sound; the sender learns it from the next notice.
        entry.announceClearedUntil = now + ANNOUNCE_CLEARED_TIME;
        changed_ = announceCleared_.insert(notice.suspect).second || changed_;
        return false;
    }
    const bool wasBlocked = entry.blocked;
    addCrashes(notice.suspect, notice.crashes, now);
    if (!suspects_.contains(notice.suspect)) {
        return false;
    }
    if (notice.state == SuspectNotice::State::Blocked && (!entry.blocked || notice.probes > entry.probes)) {
        block(entry, notice.probes, now - notice.sinceProbe);
        explainCrashes(entry);
    }
    blockReached(now);
    return entry.blocked && !wasBlocked;
}

std::vector<BlockedSuspect> CrashSuspects::blocked(Time now) const
{
    std::vector<BlockedSuspect> result;
    for (const SuspectId suspect : suspects_) {
        const Entry &entry = entries_.at(suspect);
        if (entry.blocked) {
            result.push_back({suspect, static_cast<int>(entry.evidence), std::max(entry.nextProbe - now, Duration(0))});
        }
    }
    return result;
}

std::size_t CrashSuspects::suspectCount() const
{
    return suspects_.size();
}

std::size_t CrashSuspects::crashesOf(SuspectId suspect) const
{
    const auto found = entries_.find(suspect);
    return found == entries_.end() ? 0 : found->second.evidence;
}

} // namespace mimosatally
