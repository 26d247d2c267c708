#pragma once

#include "cacheindex.h"
#include "endpointhealth.h"
#include "enginemodel.h"

#include <mimosatally/routing/phaserouter.h>

#include <deque>
#include <unordered_map>

namespace mimosatally
{

namespace internal
{

/// \brief Distance class between this process and an endpoint, or between two endpoints.
enum class Distance {
    SameDataCentre,
    SameRegion,
    OtherRegion,
};

/// \brief Requests of other processes at an endpoint.
struct ForeignLoad {
    double requests = 0;
    /// \brief Those of them that have not started.
    double waiting = 0;
};

/// \brief Mean load that endpoints of one service and phase have reported.
struct MeanLoad {
    ForeignLoad load;
    Time reportedAt = Time::min();
};

/// \brief How much later than predicted first bytes have come lately from the endpoints of one service.
struct ObservedDelay {
    double ms = 0;
    Time observedAt = Time::min();
};

/// \brief Engine time of work that is done one after the other, as it shrinks with time.
class Backlog
{
public:
    /// \brief Adds work that takes \a milliseconds.
    void add(double milliseconds, Time now);

    /// \brief Sum of all corrections so far; work that is added later is predicted with them.
    [[nodiscard]] double corrections() const;

    /// \brief Work was done \a lateMs later than predicted, or earlier if negative; so will be what stands behind it.
    /// \param correctionsBefore corrections() when the time was predicted.
    void correct(double lateMs, double correctionsBefore, Time now);

    /// \brief Time until the work is expected to be done.
    [[nodiscard]] double leftMs(Time now) const;

private:
    double milliseconds_ = 0;
    double corrections_ = 0;
    Time since_ = Time::min();
};

/// \brief What a process knows about one endpoint.
struct DirectEndpoint {
    EndpointRecord record;
    /// \brief What engines of its service take; nothing for an endpoint of a plain service.
    const EngineModel *model = nullptr;
    CacheIndex::EndpointIndex cacheIndex = 0;
    Distance distance = Distance::OtherRegion;
    EndpointHealth health;
    /// \brief Still listed, so that new work may go there if it is not leaving.
    bool listed = true;
    int ownAttempts = 0;
    /// \brief Readings of own attempts.
    Backlog readBacklog;
    /// \brief Expected link time of transfers that this process has caused and that are not over.
    double transferBacklogMs = 0;
    /// \brief Own attempts without a first byte.
    int ownUnanswered = 0;
    /// \brief At the time of the last report.
    ForeignLoad foreign;
    Time reportedAt = Time::min();
    /// \brief Measured times over predicted times; 1 is nominal.
    double slowness = 1;
    /// \brief Recent share of calls that the endpoint failed, 0 to 1.
    double failureShare = 0;
    /// \brief It has rejected calls and gets no others until then; the pause grows with each rejection in a row.
    Time avoidedUntil = Time::min();
    Duration rejectionPause = Duration(0);
    /// \brief It wants nothing from this process until then.
    Time pausedUntil = Time::min();
    /// \brief An answer of this incarnation said that it leaves.
    bool announcedLeaving = false;
    /// \brief Since when an attempt has been without any answer; nothing while answers come.
    std::optional<Time> unansweredSince;
};

} // namespace internal

struct PhaseRouter::Impl {
    using Endpoint = internal::DirectEndpoint;

    struct Attempt {
        EndpointId endpoint;
        /// \brief Start of the incarnation that got the attempt.
        std::int64_t startedAt = 0;
        AttemptWork work = AttemptWork::Run;
        Time begun;
        Tokens prompt;
        CachedPrefix cache;
        double workMs = 0;
        /// \brief Predicted wait behind other work, and time to the first byte.
        double queueMs = 0;
        double backlogCorrections = 0;
        double predictedMs = 0;
        /// \brief Part of the prediction that comes from the delay observed at other endpoints.
        double delayMs = 0;
        /// \brief Engine that keeps the prompt, and the time that its transfer takes.
        EndpointId source;
        double transferMs = 0;
        bool reading = true;
        Time answeredAt = Time::min();
        std::vector<std::uint64_t> chain;
    };

    struct Leg {
        const Endpoint *endpoint = nullptr;
        double queueMs = 0;
        /// \brief Time until this leg is done.
        double timeMs = 0;
        /// \brief Time with what the choice costs other calls.
        double costMs = 0;
        CachedPrefix cache;
        /// \brief Engine from which the rest of the known prefix is fetched; nothing if reading it is not slower.
        const Endpoint *cacheSource = nullptr;
    };

    /// \brief Most of a prompt that an engine can have when it starts to read.
    struct PrefixSource {
        /// \brief What it has or fetches.
        CachedPrefix cache;
        /// \brief Engine that it fetches from; nothing if none has more.
        const Endpoint *source = nullptr;
        /// \brief Expected time of the reading with the fetch.
        double readingMs = 0;
    };

    /// \brief A prompt with what all engines are compared by.
    struct PromptView {
        const PlacementRequest &request;
        std::vector<std::uint64_t> chain;
        /// \brief Tokens of all parts but the last one, which belongs to the call or its session.
        Tokens sharedTokens;
        /// \brief The engine in each region that all processes prefer for the shared parts.
        std::map<RegionId, const Endpoint *> homes;
        /// \brief The one of them that all processes prefer in the whole fleet.
        const Endpoint *fleetHome = nullptr;
        /// \brief Engines that are known to have a part of the prompt.
        std::vector<const Endpoint *> holders;
    };

    /// \brief A prefill engine with what chooses it for a prefix; all of a large fleet are compared, so there are no lookups.
    struct Reader {
        std::uint64_t hash = 0;
        const Endpoint *endpoint = nullptr;
    };

    /// \brief The listed endpoints of one service.
    struct ServiceFleet {
        /// \brief In the process's own region, and elsewhere.
        std::vector<const Endpoint *> near;
        std::vector<const Endpoint *> far;
        std::map<RegionId, std::vector<Reader>> readers;
    };

    Impl(NetworkLocation where, std::uint64_t seed);

    [[nodiscard]] internal::Distance distanceTo(const DataCentreId &dataCentre) const;
    [[nodiscard]] internal::Distance distanceBetween(const DataCentreId &first, const DataCentreId &second) const;
    /// \brief Whether new work may be sent there at all.
    [[nodiscard]] static bool accepts(const Endpoint &endpoint, Time now);
    [[nodiscard]] static bool mayServe(const Endpoint &endpoint, const PlacementRequest &request, Time now);
    /// \brief Endpoint of an attempt; nothing if it is gone or another incarnation has its place.
    [[nodiscard]] Endpoint *targetOf(const Attempt &attempt);
    /// \brief Shortest time after which an endpoint of \a fleet that wants nothing now may be asked again.
    [[nodiscard]] static std::optional<Duration> shortestPause(const ServiceFleet &fleet, Time now);
    [[nodiscard]] static bool healthy(const Endpoint &endpoint, Time now);
    [[nodiscard]] Tokens cachedTokens(const Endpoint &endpoint, const PlacementRequest &request, const std::vector<std::uint64_t> &chain) const;
    [[nodiscard]] double meanWaiting(const ServiceId &service, EnginePhase phase, Time now) const;
    /// \brief Requests of other processes at an endpoint: its own report while it is fresh, later the mean of endpoints like it.
    [[nodiscard]] internal::ForeignLoad foreignLoad(const Endpoint &endpoint, Time now) const;
    /// \brief Wait that neither own attempts nor reports explain: the work of other processes since their last report.
    [[nodiscard]] double delayMs(const ServiceId &service, AttemptWork work, Time now) const;
    void observeDelay(const Attempt &attempt, const Endpoint &endpoint, double unexplainedMs, Time now);
    /// \brief Expected time that reading a prompt occupies \a endpoint, with the probability that it has the beginning.
    [[nodiscard]] static double expectedReadingMs(const Endpoint &endpoint, AttemptWork work, Tokens prompt, CachedPrefix cache, double fetchMs);
    [[nodiscard]] double queueMs(const Endpoint &endpoint, Time now) const;
    [[nodiscard]] double slotWaitMs(const Endpoint &endpoint, Time now) const;
    [[nodiscard]] Leg readingLeg(const Endpoint &endpoint, AttemptWork work, const PromptView &prompt, Time now) const;
    /// \brief Why \a endpoint is expected to have the shared parts of \a prompt although this process has not sent them there.
    [[nodiscard]] CacheEstimate homeBelief(const Endpoint &endpoint, const PromptView &prompt) const;
    /// \brief What an engine itself is expected to have.
    [[nodiscard]] CachedPrefix ownPrefix(const Endpoint &endpoint, const PromptView &prompt) const;
    /// \brief What \a endpoint is expected to have, or to fetch from another engine if that is faster.
    [[nodiscard]] PrefixSource prefixFor(const Endpoint &endpoint, AttemptWork work, const PromptView &prompt) const;
    [[nodiscard]] PromptView viewOf(const PlacementRequest &request, const ServiceFleet &fleet, Time now) const;
    /// \brief The endpoints that are compared for one call: all of a small fleet, a sample of a large one with all that know the prompt.
    [[nodiscard]] std::vector<const Endpoint *> sampleOf(const ServiceFleet &fleet, const PromptView &prompt) const;
    /// \brief Those of \a sample that may serve the call: healthy ones, or if none of these generates, suspected ones as well.
    [[nodiscard]] static std::vector<const Endpoint *> usable(const std::vector<const Endpoint *> &sample, const PlacementRequest &request, Time now);
    /// \brief Generating at \a endpoint, without the transfer of the prompt.
    [[nodiscard]] Leg generatingLeg(const Endpoint &endpoint, Time now) const;
    /// \brief Time that the links of both engines are taken by one prompt's cache.
    [[nodiscard]] double transferMs(const Endpoint &from, const Endpoint &to, Tokens tokens) const;
    /// \brief Adds the transfer of the prompt to \a generating.
    [[nodiscard]] Leg withTransfer(const Leg &generating, const Endpoint &source, Tokens tokens) const;
    [[nodiscard]] std::optional<std::pair<Leg, Leg>> bestSplit(const std::vector<Leg> &reading,
                                                               const std::vector<const Endpoint *> &generating,
                                                               Tokens tokens,
                                                               Time now) const;
    [[nodiscard]] static std::optional<EndpointId> sourceOf(const Leg &leg);
    [[nodiscard]] Leg plainLeg(const Endpoint &endpoint, Time now) const;
    [[nodiscard]] Placement placePlain(const std::vector<const Endpoint *> &candidates, Time now) const;
    [[nodiscard]] Placement placeEngine(const std::vector<const Endpoint *> &candidates, const PromptView &prompt, Time now) const;

    /// \brief The best of \a candidates for generating from a prompt that \a source has read.
    [[nodiscard]] Placement placeGeneration(const std::vector<const Endpoint *> &candidates, const Endpoint &source, Tokens tokens, Time now) const;

    /// \brief Forgets profiles and models of services without any endpoint.
    void forgetEngines();
    void addNotice(const Attempt &attempt, const Endpoint &target, const PlacementRequest &request, Time now);

    void endTransfer(const Attempt &attempt);

    NetworkLocation location;
    RegionId region;
    std::uint64_t seed;
    /// \brief Samples drawn so far.
    mutable std::uint64_t draws = 0;
    std::map<EndpointId, Endpoint> endpoints;
    /// \brief Points into `endpoints`, whose elements stay in place.
    std::map<ServiceId, ServiceFleet> services;
    std::unordered_map<internal::CacheIndex::EndpointIndex, EndpointId> endpointOfCache;
    std::map<std::pair<ServiceId, std::optional<EnginePhase>>, internal::MeanLoad> meanLoads;
    std::map<std::pair<ServiceId, AttemptWork>, internal::ObservedDelay> delays;
    /// \brief Profiles of the services whose endpoints are engines, and what their engines take.
    std::map<ServiceId, EngineProfile> engines;
    std::map<ServiceId, internal::EngineModel> models;
    internal::CacheIndex cache;
    internal::CacheIndex::EndpointIndex nextCacheIndex = 0;
    std::unordered_map<std::uint64_t, Endpoint *> endpointOfHash;
    /// \brief Own readings that other processes have not been told of, with the time of their begin.
    std::deque<std::pair<Time, ReadingNotice>> notices;
    Time peersHeardAt = Time::min();
    std::unordered_map<Ticket, Attempt> attempts;
    Ticket nextTicket = 1;
    /// \brief Mean time of a plain call at an endpoint without a queue.
    std::map<ServiceId, double> plainMs;
};

} // namespace mimosatally
