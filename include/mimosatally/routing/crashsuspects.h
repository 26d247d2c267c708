#pragma once

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

/// \brief Identity of one crash: hash of an endpoint's id and the start of its incarnation. Each process that sees the crash derives the same value.
using CrashId = std::uint64_t;

/// \brief Returns the identity of the crash of an endpoint's incarnation.
[[nodiscard]] CrashId crashIdOf(const EndpointId &endpoint, std::int64_t startedAt);

/// \brief What one process tells the others about a part of prompts.
struct SuspectNotice {
    enum class State {
        Suspect,
        /// \brief Calls with the part are refused.
        Blocked,
        /// \brief A call with the part was answered as a whole.
        Cleared,
    };

    std::uint64_t part = 0;
    State state = State::Suspect;
    std::vector<CrashId> crashes;
    /// \brief Number of test calls since the part was blocked.
    int probes = 0;
    /// \brief Time since the part was blocked or last tested.
    Duration sinceProbe = Duration(0);
};

/// \brief Part that calls are refused for, for logs and metrics.
struct BlockedPart {
    std::uint64_t part = 0;
    int crashes = 0;
    /// \brief Time until the next test call.
    Duration retryAfter = Duration(0);
};

/// \brief Finds the parts of prompts that crash each endpoint that begins to answer them, and stops calls that have them.
///
/// Evidence against a part are the crashes of endpoints that had not yet sent anything for a call with the part; a part of which a call was answered as
/// a whole is cleared. CRASHES_TO_BLOCK different crashes block a part. Calls of which no answer is known and that ended together with an endpoint are
/// many at first; of the parts that have reached the number, only the one that the fewest calls have is blocked, of equal ones the one that stands last in
/// the prompts, and the crashes that it explains no longer count against the others. The last part of a prompt belongs to one request or session and is never
/// suspected.
///
/// Each process decides alone, from its own evidence and that of the others' notices. A blocked part is tested by one call at a growing interval.
class CrashSuspects
{
public:
    /// \brief An endpoint or two may crash by coincidence while a call is there.
    static constexpr std::size_t CRASHES_TO_BLOCK = 3;
    /// \brief Bounds the memory to less than 2 MB; the parts that were not used for longest are forgotten first.
    static constexpr std::size_t MAX_PARTS = 8192;
    /// \brief Bounds the suspects, and with them the notices, whatever parts callers invent.
    static constexpr std::size_t MAX_SUSPECTS = 64;
    static constexpr std::size_t MAX_CRASHES_PER_PART = 8;
    /// \brief Time for which an answer clears a part; a new version of a model may crash on a part that was sound before.
    static constexpr Duration CLEARED_TIME = std::chrono::minutes(5);
    static constexpr Duration FIRST_PROBE_INTERVAL = std::chrono::seconds(30);
    static constexpr Duration MAX_PROBE_INTERVAL = std::chrono::hours(1);

    /// \param seed of the jitter that lets the processes test at different times.
    explicit CrashSuspects(std::uint64_t seed);

    /// \brief Counts a call with \a parts.
    void recordCall(std::span<const PromptPart> parts, Time now);

    /// \brief Clears the parts of a call that was answered as a whole. \return the parts that were suspected.
    std::vector<std::uint64_t> recordAnswered(std::span<const PromptPart> parts, Time now);

    /// \brief Records that an endpoint crashed before it sent anything for a call with \a parts. \return the parts that are blocked now and were not before.
    std::vector<std::uint64_t> recordCrash(CrashId crash, std::span<const PromptPart> parts, Time now);

    /// \brief Returns the blocked part of a prompt; empty if the call may be sent. Starts a test call when it is due.
    std::optional<BlockedPart> check(std::span<const PromptPart> parts, Time now);

    /// \brief Returns whether a part of a prompt is blocked; starts no test call.
    [[nodiscard]] bool isBlocked(std::span<const PromptPart> parts) const;

    /// \brief Returns whether a call with \a parts may have crashed an endpoint, so that it is not repeated.
    [[nodiscard]] bool isSuspected(std::span<const PromptPart> parts) const;

    /// \brief Returns what other processes must know, the blocked parts first. \param maxNotices upper limit of their number.
    [[nodiscard]] std::vector<SuspectNotice> notices(std::size_t maxNotices, Time now);
    /// \brief Returns true once after each change that other processes must know at once.
    bool takeChanged();
    /// \return whether the part is blocked now and was not before.
    bool recordNotice(const SuspectNotice &notice, Time now);

    [[nodiscard]] std::vector<BlockedPart> blockedParts(Time now) const;
    /// \brief Returns the number of suspected parts, the blocked ones included.
    [[nodiscard]] std::size_t suspectCount() const;
    /// \brief Returns the number of crashes that count against a part.
    [[nodiscard]] std::size_t crashesOf(std::uint64_t part) const;

private:
    struct Entry {
        std::uint64_t calls = 0;
        /// \brief Last position of the part in a prompt. A part that stands later is shared by fewer prompts.
        std::size_t position = 0;
        Time lastUsed;
        std::optional<Time> answeredAt;
        std::set<CrashId> crashes;
        bool blocked = false;
        int probes = 0;
        /// \brief Time at which the part was blocked or last tested.
        Time probedAt;
        Time nextProbe;
        /// \brief Until then, notices tell the others that the part was cleared.
        Time announceClearedUntil = Time::min();
    };

    Entry &entryOf(std::uint64_t part, Time now);
    [[nodiscard]] static bool isCleared(const Entry &entry, Time now);
    bool addCrashes(std::uint64_t part, std::span<const CrashId> crashes, Time now);
    std::vector<std::uint64_t> blockReachedParts(Time now);
    void block(Entry &entry, int probes, Time probedAt);
    /// \brief Clears a part because of an answer to this process, which it announces.
    bool clear(std::uint64_t part, Entry &entry, Time now);
    bool dropSuspicion(std::uint64_t part, Entry &entry, Time now);
    void forgetOldest();

    std::unordered_map<std::uint64_t, Entry> entries_;
    /// \brief Parts with crashes against them; a subset of the keys of entries_.
    std::set<std::uint64_t> suspects_;
    std::set<std::uint64_t> announceCleared_;
    std::uint64_t seed_;
    bool changed_ = false;
};

} // namespace mimosatally
