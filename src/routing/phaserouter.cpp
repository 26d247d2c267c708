#include "phaserouterimpl.h"

#include <algorithm>

namespace mimosatally
{

namespace
{
/// \brief An endpoint that has not answered for longer than this gets no new calls until it answers or SILENCE_RETRY_TIME has passed.
constexpr Duration MAX_SILENCE = Duration(600);
/// \brief Silence after which an endpoint gets calls again, to test whether it answers.
constexpr Duration SILENCE_RETRY_TIME = Duration(2500);
} // namespace

RegionId NetworkLocation::regionOf(const DataCentreId &other) const
{
    const auto found = regions.find(other);
    return found == regions.end() ? RegionId() : found->second;
}

PhaseRouter::Impl::Impl(NetworkLocation where, std::uint64_t randomSeed)
    : location(std::move(where))
    , region(location.regionOf(location.dataCentre))
    , seed(randomSeed)
{
}

PhaseRouter::PhaseRouter(NetworkLocation location, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(location), seed))
{
}

PhaseRouter::~PhaseRouter() = default;
PhaseRouter::PhaseRouter(PhaseRouter &&) noexcept = default;
PhaseRouter &PhaseRouter::operator=(PhaseRouter &&) noexcept = default;

bool PhaseRouter::Impl::acceptsCalls(const Endpoint &endpoint, Time now)
{
    return endpoint.listed && !endpoint.record.leaving && !endpoint.announcedLeaving && now >= endpoint.pausedUntil;
}

bool PhaseRouter::Impl::isExcluded(const Endpoint &endpoint, const PlacementRequest &request)
{
    return std::ranges::find(request.excluded, endpoint.record.id) != request.excluded.end();
}

bool PhaseRouter::Impl::canServe(const Endpoint &endpoint, const PlacementRequest &request, Time now)
{
    return acceptsCalls(endpoint, now) && endpoint.limit.permits(now) && hasVersion(endpoint, request) && !isExcluded(endpoint, request);
}

bool PhaseRouter::Impl::isHealthy(const Endpoint &endpoint, Time now)
{
    if (endpoint.health.admittedPermille(now) == 0 || now < endpoint.avoidedUntil || endpoint.refusal.isEnded(now)) {
        return false;
    }
    if (!endpoint.unansweredSince) {
        return true;
    }
    const Duration silence = now - *endpoint.unansweredSince;
    return silence <= MAX_SILENCE || silence >= SILENCE_RETRY_TIME;
}

std::vector<const PhaseRouter::Impl::Endpoint *> PhaseRouter::Impl::usableEndpoints(const std::vector<const Endpoint *> &sample,
                                                                                    const PlacementRequest &request,
                                                                                    Time now)
{
    std::vector<const Endpoint *> candidates;
    std::vector<const Endpoint *> suspected;
    std::vector<const Endpoint *> ended;
    for (const Endpoint *endpoint : sample) {
        if (!canServe(*endpoint, request, now)) {
            continue;
        }
        if (isHealthy(*endpoint, now)) {
            candidates.push_back(endpoint);
        } else if (endpoint->refusal.isEnded(now)) {
            ended.push_back(endpoint);
        } else {
            suspected.push_back(endpoint);
        }
    }
    const auto canRunCalls = [](const Endpoint *endpoint) {
        return endpoint->record.phase != EnginePhase::Prefill;
    };
    const auto addUnlessOneRunsCalls = [&](const std::vector<const Endpoint *> &others) {
        if (std::ranges::none_of(candidates, canRunCalls)) {
            std::ranges::copy_if(others, std::back_inserter(candidates), canRunCalls);
        }
    };
    // A suspected endpoint is better than none: the failures may be caused by this process or its network link. One whose process has ended may be back.
    addUnlessOneRunsCalls(suspected);
    addUnlessOneRunsCalls(ended);
    return candidates;
}

Placement PhaseRouter::place(const PlacementRequest &request, Time now) const
{
    const auto service = impl_->services.find(request.service);
    if (service == impl_->services.end()) {
        return impl_->notPlaced({}, request, now);
    }
    const Impl::ServiceFleet &fleet = service->second;
    const Impl::PromptContext prompt = impl_->promptContextFor(request, fleet, now);
    std::vector<const Impl::Endpoint *> candidates = Impl::usableEndpoints(impl_->sampleEndpoints(fleet, prompt), request, now);
    if (candidates.empty()) {
        candidates = Impl::usableEndpoints(Impl::endpointsOfVersion(fleet, request), request, now);
    }
    impl_->keepRoomOnRareVersions(candidates, fleet, request, now);
    const bool withinReserve = impl_->keepReservedSlots(candidates, request, now);
    Placement placement = impl_->engineProfiles.contains(request.service) ? impl_->placeEngine(candidates, prompt, now) : impl_->placePlain(candidates, now);
    placement.withinReserve = withinReserve;
    return placement.run ? placement : impl_->notPlaced(fleet, request, now);
}

Placement PhaseRouter::placeDecode(const PlacementRequest &request, const EndpointId &prefillEngine, Time now) const
{
    const auto service = impl_->services.find(request.service);
    const auto source = impl_->endpoints.find(prefillEngine);
    if (service == impl_->services.end() || source == impl_->endpoints.end()) {
        return {};
    }
    const std::vector<const Impl::Endpoint *> all = Impl::endpointsOfVersion(service->second, request);
    return impl_->placeOnDecodeEngine(Impl::usableEndpoints(all, request, now), source->second, request.promptTokens, now);
}

} // namespace mimosatally
