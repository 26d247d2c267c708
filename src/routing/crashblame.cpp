#include <mimosatally/Routing>

#include <algorithm>

namespace mimosatally
{

namespace
{
/// \brief Prompts have a few parts; also bounds the search if callers send the same parts in different orders.
constexpr int MAX_PARENTS = 16;
/// \brief A part with more calls for each crash is one that many sound calls have.
constexpr std::uint64_t CALLS_PER_CRASH_IF_COMMON = 4;
} // namespace

std::vector<SuspectId> CrashSuspects::decidedRequests(Time now) const
{
    std::vector<SuspectId> leading;
    std::size_t most = 0;
    std::size_t second = 0;
    for (auto suspect = suspects_.lower_bound(REQUEST_SUSPECT_BIT); suspect != suspects_.end(); ++suspect) {
        const Entry &entry = entries_.at(*suspect);
        const std::size_t crashes = entry.evidence;
        if (entry.blocked || crashes < most) {
            second = entry.blocked ? second : std::max(second, crashes);
            continue;
        }
        if (crashes > most) {
            second = most;
            most = crashes;
            leading.clear();
        }
        leading.push_back(*suspect);
    }
    if (most < CRASHES_TO_BLOCK) {
        return {};
    }
    const bool settled = most >= second + 2 || now - entries_.at(leading.front()).lastCrash >= SETTLE_TIME;
    const bool decided = leading.size() == 1 || most >= CRASHES_TO_BLOCK_TIED;
    // A sound request that its caller repeats can be in flight at each crash that a part of other prompts causes.
    std::erase_if(leading, [this, now](SuspectId request) {
        return entries_.at(request).parentKnown && !leadsParts(request, now);
    });
    return settled && decided ? leading : std::vector<SuspectId>();
}

std::vector<SuspectId> CrashSuspects::unblockedParts() const
{
    std::vector<SuspectId> parts;
    std::copy_if(suspects_.begin(), suspects_.lower_bound(REQUEST_SUSPECT_BIT), std::back_inserter(parts), [this](SuspectId suspect) {
        return !entries_.at(suspect).blocked;
    });
    return parts;
}

bool CrashSuspects::isNarrower(SuspectId first, SuspectId second) const
{
    const Entry &a = entries_.at(first);
    const Entry &b = entries_.at(second);
    return a.calls < b.calls || (a.calls == b.calls && a.position > b.position);
}

bool CrashSuspects::isInSamePrompt(SuspectId first, SuspectId second) const
{
    const auto standsBefore = [this](SuspectId earlier, SuspectId later) {
        for (int i = 0; i < MAX_PARENTS; ++i) {
            const auto found = entries_.find(later);
            if (found == entries_.end() || found->second.parent == 0) {
                return false;
            }
            later = found->second.parent;
            if (later == earlier) {
                return true;
            }
        }
        return false;
    };
    return standsBefore(first, second) || standsBefore(second, first);
}

bool CrashSuspects::leadsParts(SuspectId suspect, Time now) const
{
    const Entry &entry = entries_.at(suspect);
    const bool settled = now - entry.lastCrash >= SETTLE_TIME;
    return std::ranges::none_of(unblockedParts(), [&](SuspectId rival) {
        const Entry &other = entries_.at(rival);
        const bool sharesCrash = entry.crashes.sharesCrash(other.crashes);
        if (rival == suspect || !sharesCrash || isInSamePrompt(suspect, rival)) {
            return false;
        }
        // If this process had no call with one of them, it cannot know whether they stand in the same prompts. The part that all prompts begin with must not be
        // blocked in place of a narrower one that only other processes have seen.
        const bool isCommon = entry.calls > entry.evidence * CALLS_PER_CRASH_IF_COMMON;
        if (isCommon && !other.parentKnown && (!settled || other.evidence + 1 >= CRASHES_TO_BLOCK)) {
            return true;
        }
        const bool canTie = entry.parentKnown && other.parentKnown && entry.evidence >= CRASHES_TO_BLOCK_TIED;
        const std::size_t lead = settled ? 1 : 2;
        return entry.evidence < other.evidence + (canTie ? 0 : lead);
    });
}

std::vector<SuspectId> CrashSuspects::decidedParts(Time now) const
{
    std::vector<SuspectId> reached = unblockedParts();
    std::erase_if(reached, [this](SuspectId part) {
        return entries_.at(part).evidence < CRASHES_TO_BLOCK;
    });
    std::vector<SuspectId> decided;
    std::ranges::copy_if(reached, std::back_inserter(decided), [&](SuspectId part) {
        const bool isNarrowest = std::ranges::none_of(reached, [&](SuspectId other) {
            return isNarrower(other, part) && isInSamePrompt(other, part);
        });
        return isNarrowest && leadsParts(part, now);
    });
    return decided;
}

std::vector<SuspectId> CrashSuspects::narrowestReached(Time now) const
{
    std::vector<SuspectId> requests = decidedRequests(now);
    return requests.empty() ? decidedParts(now) : requests;
}

std::vector<SuspectId> CrashSuspects::blockReached(Time now)
{
    std::vector<SuspectId> newlyBlocked;
    for (std::vector<SuspectId> next = narrowestReached(now); !next.empty(); next = narrowestReached(now)) {
        for (const SuspectId suspect : next) {
            block(entries_.at(suspect), 0, now);
            newlyBlocked.push_back(suspect);
        }
        for (const SuspectId suspect : next) {
            explainCrashes(entries_.at(suspect));
        }
        changed_ = true;
    }
    return newlyBlocked;
}

void CrashSuspects::explainCrashes(const Entry &blocked)
{
    for (const SuspectId suspect : suspects_) {
        Entry &other = entries_.at(suspect);
        if (!other.blocked) {
            other.crashes.remove(blocked.crashes);
            other.evidence = other.crashes.count(crashTimes_);
        }
    }
    std::erase_if(suspects_, [this](SuspectId suspect) {
        return entries_.at(suspect).crashes.empty();
    });
}

} // namespace mimosatally
