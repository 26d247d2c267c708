#pragma once

#include <mimosatally/Core>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace mimosatally
{

/// \brief Identity of one crash: hash of an endpoint's id and the start of its incarnation, 56 bits. Each process that sees the crash derives the same value.
using CrashId = std::uint64_t;

/// \brief Returns the identity of the crash of an endpoint's incarnation.
[[nodiscard]] CrashId crashIdOf(const EndpointId &endpoint, std::int64_t startedAt);

/// \brief One crash and the position of a call at it in one number, as notices carry it: the identity, above it the position plus one in POSITION_STEP, zero if
/// the endpoint had not begun its answer.
using CrashMark = std::uint64_t;

/// \brief Times at which this process first heard of crashes, whatever they count against.
class CrashTimes
{
public:
    /// \brief Bounds the memory; the older half is forgotten at once.
    static constexpr std::size_t MAX_CRASHES = 1024;

    void record(CrashId crash, Time now);
    /// \brief Returns the start of the clock for a crash that was forgotten, so that all of these are one incident.
    [[nodiscard]] Time at(CrashId crash) const;

private:
    std::unordered_map<CrashId, Time> times_;
};

/// \brief The crashes at which calls with one suspect were in flight.
///
/// What crashes an endpoint does so at about the same position of its answers, and sound calls are in flight at any position. Endpoints that crash at the same
/// time are one incident, such as the loss of a data centre.
class CrashEvidence
{
public:
    /// \brief A crash later after the first byte of an answer is no evidence: an endpoint that a call crashes ends when it begins to write.
    static constexpr Duration MAX_POSITION = Duration(2000);
    /// \brief Crashes within this range of positions can have the same cause. The time between two events of an answer varies with the load.
    static constexpr Duration POSITION_RANGE = Duration(150);
    /// \brief Crashes within an answer that follow another one within this time are the same incident. Processes hear of simultaneous crashes within a round
    /// trip and the interval of their notices.
    static constexpr Duration INCIDENT_TIME = Duration(200);
    static constexpr std::size_t MAX_CRASHES = 8;

    /// \param sinceFirstByte time from the first byte of the answer to the crash; empty if the endpoint had not begun its answer.
    [[nodiscard]] static CrashMark mark(CrashId crash, std::optional<Duration> sinceFirstByte);
    [[nodiscard]] static CrashId crashOf(CrashMark mark);

    /// \brief Adds a crash. Of two calls in flight at one crash, the one that was less far counts. Without room, the crash whose loss changes the count least
    /// is dropped. \return whether anything has changed.
    bool add(CrashMark mark, const CrashTimes &times);
    void clear();
    /// \brief Removes the crashes that \a explained has too.
    void remove(const CrashEvidence &explained);

    [[nodiscard]] bool empty() const;
    [[nodiscard]] bool sharesCrash(const CrashEvidence &other) const;
    [[nodiscard]] std::vector<CrashMark> marks() const;

    /// \brief Returns how many crashes speak against the suspect: the largest number at about the same position, or half of all, whichever is more. Crashes
    /// before an answer has begun are at position zero and count each; the others of one incident count once.
    [[nodiscard]] std::size_t count(const CrashTimes &times) const;

private:
    struct Crash {
        Time time;
        Duration position = Duration(0);
        bool withinAnswer = false;
    };

    using Positions = std::map<CrashId, std::optional<Duration>>;

    [[nodiscard]] static std::size_t countIncidents(std::vector<Crash> crashes);
    [[nodiscard]] static std::size_t countOf(const Positions &positions, const CrashTimes &times);
    void dropLeastUseful(const CrashTimes &times);

    /// \brief Time from the first byte of the answer; empty if it had not begun.
    Positions positions_;
};

} // namespace mimosatally
