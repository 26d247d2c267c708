#include "phaserouterimpl.h"
#include "phasetimes.h"

#include <set>

namespace mimosatally
{

void PhaseRouter::setEndpoints(const std::map<EndpointId, EndpointRecord> &endpoints, const ServingConfiguration &configuration, Time now)
{
    Impl &impl = *impl_;
    for (auto &[id, endpoint] : impl.endpoints) {
        endpoint.listed = false;
    }
    impl.services.clear();
    impl.endpointOfHash.clear();
    for (const auto &[id, record] : endpoints) {
        Impl::Endpoint &endpoint = impl.findOrAddEndpoint(record);
        if (endpoint.record.phase != record.phase) {
            endpoint.consecutiveRejections = 0;
        }
        endpoint.record = record;
        endpoint.refusal.observeHeartbeat(record.heartbeat);
        endpoint.listed = true;
        endpoint.distance = impl.distanceTo(record.dataCentre);
        Impl::updateLimit(endpoint, impl.processCount, now);
        impl.setEngineProfile(endpoint, configuration);
        impl.addToFleet(endpoint);
    }
    impl.removeUnusedState();
}

PhaseRouter::Impl::Endpoint &PhaseRouter::Impl::findOrAddEndpoint(const EndpointRecord &record)
{
    const auto [found, isNew] = endpoints.try_emplace(record.id);
    Endpoint &endpoint = found->second;
    if (isNew) {
        endpoint.cacheIndex = nextCacheIndex++;
        endpointOfCacheIndex.emplace(endpoint.cacheIndex, record.id);
    } else if (endpoint.record.startedAt != record.startedAt) {
        // A new incarnation starts with an empty cache and without the state of the previous one.
        const auto index = endpoint.cacheIndex;
        cache.clear(index);
        endpoint = Endpoint();
        endpoint.cacheIndex = index;
    } else if (endpoint.record.version != record.version) {
        // What is in the cache was computed by the other version.
        cache.clear(endpoint.cacheIndex);
    }
    return endpoint;
}

void PhaseRouter::Impl::setEngineProfile(Endpoint &endpoint, const ServingConfiguration &configuration)
{
    const ServiceId &id = endpoint.record.service;
    const auto service = configuration.services.find(id);
    const std::optional<EngineProfile> engine = service == configuration.services.end() ? std::nullopt : service->second.engine;
    cache.setCapacity(endpoint.cacheIndex, engine ? static_cast<std::size_t>(engine->cacheTokens.count()) : 0);
    if (engine) {
        engineProfiles[id] = *engine;
    }
    // Calls of an earlier configuration may still be placed on engines of a service that this configuration has removed.
    endpoint.model = engineProfiles.contains(id) ? &engineModels[id] : nullptr;
}

void PhaseRouter::Impl::addToFleet(Endpoint &endpoint)
{
    const std::uint64_t hash = internal::hashOf(endpoint.record.id);
    endpointOfHash[hash] = &endpoint;
    ServiceFleet &fleet = services[endpoint.record.service];
    (endpoint.distance == internal::Distance::OtherRegion ? fleet.far : fleet.near).push_back(&endpoint);
    const bool runsCalls = !endpoint.record.leaving && endpoint.record.phase != EnginePhase::Prefill;
    fleet.versions[endpoint.record.version] += runsCalls ? 1 : 0;
    if (endpoint.record.phase == EnginePhase::Prefill) {
        fleet.prefillEngines[{location.regionOf(endpoint.record.dataCentre), endpoint.record.version}].push_back({hash, &endpoint});
    }
}

void PhaseRouter::Impl::removeUnusedState()
{
    std::erase_if(meanLoads, [this](const auto &entry) {
        return !services.contains(entry.first.first);
    });
    std::erase_if(lastReturn, [this](const auto &entry) {
        return !services.contains(entry.first);
    });
    std::erase_if(phaseSpeeds, [this](const auto &entry) {
        return !services.contains(entry.first.first);
    });
    std::erase_if(relativeTimeReportedAt, [this](const auto &entry) {
        return !services.contains(entry.first);
    });
    std::erase_if(delays, [this](const auto &entry) {
        return !services.contains(entry.first.first);
    });
    std::erase_if(endpoints, [this](const auto &entry) {
        const bool unused = !entry.second.listed && entry.second.ownAttempts == 0;
        if (unused) {
            cache.clear(entry.second.cacheIndex);
            endpointOfCacheIndex.erase(entry.second.cacheIndex);
        }
        return unused;
    });
    pruneEngineModels();
}

void PhaseRouter::Impl::pruneEngineModels()
{
    std::set<ServiceId> used;
    for (const auto &[id, endpoint] : endpoints) {
        used.insert(endpoint.record.service);
    }
    std::erase_if(engineProfiles, [&used](const auto &entry) {
        return !used.contains(entry.first);
    });
    std::erase_if(engineModels, [&used](const auto &entry) {
        return !used.contains(entry.first);
    });
}

double PhaseRouter::meanWaiting(const ServiceId &service, EnginePhase phase, Time now) const
{
    return impl_->meanWaiting(service, phase, now);
}

std::map<ServiceId, EngineTimes> PhaseRouter::engineTimes() const
{
    std::map<ServiceId, EngineTimes> times;
    for (const auto &[service, model] : impl_->engineModels) {
        times.emplace(service, model.times());
    }
    return times;
}

const EndpointRecord *PhaseRouter::record(const EndpointId &endpoint) const
{
    const auto found = impl_->endpoints.find(endpoint);
    return found == impl_->endpoints.end() ? nullptr : &found->second.record;
}

} // namespace mimosatally
