#include "phaserouterimpl.h"

#include <algorithm>

namespace mimosatally
{

namespace
{
/// \brief A version is rare if the most common one has more than this many times its endpoints.
constexpr std::size_t RARE_VERSION_RATIO = 4;
/// \brief One of this many slots of an endpoint of a rare version is left to streams that may go on only there. At the ratio above, that is less than
/// a sixteenth of all slots of the service.
constexpr int SLOTS_PER_RESERVED_SLOT = 4;

bool runsCalls(const EndpointRecord &record)
{
    return record.phase != EnginePhase::Prefill;
}
} // namespace

bool PhaseRouter::Impl::hasVersion(const Endpoint &endpoint, const PlacementRequest &request)
{
    return !request.version || isSameVersion(endpoint.record.version, *request.version);
}

bool PhaseRouter::Impl::canExchangeCache(const Endpoint &first, const Endpoint &second)
{
    return first.record.service == second.record.service && isSameVersion(first.record.version, second.record.version);
}

PhaseRouter::Impl::EngineGroup PhaseRouter::Impl::groupOf(const Endpoint &endpoint) const
{
    return {location.regionOf(endpoint.record.dataCentre), endpoint.record.version};
}

PhaseRouter::Impl::ServiceFleet PhaseRouter::Impl::fleetOfVersion(const ServiceFleet &fleet, const PlacementRequest &request)
{
    const auto fits = [&request](const Endpoint *endpoint) {
        return hasVersion(*endpoint, request);
    };
    ServiceFleet result;
    std::ranges::copy_if(fleet.near, std::back_inserter(result.near), fits);
    std::ranges::copy_if(fleet.far, std::back_inserter(result.far), fits);
    return result;
}

std::vector<const PhaseRouter::Impl::Endpoint *> PhaseRouter::Impl::endpointsOfVersion(const ServiceFleet &fleet, const PlacementRequest &request)
{
    ServiceFleet ofVersion = fleetOfVersion(fleet, request);
    std::vector<const Endpoint *> result = std::move(ofVersion.near);
    result.insert(result.end(), ofVersion.far.begin(), ofVersion.far.end());
    return result;
}

bool PhaseRouter::Impl::isVersionRegistered(const ServiceFleet &fleet, const PlacementRequest &request)
{
    return std::ranges::any_of(endpointsOfVersion(fleet, request), [](const Endpoint *endpoint) {
        return !endpoint->record.leaving && !endpoint->announcedLeaving;
    });
}

Placement PhaseRouter::Impl::notPlaced(const ServiceFleet &fleet, const PlacementRequest &request, Time now)
{
    Placement placement;
    if (request.version && !isVersionRegistered(fleet, request)) {
        placement.versionGone = true;
        placement.reason = "version-gone";
        return placement;
    }
    placement.retryAfter = returnTime(request.service, endpointsOfVersion(fleet, request), now);
    return placement;
}

void PhaseRouter::Impl::keepRoomOnRareVersions(std::vector<const Endpoint *> &candidates,
                                               const ServiceFleet &fleet,
                                               const PlacementRequest &request,
                                               Time now) const
{
    if ((request.version && !request.beginsStream) || fleet.versions.size() < 2) {
        return;
    }
    std::size_t mostEndpoints = 0;
    for (const auto &[version, count] : fleet.versions) {
        mostEndpoints = std::max(mostEndpoints, count);
    }
    const auto isReserved = [&](const Endpoint *endpoint) {
        const auto own = fleet.versions.find(endpoint->record.version);
        const bool isRare = own != fleet.versions.end() && own->second * RARE_VERSION_RATIO < mostEndpoints;
        if (!isRare || !runsCalls(endpoint->record)) {
            return false;
        }
        const double requests = endpoint->ownAttempts + foreignLoad(*endpoint, now).requests;
        const int reserved = endpoint->record.slots / SLOTS_PER_RESERVED_SLOT;
        return requests + 1 > endpoint->record.slots - reserved;
    };
    const bool othersRunCalls = std::ranges::any_of(candidates, [&isReserved](const Endpoint *endpoint) {
        return runsCalls(endpoint->record) && !isReserved(endpoint);
    });
    if (othersRunCalls) {
        std::erase_if(candidates, isReserved);
    }
}

} // namespace mimosatally
