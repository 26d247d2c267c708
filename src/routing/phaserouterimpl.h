#pragma once

#include "cacheindex.h"
#include "endpointhealth.h"
#include "endpointlimit.h"
#include "enginemodel.h"
#include "enginespeed.h"
#include "nearequalchoice.h"
#include "refusedconnection.h"

#include <mimosatally/routing/phaserouter.h>

#include <deque>
#include <unordered_map>

namespace mimosatally
{

namespace internal
{

/// \brief Network distance between this process and an endpoint, or between two endpoints.
enum class Distance {
    SameDataCentre,
    SameRegion,
    OtherRegion,
};

/// \brief Requests of other processes at an endpoint.
struct ForeignLoad {
    double requests = 0;
    /// \brief Those of `requests` that have not started.
    double waiting = 0;
};

/// \brief Mean load reported by the endpoints of one service and phase.
struct MeanLoad {
    ForeignLoad load;
    Time reportedAt = Time::min();
};

/// \brief Mean delay of recent first bytes from the endpoints of one service, compared with their predictions.
struct ObservedDelay {
    double ms = 0;
    Time observedAt = Time::min();
};

/// \brief Speeds of the endpoints of one service and phase, whose times come from the same model.
struct PhaseSpeeds {
    SpeedSummary summary;
    /// \brief Geometric mean of the measured speeds; an endpoint that is not measured is taken to have it.
    double mean = 1;
    /// \brief The measured speeds differ by more than their uncertainty and the least difference that is used.
    bool differ = false;
    Time updatedAt = Time::min();
};

/// \brief Estimated engine time of queued work that runs sequentially; it decreases as time passes.
class Backlog
{
public:
    /// \brief Adds work that takes \a milliseconds.
    void add(double milliseconds, Time now);

    /// \brief Sum of all corrections so far; predictions for work that is added later include it.
    [[nodiscard]] double corrections() const;

    /// \brief Corrects the estimate after work was done \a lateMs later than predicted, or earlier if negative. The work behind it is delayed as much.
    /// \param correctionsBefore corrections() at the time of the prediction.
    void correct(double lateMs, double correctionsBefore, Time now);

    /// \brief Returns the time until the work is expected to be done.
    [[nodiscard]] double remainingMs(Time now) const;

private:
    double workMs_ = 0;
    double corrections_ = 0;
    Time updatedAt_ = Time::min();
};

/// \brief State that a process keeps about one endpoint.
struct DirectEndpoint {
    EndpointRecord record;
    /// \brief Times of the engines of its service; null for an endpoint of a plain service.
    const EngineModel *model = nullptr;
    CacheIndex::EndpointIndex cacheIndex = 0;
    Distance distance = Distance::OtherRegion;
    EndpointHealth health;
    RefusedConnection refusal;
    /// \brief In the current list of endpoints; only listed endpoints that are not leaving get new calls.
    bool listed = true;
    int ownAttempts = 0;
    /// \brief Prefills of own attempts and of those that peers have announced.
    Backlog prefillBacklog;
    /// \brief Expected link time of the unfinished transfers that this process has caused.
    double transferBacklogMs = 0;
    /// \brief Own attempts without a first byte.
    int ownUnanswered = 0;
    /// \brief Load by other processes at the time of the last report.
    ForeignLoad foreign;
    Time reportedAt = Time::min();
    /// \brief Mean ratio of measured to predicted times; 1 is nominal.
    double slowness = 1;
    EngineSpeed speed;
    /// \brief Own attempts and those that peers have announced, which the last report may not contain.
    FadingCount recentAttempts;
    /// \brief Recent share of calls that the endpoint failed, 0 to 1.
    double failureShare = 0;
    /// \brief End of the back-off after a rejected call; the back-off grows with each consecutive rejection.
    Time avoidedUntil = Time::min();
    Duration rejectionBackoff = Duration(0);
    /// \brief Rejections since the last answer, and the time of the last one.
    int consecutiveRejections = 0;
    Time rejectedAt = Time::min();
    /// \brief End of the pause that the endpoint has asked this process for.
    Time pausedUntil = Time::min();
    /// \brief An answer of this incarnation has announced that it is leaving.
    bool announcedLeaving = false;
    /// \brief Request limit that the endpoint has named.
    EndpointLimit limit;
    /// \brief Own prefill calls, and all other own calls.
    RecentSends sentPrefills;
    RecentSends sentRuns;
    /// \brief Last report of a limit that could not be read.
    Time unreadableLimitReportedAt = Time::min();
    Time unreadableLoadReportedAt = Time::min();
    /// \brief Start of the current period in which attempts are open and no answer arrives; empty if there is none.
    std::optional<Time> unansweredSince;
};

} // namespace internal

struct PhaseRouter::Impl {
    using Endpoint = internal::DirectEndpoint;

    struct Attempt {
        EndpointId endpoint;
        /// \brief Start time of the endpoint's incarnation that got the attempt.
        std::int64_t startedAt = 0;
        AttemptWork work = AttemptWork::Run;
        Time beganAt;
        Tokens prompt;
        CachedPrefix cache;
        /// \brief Expected engine time of the prefill.
        double workMs = 0;
        /// \brief Predicted wait behind other work.
        double queueMs = 0;
        /// \brief Backlog::corrections() at the time of the prediction.
        double backlogCorrections = 0;
        /// \brief Predicted time to the first byte.
        double predictedMs = 0;
        /// \brief Part of `predictedMs` that comes from the delay observed at other endpoints.
        double delayMs = 0;
        /// \brief Engine that keeps the prefilled prompt, and the time of its transfer.
        EndpointId promptSource;
        double transferMs = 0;
        /// \brief timeFactor() of the prediction, and the reported factor when the attempt began.
        double timeFactor = 1;
        double reportedFactor = 1;
        /// \brief prefillFactor() with which the wait was predicted.
        double queueFactor = 1;
        /// \brief The prediction uses the endpoint's speed.
        bool usesSpeeds = false;
        /// \brief Service time, which is recorded once the attempt is known to have run.
        std::optional<internal::EngineSpeed::Sample> speedSample;
        bool awaitingFirstByte = true;
        Time answeredAt = Time::min();
        std::vector<std::uint64_t> prefixHashes;
    };

    /// \brief Predicted times of one attempt at one endpoint.
    struct AttemptEstimate {
        const Endpoint *endpoint = nullptr;
        double queueMs = 0;
        /// \brief Time until the attempt's first byte.
        double timeMs = 0;
        /// \brief `timeMs` plus the cost of the choice for other calls.
        double costMs = 0;
        CachedPrefix cache;
        /// \brief Engine from which the rest of the known prefix is fetched; null if computing it is not slower.
        const Endpoint *cacheSource = nullptr;
    };

    /// \brief Prompt prefix that an engine need not compute in a prefill, from its own cache or fetched from another engine, whichever is faster.
    struct PrefixSource {
        /// \brief Prefix that it has or fetches.
        CachedPrefix cache;
        /// \brief Engine from which it fetches; null if it fetches nothing.
        const Endpoint *source = nullptr;
        /// \brief Expected time of the prefill including the fetch.
        double prefillMs = 0;
    };

    /// \brief Region and software version of engines that share prompt prefixes; what engines of two versions write does not fit together.
    using EngineGroup = std::pair<RegionId, SoftwareVersion>;

    /// \brief A prompt with the data that is the same for all engines it is compared on.
    struct PromptContext {
        const PlacementRequest &request;
        std::vector<std::uint64_t> prefixHashes;
        /// \brief Tokens of all parts but the last one, which belongs to the call or its session.
        Tokens sharedTokens;
        /// \brief Engine of each group that all processes prefer for the shared parts.
        std::map<EngineGroup, const Endpoint *> groupAffinityEngines;
        /// \brief Engine of `groupAffinityEngines` that all processes prefer among those of its version in the whole fleet.
        std::map<SoftwareVersion, const Endpoint *> fleetAffinityEngines;
        /// \brief Engines that are expected to have a cached prefix of the prompt because it was sent to them.
        std::vector<const Endpoint *> holders;
    };

    /// \brief A prefill engine with its hash for prefix affinity. Each call compares all of them, also in a large fleet, so the hash is stored here.
    struct PrefillEngine {
        std::uint64_t hash = 0;
        const Endpoint *endpoint = nullptr;
    };

    /// \brief Listed endpoints of one service.
    struct ServiceFleet {
        /// \brief Endpoints in the process's own region.
        std::vector<const Endpoint *> near;
        /// \brief Endpoints in other regions.
        std::vector<const Endpoint *> far;
        std::map<EngineGroup, std::vector<PrefillEngine>> prefillEngines;
        /// \brief All versions, with the number of endpoints that run calls and do not leave.
        std::map<SoftwareVersion, std::size_t> versions;
    };

    Impl(NetworkLocation where, std::uint64_t seed);

    [[nodiscard]] internal::Distance distanceTo(const DataCentreId &dataCentre) const;
    [[nodiscard]] internal::Distance distanceBetween(const DataCentreId &first, const DataCentreId &second) const;
    /// \brief Returns true if the endpoint takes new calls apart from its request limit.
    [[nodiscard]] static bool acceptsCalls(const Endpoint &endpoint, Time now);
    [[nodiscard]] static bool isExcluded(const Endpoint &endpoint, const PlacementRequest &request);
    /// \brief Returns whether \a endpoint has the version that the call requires, if it requires one.
    [[nodiscard]] static bool hasVersion(const Endpoint &endpoint, const PlacementRequest &request);
    [[nodiscard]] static bool canServe(const Endpoint &endpoint, const PlacementRequest &request, Time now);
    /// \brief Returns whether an endpoint of \a fleet that does not leave has the version that the call requires.
    [[nodiscard]] static bool isVersionRegistered(const ServiceFleet &fleet, const PlacementRequest &request);
    /// \brief Returns whether a prompt's KV cache in one of the engines fits into the other: they have the same service and version.
    [[nodiscard]] static bool canExchangeCache(const Endpoint &first, const Endpoint &second);
    [[nodiscard]] EngineGroup groupOf(const Endpoint &endpoint) const;
    /// \brief Returns the near and far endpoints that have the version that the call requires.
    [[nodiscard]] static ServiceFleet fleetOfVersion(const ServiceFleet &fleet, const PlacementRequest &request);
    /// \brief Returns the same endpoints in one list, those of the own region first.
    [[nodiscard]] static std::vector<const Endpoint *> endpointsOfVersion(const ServiceFleet &fleet, const PlacementRequest &request);
    /// \brief Returns the placement of a call that no endpoint may get.
    [[nodiscard]] Placement notPlaced(const ServiceFleet &fleet, const PlacementRequest &request, Time now);
    /// \brief Removes from \a candidates nearly full endpoints of rare versions if others can run a call that requires no version, so that streams
    /// that can go on only there find room.
    void keepRoomOnRareVersions(std::vector<const Endpoint *> &candidates, const ServiceFleet &fleet, const PlacementRequest &request, Time now) const;
    /// \brief Returns the slots of \a endpoint that a call with a reserve of \a perEndpoint slots at each endpoint has to leave free. Fractions are rounded
    /// so that all processes reserve the same endpoints' slots.
    [[nodiscard]] static int reservedSlots(const Endpoint &endpoint, double perEndpoint);
    /// \brief Removes from \a candidates the endpoints that run calls and whose free slots the call has to leave to more urgent ones, unless no other
    /// candidate can run it. \return whether only such endpoints can run the call.
    bool keepReservedSlots(std::vector<const Endpoint *> &candidates, const PlacementRequest &request, Time now) const;
    /// \brief Returns the endpoint of an attempt; null if it has been removed or replaced by another incarnation.
    [[nodiscard]] Endpoint *targetOf(const Attempt &attempt);
    /// \brief Returns the time until the first of \a fitting that is not leaving takes a call; empty if none is paused or limited.
    [[nodiscard]] static std::optional<Duration> timeToAcceptance(const std::vector<const Endpoint *> &fitting, Time now);
    /// \brief Returns the time after which a call that none of \a fitting, the endpoints of the service that may run it, may get now should come back. Calls
    /// that are refused one after the other get later times, at the rate at which the limited endpoints take calls from this process.
    [[nodiscard]] std::optional<Duration> returnTime(const ServiceId &service, const std::vector<const Endpoint *> &fitting, Time now);
    [[nodiscard]] static bool isHealthy(const Endpoint &endpoint, Time now);
    [[nodiscard]] Tokens cachedTokens(const Endpoint &endpoint, const PlacementRequest &request, const std::vector<std::uint64_t> &prefixHashes) const;
    /// \brief Returns whether predictions and choices for a service use the speeds of its endpoints.
    [[nodiscard]] bool usesSpeeds(const ServiceId &service, Time now) const;
    /// \brief Time that work takes now at an endpoint relative to the mean of its service; 1 for a service whose speeds are not used.
    [[nodiscard]] double timeFactor(const Endpoint &endpoint, Time now) const;
    /// \brief Like timeFactor(), with the mean ratio of measured to predicted times for a service whose speeds are not used.
    [[nodiscard]] double prefillFactor(const Endpoint &endpoint, Time now) const;
    /// \brief Cost of a call that \a endpoint probably rejects; zero for a service whose speeds are not used.
    [[nodiscard]] double rejectionPenaltyMs(const Endpoint &endpoint, Time now) const;
    /// \brief Learns from the first byte of an attempt at \a endpoint.
    void learnFirstByte(Attempt &attempt, Endpoint &endpoint, Time now);
    /// \brief Ends the wait of an attempt for its first byte. \param rejected the endpoint has not run it.
    void recordFirstByte(Attempt &attempt, bool rejected, Time now);
    /// \brief Returns the first byte of \a attempt for the times of its service: what it would have been at an endpoint of mean speed.
    [[nodiscard]] static internal::EngineModel::Sample modelSampleOf(const Attempt &attempt, const Endpoint &endpoint, Time now);
    /// \brief Returns the service time of an attempt whose first byte arrives now; empty if its queue was not known.
    [[nodiscard]] std::optional<internal::EngineSpeed::Sample> speedSampleOf(const Attempt &attempt, const Endpoint &endpoint, Time now) const;
    /// \brief Returns the same for a plain call that ends now.
    [[nodiscard]] std::optional<internal::EngineSpeed::Sample> plainSpeedSampleOf(const Attempt &attempt, const Endpoint &endpoint, Time now) const;
    /// \brief Records the service time of an attempt that has run.
    void learnSpeed(const Attempt &attempt, Endpoint &endpoint, Time now);
    [[nodiscard]] static std::vector<const internal::EngineSpeed *> measuredSpeeds(const ServiceFleet &fleet, std::optional<EnginePhase> phase);
    void updatePhaseSpeeds(const ServiceId &service, std::optional<EnginePhase> phase, Time now);
    [[nodiscard]] double meanWaiting(const ServiceId &service, EnginePhase phase, Time now) const;
    /// \brief Requests of other processes at an endpoint: from its own report while that is recent, otherwise the mean of its service and phase.
    [[nodiscard]] internal::ForeignLoad foreignLoad(const Endpoint &endpoint, Time now) const;
    /// \brief Wait that neither own attempts nor reports explain: work of other processes since the endpoints' last reports.
    [[nodiscard]] double delayMs(const ServiceId &service, AttemptWork work, Time now) const;
    void recordDelay(const Attempt &attempt, const Endpoint &endpoint, double unexplainedMs, Time now);
    /// \brief Expected time for which a prefill occupies \a endpoint, weighted with the probability that the prefix is in its cache.
    [[nodiscard]] static double expectedPrefillMs(const Endpoint &endpoint, AttemptWork work, Tokens prompt, CachedPrefix cache, double fetchMs);
    [[nodiscard]] double queueMs(const Endpoint &endpoint, Time now) const;
    [[nodiscard]] double slotWaitMs(const Endpoint &endpoint, Time now) const;
    [[nodiscard]] AttemptEstimate prefillEstimate(const Endpoint &endpoint, AttemptWork work, const PromptContext &prompt, Time now) const;
    /// \brief Returns the affinity by which \a endpoint is expected to have the shared parts of \a prompt although this process has not sent them there.
    [[nodiscard]] CacheEstimate affinityEstimate(const Endpoint &endpoint, const PromptContext &prompt) const;
    /// \brief Prefix that an engine is expected to have in its own cache.
    [[nodiscard]] CachedPrefix ownPrefix(const Endpoint &endpoint, const PromptContext &prompt) const;
    /// \brief Prefix that \a endpoint is expected to have, or to fetch from another engine of its version if that is faster.
    [[nodiscard]] PrefixSource prefixFor(const Endpoint &endpoint, AttemptWork work, const PromptContext &prompt) const;
    [[nodiscard]] PromptContext promptContextFor(const PlacementRequest &request, const ServiceFleet &fleet, Time now) const;
    /// \brief Endpoints that are compared for one call: all of a small fleet; of a large one a sample and the engines with affinity or a cached prefix.
    [[nodiscard]] std::vector<const Endpoint *> sampleEndpoints(const ServiceFleet &fleet, const PromptContext &prompt) const;
    /// \brief Endpoints of \a sample that can serve the call: the healthy ones and, if these are only prefill engines or none, the unhealthy ones that
    /// are not prefill engines.
    [[nodiscard]] static std::vector<const Endpoint *> usableEndpoints(const std::vector<const Endpoint *> &sample, const PlacementRequest &request, Time now);
    /// \brief Estimate for the decode at \a endpoint without the transfer of the prompt.
    [[nodiscard]] AttemptEstimate decodeEstimate(const Endpoint &endpoint, Time now) const;
    /// \brief Time for which the transfer of a prompt's KV cache occupies the links of both engines.
    [[nodiscard]] double transferMs(const Endpoint &from, const Endpoint &to, Tokens tokens) const;
    /// \brief Returns \a decode with the transfer of the prompt from \a source added.
    [[nodiscard]] AttemptEstimate withTransfer(const AttemptEstimate &decode, const Endpoint &source, Tokens tokens) const;
    /// \brief Returns the cheapest of \a costs or, if the speeds of their endpoints are used, one that is drawn at random among those of the least cost; see
    /// chooseNearEqual(). \param endpoints endpoint of each cost.
    [[nodiscard]] std::size_t choose(const std::vector<double> &costs, const std::vector<const Endpoint *> &endpoints, Time now) const;
    /// \brief Returns the chosen one of \a estimates; one without an endpoint if there are none.
    [[nodiscard]] AttemptEstimate chooseEstimate(const std::vector<AttemptEstimate> &estimates, Time now) const;
    /// \brief Returns the cheapest pair of a prefill of \a prefills and a decode at one of \a decodeEngines of the same version.
    [[nodiscard]] std::optional<std::pair<AttemptEstimate, AttemptEstimate>> bestSplit(const std::vector<AttemptEstimate> &prefills,
                                                                                       const std::vector<const Endpoint *> &decodeEngines,
                                                                                       Tokens tokens,
                                                                                       Time now) const;
    [[nodiscard]] static std::optional<EndpointId> cacheSourceOf(const AttemptEstimate &estimate);
    [[nodiscard]] AttemptEstimate plainCallEstimate(const Endpoint &endpoint, Time now) const;
    [[nodiscard]] Placement placePlain(const std::vector<const Endpoint *> &candidates, Time now) const;
    [[nodiscard]] Placement placeEngine(const std::vector<const Endpoint *> &candidates, const PromptContext &prompt, Time now) const;

    /// \brief Chooses the best of \a candidates of the same version for the decode after the prefill on \a source.
    [[nodiscard]] Placement placeOnDecodeEngine(const std::vector<const Endpoint *> &candidates, const Endpoint &source, Tokens tokens, Time now) const;

    static void updateLimit(Endpoint &endpoint, int processCount, Time now);
    [[nodiscard]] static int sendsOfLastSecond(const Endpoint &endpoint, Time now);
    /// \brief Returns the phase in which this process paces its calls to \a endpoint; see RequestPacer.
    [[nodiscard]] double limitPhase(const Endpoint &endpoint) const;

    /// \brief Returns the state of an endpoint, which is new for a new endpoint or incarnation.
    [[nodiscard]] Endpoint &findOrAddEndpoint(const EndpointRecord &record);
    void setEngineProfile(Endpoint &endpoint, const ServingConfiguration &configuration);
    void addToFleet(Endpoint &endpoint);
    /// \brief Removes the state of services without endpoints and of endpoints that are no longer listed and have no open attempt.
    void removeUnusedState();
    /// \brief Removes profiles and models of services without any endpoint.
    void pruneEngineModels();
    /// \param prefillMs expected engine time of the prefill at \a target.
    void addNotice(const Attempt &attempt, double prefillMs, const Endpoint &target, const PlacementRequest &request, Time now);

    void endTransfer(const Attempt &attempt);

    NetworkLocation location;
    RegionId region;
    std::uint64_t seed;
    /// \brief Samples drawn so far.
    mutable std::uint64_t draws = 0;
    std::map<EndpointId, Endpoint> endpoints;
    /// \brief Points into `endpoints`, whose elements have stable addresses.
    std::map<ServiceId, ServiceFleet> services;
    std::unordered_map<internal::CacheIndex::EndpointIndex, EndpointId> endpointOfCacheIndex;
    std::map<std::pair<ServiceId, std::optional<EnginePhase>>, internal::MeanLoad> meanLoads;
    std::map<std::pair<ServiceId, AttemptWork>, internal::ObservedDelay> delays;
    std::map<std::pair<ServiceId, std::optional<EnginePhase>>, internal::PhaseSpeeds> phaseSpeeds;
    /// \brief Time of the last report of a relative time by an endpoint of each service.
    std::map<ServiceId, Time> relativeTimeReportedAt;
    /// \brief Profiles of the services whose endpoints are engines, and the times of these engines.
    std::map<ServiceId, EngineProfile> engineProfiles;
    std::map<ServiceId, internal::EngineModel> engineModels;
    internal::CacheIndex cache;
    internal::CacheIndex::EndpointIndex nextCacheIndex = 0;
    std::unordered_map<std::uint64_t, Endpoint *> endpointOfHash;
    /// \brief Own prefills that have not been announced to the other processes, with their start times.
    std::deque<std::pair<Time, PrefillNotice>> notices;
    Time lastPeerDatagram = Time::min();
    std::unordered_map<Ticket, Attempt> attempts;
    int processCount = 1;
    Time limitsUpdatedAt = Time::min();
    /// \brief Time of return that was last given to a refused call of each service.
    std::map<ServiceId, Time> lastReturn;
    Ticket nextTicket = 1;
    /// \brief Mean time of a plain call at an endpoint without a queue.
    std::map<ServiceId, double> plainCallMs;
};

} // namespace mimosatally
