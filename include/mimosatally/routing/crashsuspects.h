#pragma once

#include "crashevidence.h"

#include <mimosatally/Core>
#include <mimosatally/serving/callrequest.h>

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace mimosatally
{

/// \brief What calls can have in common that crashes endpoints: a part of their prompts, or all of one request. The highest bit tells which.
using SuspectId = std::uint64_t;

constexpr SuspectId REQUEST_SUSPECT_BIT = SuspectId(1) << 63U;

/// \brief Returns the suspect for a part that prompts share.
[[nodiscard]] constexpr SuspectId suspectOfPart(std::uint64_t part)
{
    return part & ~REQUEST_SUSPECT_BIT;
}

/// \brief Returns the suspect for a request with this hash of what identifies it; see requestHash().
[[nodiscard]] constexpr SuspectId suspectOfRequest(std::uint64_t hash)
{
    return hash | REQUEST_SUSPECT_BIT;
}

[[nodiscard]] constexpr bool isRequestSuspect(SuspectId suspect)
{
    return (suspect & REQUEST_SUSPECT_BIT) != 0;
}

/// \brief Returns the suspects for the parts that a prompt shares with others, all but the last, in their order.
[[nodiscard]] std::vector<SuspectId> sharedParts(std::span<const PromptPart> parts);

/// \brief What one process tells the others about a suspect.
struct SuspectNotice {
    enum class State {
        Suspect,
        /// \brief Calls with the suspect are refused.
        Blocked,
        /// \brief A call with the suspect was answered as a whole.
        Cleared,
    };

    SuspectId suspect = 0;
    State state = State::Suspect;
    std::vector<CrashMark> crashes;
    /// \brief Number of test calls since the suspect was blocked.
    int probes = 0;
    /// \brief Time since the suspect was blocked or last tested.
    Duration sinceProbe = Duration(0);
};

/// \brief What calls are refused for, for logs and metrics.
struct BlockedSuspect {
    SuspectId suspect = 0;
    int crashes = 0;
    /// \brief Time until the next test call.
    Duration retryAfter = Duration(0);
};

/// \brief Finds what crashes each endpoint that begins to run it, a part of prompts or a whole request, and stops the calls that have it.
///
/// Evidence against a suspect are the crashes of endpoints that were running a call with it, as CrashEvidence counts them; a suspect of which a call was
/// answered as a whole is cleared. CRASHES_TO_BLOCK different crashes block a suspect. Calls that ended together with an endpoint are many at first, so only
/// the narrowest suspect that has reached the number is blocked, and the crashes that it explains no longer count against the others.
///
/// Of suspects in one prompt the narrowest is the request, then the part that the fewest calls have, then the one that stands last. Of suspects of
/// different calls that share a crash, the one with the most crashes is blocked. Since the calls that were in flight at a crash are recorded one after the
/// other, a suspect that leads by one crash is blocked only SETTLE_TIME after its last, and those with the same number only at CRASHES_TO_BLOCK_TIED. The
/// last part of a prompt belongs to one request or session; the request stands for it.
///
/// Parts are counted with each call. Of requests only the time of the last whole answer is known before their first crash: a text that many callers send is in
/// flight at each of several endpoints that a data centre loses at once.
///
/// Each process decides alone, from its own evidence and that of the others' notices. What is blocked is tested by one call at a growing interval.
class CrashSuspects
{
public:
    /// \brief An endpoint or two may crash by coincidence while a call is there.
    static constexpr std::size_t CRASHES_TO_BLOCK = 3;
    /// \brief Suspects that were in flight at the same crashes are told apart by further ones; with this number all of them are blocked.
    static constexpr std::size_t CRASHES_TO_BLOCK_TIED = 5;
    /// \brief Time in which all gateways have told each other which calls were in flight at a crash.
    static constexpr Duration SETTLE_TIME = Duration(300);
    /// \brief Bounds the memory to less than 2 MB; the entries that were not used for longest are forgotten first.
    static constexpr std::size_t MAX_ENTRIES = 8192;
    /// \brief Bounds the memory for answered requests to about 0.5 MB; the half that was answered first is forgotten at once.
    static constexpr std::size_t MAX_ANSWERED_REQUESTS = 8192;
    /// \brief Bounds the suspects, whatever callers invent. An engine can end with hundreds of calls in flight. When there is no room, the one with the
    /// fewest crashes that was seen first is dropped.
    static constexpr std::size_t MAX_SUSPECTS = 1024;
    static constexpr std::size_t MAX_CRASHES_PER_SUSPECT = CrashEvidence::MAX_CRASHES;
    /// \brief Time for which an answer clears a part; a new version of a model may crash on a part that was sound before.
    static constexpr Duration CLEARED_TIME = std::chrono::minutes(5);
    /// \brief Time after its last crash for which a request that is not blocked is suspected; most that ended with an endpoint are sound and never come again.
    static constexpr Duration SUSPICION_TIME = std::chrono::minutes(10);
    /// \brief The same for a part, whose next call can come much later.
    static constexpr Duration PART_SUSPICION_TIME = std::chrono::hours(1);
    /// \brief Time after its last crash for which such a suspect is told to the other processes, several heartbeats.
    static constexpr Duration ANNOUNCE_SUSPECT_TIME = std::chrono::seconds(10);
    static constexpr Duration FIRST_PROBE_INTERVAL = std::chrono::seconds(30);
    static constexpr Duration MAX_PROBE_INTERVAL = std::chrono::hours(1);

    /// \param seed of the jitter that lets the processes test at different times.
    explicit CrashSuspects(std::uint64_t seed);

    /// \brief Counts a call with these shared parts.
    void recordCall(std::span<const SuspectId> parts, Time now);

    /// \brief Clears the suspects of a call that was answered as a whole. \return those that were suspected.
    std::vector<SuspectId> recordAnswered(std::span<const SuspectId> suspects, Time now);

    /// \brief Records that an endpoint crashed while it was running a call with \a suspects, the parts of its prompt in their order and then the request.
    /// \param sinceFirstByte time from the first byte of the answer to the crash; empty if the endpoint had not begun its answer.
    /// \return those that are blocked now and were not before.
    std::vector<SuspectId> recordCrash(CrashId crash, std::span<const SuspectId> suspects, Time now, std::optional<Duration> sinceFirstByte = std::nullopt);

    /// \brief Forgets what was suspected long ago, and blocks suspects whose evidence has settled; to be called several times a second. \return those that
    /// are blocked now and were not before.
    std::vector<SuspectId> decide(Time now);

    /// \brief Returns what a call with \a suspects is refused for; empty if it may be sent. Starts a test call when it is due.
    std::optional<BlockedSuspect> check(std::span<const SuspectId> suspects, Time now);

    /// \brief Returns whether one of \a suspects is blocked; starts no test call.
    [[nodiscard]] bool isBlocked(std::span<const SuspectId> suspects) const;

    /// \brief Returns whether a call with \a suspects may have crashed an endpoint, so that this process does not repeat it: a request after its second
    /// crash, since most requests that end with an endpoint are sound. A part prevents a repeat after its first crash, or after CRASHES_TO_BLOCK if the
    /// endpoint had begun its answer (\a answerBegun), since many sound answers are being written at any time.
    [[nodiscard]] bool preventsRepeat(std::span<const SuspectId> suspects, bool answerBegun) const;

    /// \brief Returns whether a crash counts against any of \a suspects.
    [[nodiscard]] bool isSuspected(std::span<const SuspectId> suspects) const;

    /// \brief Returns whether any request is suspected; if none is, requests need not be identified.
    [[nodiscard]] bool suspectsRequests() const;

    /// \brief Returns what other processes must know: what was cleared, what is blocked, then the suspects with the most crashes and of these the newest.
    /// \param maxNotices upper limit of their number.
    [[nodiscard]] std::vector<SuspectNotice> notices(std::size_t maxNotices, Time now);
    /// \brief Returns true once after each change that other processes must know at once.
    bool takeChanged();
    /// \return whether the suspect is blocked now and was not before.
    bool recordNotice(const SuspectNotice &notice, Time now);

    [[nodiscard]] std::vector<BlockedSuspect> blocked(Time now) const;
    /// \brief Returns the number of suspects, the blocked ones included.
    [[nodiscard]] std::size_t suspectCount() const;
    /// \brief Returns the number of crashes that count against a suspect.
    [[nodiscard]] std::size_t crashesOf(SuspectId suspect) const;

private:
    struct Entry {
        std::uint64_t calls = 0;
        /// \brief Last position of the part in a prompt. A part that stands later is shared by fewer prompts.
        std::size_t position = 0;
        /// \brief What stood before the suspect in the last call of this process that had it; 0 if nothing did.
        SuspectId parent = 0;
        /// \brief A call of this process had the suspect, so parent is known.
        bool parentKnown = false;
        Time lastUsed;
        std::optional<Time> answeredAt;
        CrashEvidence crashes;
        /// \brief Number of crashes that count.
        std::size_t evidence = 0;
        Time lastCrash;
        /// \brief Grows with each suspect, so that the one seen first has the smallest.
        std::uint64_t suspicion = 0;
        bool blocked = false;
        int probes = 0;
        /// \brief Time at which the suspect was blocked or last tested.
        Time probedAt;
        Time nextProbe;
        /// \brief Until then, notices tell the others that the suspect was cleared.
        Time announceClearedUntil = Time::min();
    };

    Entry &entryOf(SuspectId suspect, Time now);
    [[nodiscard]] static bool isCleared(const Entry &entry, Time now);
    void forgetOldSuspicions(Time now);
    void rememberAnswered(SuspectId request, Time now);
    [[nodiscard]] bool wasAnswered(SuspectId request, Time now) const;
    /// \brief Remembers what stands before each of \a suspects.
    void recordParents(std::span<const SuspectId> suspects);
    bool addCrashes(SuspectId suspect, std::span<const CrashMark> crashes, Time now);
    /// \brief Drops the unblocked suspect with the fewest crashes that was seen first. \return whether there was one with no more than \a crashes.
    bool makeRoom(std::size_t crashes);
    std::vector<SuspectId> blockReached(Time now);
    /// \brief Returns the suspects to block next; several if they cannot be told apart.
    [[nodiscard]] std::vector<SuspectId> narrowestReached(Time now) const;
    [[nodiscard]] std::vector<SuspectId> decidedRequests(Time now) const;
    /// \brief Returns the parts to block next; empty if none has enough crashes or their evidence has not settled.
    [[nodiscard]] std::vector<SuspectId> decidedParts(Time now) const;
    /// \brief Returns whether one of the two stands before the other in prompts.
    [[nodiscard]] bool isInSamePrompt(SuspectId first, SuspectId second) const;
    /// \brief Returns whether fewer calls have \a first than \a second, or, if their numbers are equal, whether it stands later in prompts.
    [[nodiscard]] bool isNarrower(SuspectId first, SuspectId second) const;
    /// \brief Returns whether \a suspect has more crashes than each part of other prompts that shares a crash with it.
    [[nodiscard]] bool leadsParts(SuspectId suspect, Time now) const;
    [[nodiscard]] std::vector<SuspectId> unblockedParts() const;
    /// \brief Takes the crashes that a blocked suspect explains from the others.
    void explainCrashes(const Entry &blocked);
    void block(Entry &entry, int probes, Time probedAt);
    /// \brief Clears a suspect because of an answer to this process, which it announces.
    bool clear(SuspectId suspect, Entry &entry, Time now);
    bool dropSuspicion(SuspectId suspect, Entry &entry, Time now);
    void forgetOldest();

    std::unordered_map<SuspectId, Entry> entries_;
    /// \brief Those with crashes against them; a subset of the keys of entries_. Requests stand last.
    std::set<SuspectId> suspects_;
    std::set<SuspectId> announceCleared_;
    /// \brief Requests that are not suspected, with the time of their last whole answer.
    std::unordered_map<SuspectId, Time> answeredRequests_;
    CrashTimes crashTimes_;
    std::uint64_t seed_;
    std::uint64_t suspicions_ = 0;
    bool changed_ = false;
};

} // namespace mimosatally
