#pragma once

#include <mimosatally/Serving>

#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace mimosatally
{

/// \brief Data centre of a process, and the region of each data centre.
struct NetworkLocation {
    DataCentreId dataCentre;
    std::map<DataCentreId, RegionId> regions;

    /// \brief Returns the region of \a other; empty if it is unknown.
    [[nodiscard]] RegionId regionOf(const DataCentreId &other) const;
};

/// \brief Requirements of a call on the endpoints of its service.
struct PlacementRequest {
    ServiceId service;
    Tokens promptTokens;
    std::vector<PromptPart> promptParts;
    /// \brief Endpoints to which this call must not be sent again.
    std::vector<EndpointId> excluded;
    /// \brief Software version that the engines of the call must have, because an engine of this version wrote the events before; empty if any may run
    /// the call. No engine fits a version that is not known.
    std::optional<SoftwareVersion> version = std::nullopt;
    /// \brief The call begins a stream with this version, so it leaves the room that is kept for those that go on only there.
    bool beginsStream = false;
    /// \brief Slots of the service's endpoints that the call leaves free for more urgent calls.
    double reservedSlots = 0;
};

/// \brief Estimated use of the slots of all endpoints of a service that take calls.
struct ServiceSlots {
    double total = 0;
    /// \brief Running and waiting requests; more than `total` if requests wait.
    double requests = 0;
    double waiting = 0;
};

/// \brief Reason why an engine is expected to have a prompt prefix in its cache.
enum class CacheEstimate {
    None,
    /// \brief This process has sent the same prefix there, or a peer has announced it, and it fits into the engine's cache.
    Sent,
    /// \brief Prefix affinity: all processes prefer this engine of the whole fleet for the shared parts.
    FleetAffinity,
    /// \brief Prefix affinity: all processes prefer this engine of its region for the shared parts.
    RegionAffinity,
};
constexpr std::size_t CACHE_ESTIMATE_COUNT = 4;

/// \brief Leading tokens of a prompt that are probably in an engine's prefix cache.
struct CachedPrefix {
    Tokens tokens;
    CacheEstimate estimate = CacheEstimate::None;
};

/// \brief Endpoints for one call, with the estimates that led to the choice.
struct Placement {
    /// \brief Prefill engine; empty if the endpoint in `run` processes the prompt itself.
    std::optional<EndpointId> prefill;
    /// \brief Endpoint that runs the call; empty if no endpoint of the service may get it.
    std::optional<EndpointId> run;
    /// \brief Predicted time from now to the first byte of the answer.
    double firstByteMs = 0;
    /// \brief Part of `firstByteMs` that the call waits behind other work.
    double queueMs = 0;
    /// \brief Prompt prefix that the engine doing the prefill is expected to have or to fetch.
    CachedPrefix cache;
    /// \brief Engine from which the engine doing the prefill fetches a longer prefix than it has itself.
    std::optional<EndpointId> cacheSource;
    std::string_view reason = "no-endpoint";
    /// \brief Set if there is no endpoint because none of the required version is registered, apart from those that leave.
    bool versionGone = false;
    /// \brief Time until an endpoint is expected to take this call; set if there is no endpoint only because of pauses that endpoints have asked for
    /// or limits that they have named.
    std::optional<Duration> retryAfter;
    /// \brief No endpoint has a slot besides those that the call has to leave free.
    bool withinReserve = false;
};

/// \brief Change of the request limit that an endpoint names in its answers.
enum class LimitChange {
    None,
    Named,
    Changed,
    Ended,
};

/// \brief Request limit of one endpoint and this process's use of it.
struct RequestLimitUse {
    EndpointId endpoint;
    RequestRate limit;
    /// \brief Time since an answer last named the limit.
    Duration age = Duration(0);
    /// \brief The limit is known only from another process.
    bool fromPeer = false;
    /// \brief Part of the limit that this process may use, in requests per second.
    double ownPerSecond = 0;
    /// \brief Own prefill calls and other own calls of the last four seconds.
    int prefills = 0;
    int runs = 0;
};

/// \brief Request limit of an endpoint that one process knows, and the part of it that the process does not use at present. The others may use
/// that part for a short time, and they keep the limit also if the endpoint has not told them.
struct LimitNotice {
    /// \brief Hash of the endpoint's id.
    std::uint64_t endpoint = 0;
    std::int64_t startedAt = 0;
    RequestRate limit;
    /// \brief Time since an answer to the sender last named the limit.
    Duration age = Duration(0);
    RequestRate unused;
};

/// \brief New information about an endpoint from an answer, besides its load.
struct EndpointUpdate {
    LimitChange limitChange = LimitChange::None;
    /// \brief The answer names a limit that cannot be read, and no such answer was reported in the last seconds.
    bool limitUnreadable = false;
    /// \brief The answer reports a load that cannot be read, and no such answer was reported in the last seconds.
    bool loadUnreadable = false;
    bool newlyLeaving = false;
    /// \brief The endpoint has asked this process to send no calls for this time.
    std::optional<Duration> pause;
};

/// \brief Work of one attempt at one endpoint.
enum class AttemptWork {
    /// \brief Prefill for a decode on another engine.
    Prefill,
    /// \brief Decode after the prefill on another engine, or a plain call.
    Run,
    /// \brief Prefill and decode on the same engine.
    PrefillAndRun,
};

/// \brief Endpoint and work of one attempt.
struct AttemptPlan {
    EndpointId endpoint;
    AttemptWork work = AttemptWork::Run;
    /// \brief Prompt prefix that the endpoint is expected to have or to fetch.
    CachedPrefix cache = CachedPrefix();
    /// \brief Engine that has done the prefill and keeps its result for this attempt; empty if there is none.
    EndpointId promptSource = EndpointId();
};

/// \brief Prefix of a prompt that ends with one of its parts.
struct PromptPrefix {
    std::uint64_t hash = 0;
    /// \brief Tokens of the last part.
    Tokens tokens;
};

/// \brief Notifies the other processes that one process has sent a prompt to an engine; they predict the engine's queue from it.
struct PrefillNotice {
    /// \brief Hash of the endpoint's id.
    std::uint64_t endpoint = 0;
    std::int64_t startedAt = 0;
    /// \brief Expected engine time of the prefill.
    double prefillMs = 0;
    /// \brief Time since the prompt was sent.
    Duration age = Duration(0);
    std::vector<PromptPrefix> prefixes;
};

/// \brief Outcome of an attempt, as far as the endpoint's health is concerned.
enum class AttemptOutcome {
    Answered,
    /// \brief The endpoint ran the call and answered with its own error.
    AnsweredFailure,
    /// \brief Rejected by the endpoint before it ran.
    Rejected,
    /// \brief The endpoint failed or the connection was lost.
    Failed,
    /// \brief No byte was received before the timeout.
    TimedOut,
    /// \brief Ended by the caller or by its deadline; does not count for or against the endpoint.
    Abandoned,
};

/// \brief Times of the engines of a service, estimated by one process from its own attempts.
struct EngineTimes {
    /// \brief Attempts from which the times were estimated.
    std::uint64_t samples = 0;
    /// \brief Fixed delay of the answer to a prefill, and its time for a thousand tokens and for a million pairs of tokens.
    double prefillFixedMs = 0;
    double prefillMsPerThousandTokens = 0;
    double prefillMsPerMillionPairs = 0;
    /// \brief Prefill time for a thousand tokens on a decode engine, alongside running generations.
    double decodePrefillMsPerThousandTokens = 0;
    /// \brief Time from the arrival of a prompt's KV cache to the first event.
    double firstEventMs = 0;
    double generationMs = 0;
    /// \brief Probability of a cache hit for prefixes that were sent to the engine, and for those with affinity to it in the fleet or its region.
    double sentHit = 0;
    double fleetAffinityHit = 0;
    double regionAffinityHit = 0;
};

/// \brief Learned speeds of the endpoints of one service and phase; 1 is the speed that its learned times assume.
struct SpeedSummary {
    /// \brief Endpoints whose speed is measured.
    std::size_t measured = 0;
    double min = 1;
    double median = 1;
    double max = 1;
};

/// \brief Speed of one endpoint as a process uses it, with the age of what it is known from.
struct SpeedUse {
    /// \brief Learned speed relative to the mean of the service.
    double speed = 1;
    /// \brief Time since the last attempt from which the speed was learned; empty if there is none.
    std::optional<Duration> speedAge;
    /// \brief Time that work takes now relative to the usual one, from the endpoint's reports.
    double factor = 1;
    /// \brief Time since the last report; empty if there is none.
    std::optional<Duration> factorAge;
};

/// \brief Places calls on endpoints that are called directly, with prefill and decode on different engines where that is faster.
///
/// Performs no I/O. Several processes place calls on the same endpoints. Each knows its own attempts exactly, and estimates the work of the
/// others from their notices and from the loads that endpoints report with their answers.
class PhaseRouter
{
public:
    /// \brief Identifies an attempt between its begin and its end.
    using Ticket = std::uint64_t;

    PhaseRouter(NetworkLocation location, std::uint64_t seed);
    ~PhaseRouter();
    PhaseRouter(PhaseRouter &&) noexcept;
    PhaseRouter &operator=(PhaseRouter &&) noexcept;

    /// \brief Replaces the fleet; the state of endpoints that remain is kept.
    void setEndpoints(const std::map<EndpointId, EndpointRecord> &endpoints, const ServingConfiguration &configuration, Time now);

    [[nodiscard]] Placement place(const PlacementRequest &request, Time now) const;

    /// \brief Chooses the decode engine again after the prefill on \a prefillEngine, which may have taken seconds.
    [[nodiscard]] Placement placeDecode(const PlacementRequest &request, const EndpointId &prefillEngine, Time now) const;

    /// \brief Sets the number of processes that place calls on the same endpoints, this one included; they share the endpoints' request limits.
    /// To be called several times a second, since parts of limits that other processes do not use are lent for a short time only.
    void setProcessCount(int count, Time now);

    /// \brief Returns a notice for each request limit that this process knows, for the other processes.
    [[nodiscard]] std::vector<LimitNotice> limitNotices(Time now) const;

    /// \brief Records the notice of another process. Notices for unknown endpoints or other incarnations are ignored.
    /// \param peer identifies the process.
    void recordLimitNotice(std::uint64_t peer, const LimitNotice &notice, Time now);

    /// \brief Counts a request to \a endpoint against its request limit, if it has one: an order, or a call that is going to be sent after its
    /// prefill elsewhere. \return whether the endpoint has a limit.
    bool reserveRequest(const EndpointId &endpoint, Time now);

    /// \brief Takes back a reservation made at \a reservedAt, immediately before the call is placed again and sent, or if it is not sent.
    void returnRequest(const EndpointId &endpoint, Time reservedAt, Time now);

    /// \brief Returns whether a request besides those that place() chooses may be sent to \a endpoint: it has not asked this process for a pause, and its
    /// request limit is not used up.
    [[nodiscard]] bool acceptsRequest(const EndpointId &endpoint, Time now) const;

    /// \brief Sends no calls to \a endpoint for \a pause, which it has asked this process for. \return the time for which none are sent.
    Duration pause(const EndpointId &endpoint, Duration pause, Time now);

    /// \brief Registers an attempt that is being sent.
    Ticket begin(const AttemptPlan &plan, const PlacementRequest &request, Time now);

    /// \brief Records that the first byte of the answer has arrived, which ends the prefill.
    void recordFirstByte(Ticket ticket, Time now);

    void end(Ticket ticket, AttemptOutcome result, Time now);

    /// \brief Records that the endpoint's address refused a connection, so the process of the incarnation that started at \a startedAt has ended. It gets no
    /// calls while others can run them, until its later heartbeats or an answer show that it lives, and for two seconds at most.
    /// \return false if the incarnation was known to have ended already, which then stays as old as it was.
    bool recordRefusedConnection(const EndpointId &endpoint, std::int64_t startedAt, Time now);

    /// \brief Updates the endpoint's state from the head of an attempt's answer. Answers of an earlier incarnation are ignored.
    EndpointUpdate observeAnswer(Ticket ticket, const EndpointAnswer &answer, Time now);

    /// \brief Returns and removes the notices of prefills that began since the last call; the oldest are dropped if they are not taken.
    std::vector<PrefillNotice> takePrefillNotices(Time now);

    /// \brief Records a prompt that another process has sent to an engine. Notices for unknown endpoints or other incarnations are ignored.
    void recordPrefillNotice(const PrefillNotice &notice, Time now);

    /// \brief Records that a datagram of a peer has arrived. While datagrams arrive, an engine's queue is estimated as the larger of announced and
    /// reported work instead of their sum, because the reports include the announced work.
    void recordPeerDatagram(Time now);

    /// \brief Records the load that an endpoint reported with an answer.
    void reportLoad(const EndpointId &endpoint, const ReportedLoad &load, Time now);

    /// \brief Returns the mean number of requests of other processes that wait at an engine of a phase, from the reports of the last second.
    [[nodiscard]] double meanWaiting(const ServiceId &service, EnginePhase phase, Time now) const;

    /// \brief Returns the estimated use of the slots of the endpoints of \a service that take calls.
    [[nodiscard]] ServiceSlots slots(const ServiceId &service, Time now) const;

    /// \brief Returns the estimated times of the engines of each service.
    [[nodiscard]] std::map<ServiceId, EngineTimes> engineTimes() const;

    /// \brief Returns the learned speeds of the endpoints of each service and phase.
    [[nodiscard]] std::map<std::pair<ServiceId, std::optional<EnginePhase>>, SpeedSummary> speedSummaries() const;

    /// \brief Returns whether predictions and choices for \a service use the speeds of its endpoints.
    [[nodiscard]] bool usesSpeeds(const ServiceId &service, Time now) const;

    /// \brief Returns the speed of \a endpoint; empty if the endpoint is unknown or predictions for its service do not use speeds.
    [[nodiscard]] std::optional<SpeedUse> speedUse(const EndpointId &endpoint, Time now) const;

    /// \brief Returns the limit that \a endpoint has named; empty if it names none.
    [[nodiscard]] std::optional<RequestLimitUse> requestLimit(const EndpointId &endpoint, Time now) const;

    /// \brief Returns the limits that endpoints have named, with this process's use of them.
    [[nodiscard]] std::vector<RequestLimitUse> requestLimits(Time now) const;

    /// \brief Returns the record of an endpoint; null if the endpoint is unknown.
    [[nodiscard]] const EndpointRecord *record(const EndpointId &endpoint) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace mimosatally
