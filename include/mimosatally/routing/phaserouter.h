#pragma once

#include <mimosatally/Serving>

#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace mimosatally
{

/// \brief Where a process stands, and the region of each data centre.
struct NetworkLocation {
    DataCentreId dataCentre;
    std::map<DataCentreId, RegionId> regions;

    /// \brief Region of \a other; empty if it is not known.
    [[nodiscard]] RegionId regionOf(const DataCentreId &other) const;
};

/// \brief What a call needs from the endpoints of its service.
struct PlacementRequest {
    ServiceId service;
    Tokens promptTokens;
    std::vector<PromptPart> promptParts;
    /// \brief Endpoints that this call must not be sent to again.
    std::vector<EndpointId> excluded;
};

/// \brief Why an engine is expected to have the beginning of a prompt.
enum class CacheBelief {
    None,
    /// \brief This process has sent the same beginning there, and it fits into the engine's memory.
    Sent,
    /// \brief All processes prefer this engine of the whole fleet for the shared parts.
    FleetHome,
    /// \brief All processes prefer this engine of its region for the shared parts.
    RegionHome,
};
constexpr std::size_t CACHE_BELIEFS = 4;

/// \brief Leading tokens of a prompt that an engine probably need not read.
struct CachedPrefix {
    Tokens tokens;
    CacheBelief belief = CacheBelief::None;
};

/// \brief The endpoints for one call, with the figures that led to the choice.
struct Placement {
    /// \brief Engine that reads the prompt; nothing if the running endpoint reads it itself.
    std::optional<EndpointId> prefill;
    /// \brief Nothing if no endpoint of the service may get the call.
    std::optional<EndpointId> run;
    /// \brief Predicted time from now to the first byte of the answer.
    double firstByteMs = 0;
    /// \brief Part of that time that the call waits behind other work.
    double queueMs = 0;
    /// \brief Beginning of the prompt that the reading engine is expected to have or to fetch.
    CachedPrefix cache;
    /// \brief Engine from which the reading engine fetches more of the prompt than it has itself.
    std::optional<EndpointId> cacheSource;
    std::string_view reason = "no-endpoint";
    /// \brief Set if there is no endpoint only because all want nothing for so long.
    std::optional<Duration> retryAfter;
};

/// \brief What an answer said of its endpoint besides its load, as far as it was not known.
struct EndpointNews {
    bool newlyLeaving = false;
    /// \brief The endpoint wants nothing from this process for so long.
    std::optional<Duration> pause;
};

/// \brief Work of one attempt at one endpoint.
enum class AttemptWork {
    /// \brief Reads the prompt for another engine.
    Prefill,
    /// \brief Generates from a prompt that another engine has read, or runs a plain call.
    Run,
    /// \brief Reads the prompt and generates.
    PrefillAndRun,
};

/// \brief One attempt at one endpoint.
struct AttemptPlan {
    EndpointId endpoint;
    AttemptWork work = AttemptWork::Run;
    /// \brief Beginning of the prompt that the endpoint is expected to have or to fetch.
    CachedPrefix cache = CachedPrefix();
    /// \brief Engine that has read the prompt and keeps it for this attempt; empty if none does.
    EndpointId promptSource = EndpointId();
};

/// \brief Beginning of a prompt up to the end of one of its parts.
struct PromptPrefix {
    std::uint64_t hash = 0;
    /// \brief Tokens of the last part.
    Tokens tokens;
};

/// \brief A prompt that one process has sent to an engine for reading, for the predictions of the others.
struct ReadingNotice {
    /// \brief Hash of the endpoint's id.
    std::uint64_t endpoint = 0;
    std::int64_t startedAt = 0;
    /// \brief Engine time that the reading is expected to take.
    double readingMs = 0;
    /// \brief Time since the prompt was sent.
    Duration age = Duration(0);
    std::vector<PromptPrefix> prefixes;
};

/// \brief How an attempt ended, as far as the endpoint's health is concerned.
enum class AttemptOutcome {
    Answered,
    /// \brief The endpoint ran the call and answered with a failure of its own.
    AnsweredFailure,
    /// \brief Rejected by the endpoint before it ran.
    Rejected,
    /// \brief Failed by the endpoint itself, or cut off.
    Failed,
    /// \brief No byte came in time.
    Silent,
    /// \brief Ended by the caller or by its deadline; says nothing of the endpoint.
    Abandoned,
};

/// \brief What the engines of a service take for their work, as a process has learned it.
struct EngineTimes {
    /// \brief Attempts that it was learned from.
    std::uint64_t samples = 0;
    /// \brief Fixed delay of a reading's answer, and time for a thousand tokens and a million pairs of tokens.
    double readingFixedMs = 0;
    double readingMsPerThousandTokens = 0;
    double readingMsPerMillionPairs = 0;
    /// \brief Time for a thousand tokens beside running generations.
    double decodeReadingMsPerThousandTokens = 0;
    /// \brief From the arrival of a prompt's cache to the first event.
    double firstEventMs = 0;
    double generationMs = 0;
    /// \brief Probability that an engine has what was sent there, and what all processes prefer it for in the fleet and in its region.
    double sentHit = 0;
    double fleetHomeHit = 0;
    double regionHomeHit = 0;
};

/// \brief Places calls on endpoints that are called directly, with prefill and decode on different engines where that is faster.
///
/// A core without I/O. Several processes place calls on the same endpoints; each knows its own attempts exactly, and the others'
/// work from the loads that endpoints report with their answers.
class PhaseRouter
{
public:
    /// \brief Identifies an attempt between its begin and its end.
    using Ticket = std::uint64_t;

    PhaseRouter(NetworkLocation location, std::uint64_t seed);
    ~PhaseRouter();
    PhaseRouter(PhaseRouter &&) noexcept;
    PhaseRouter &operator=(PhaseRouter &&) noexcept;

    /// \brief Replaces the fleet; what is known about endpoints that stay is kept.
    void setEndpoints(const std::map<EndpointId, EndpointRecord> &endpoints, const ServingConfiguration &configuration, Time now);

    [[nodiscard]] Placement place(const PlacementRequest &request, Time now) const;

    /// \brief Chooses the generating engine once more after \a reader has read the prompt, which may have taken seconds.
    [[nodiscard]] Placement placeRun(const PlacementRequest &request, const EndpointId &reader, Time now) const;

    /// \brief Counts an attempt that is being sent.
    Ticket begin(const AttemptPlan &plan, const PlacementRequest &request, Time now);

    /// \brief The first byte of the answer arrived; reading the prompt is over.
    void firstByte(Ticket ticket, Time now);

    void end(Ticket ticket, AttemptOutcome result, Time now);

    /// \brief Takes from the head of an attempt's answer what it says of the endpoint. News of an earlier incarnation is ignored.
    EndpointNews observeAnswer(Ticket ticket, const EndpointAnswer &answer, Time now);

    /// \brief Readings that have begun since the last call; the oldest are dropped if nobody takes them.
    std::vector<ReadingNotice> takeReadingNotices(Time now);

    /// \brief Another process has sent a prompt to an engine. Notices on unknown endpoints or other incarnations are ignored.
    void noteReading(const ReadingNotice &notice, Time now);

    /// \brief Other processes tell their readings. While they do, reports of load say nothing more about reading engines.
    void notePeers(Time now);

    /// \brief Load that came with an answer.
    void reportLoad(const EndpointId &endpoint, const ReportedLoad &load, Time now);

    /// \brief Mean number of requests of other processes that wait at an engine of a phase, by the reports of the last second.
    [[nodiscard]] double meanWaiting(const ServiceId &service, EnginePhase phase, Time now) const;

    /// \brief What was learned of the engines of each service.
    [[nodiscard]] std::map<ServiceId, EngineTimes> engineTimes() const;

    /// \brief Address of an endpoint; nothing if it is gone.
    [[nodiscard]] const EndpointRecord *record(const EndpointId &endpoint) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace mimosatally
