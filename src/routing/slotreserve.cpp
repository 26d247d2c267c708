#include "phaserouterimpl.h"
#include "phasetimes.h"

#include <algorithm>
#include <cmath>

namespace mimosatally
{

namespace
{
bool runsCalls(const internal::DirectEndpoint *endpoint)
{
    return endpoint->record.phase != EnginePhase::Prefill;
}
} // namespace

int PhaseRouter::Impl::reservedSlots(const Endpoint &endpoint, double perEndpoint)
{
    const double whole = std::floor(perEndpoint);
    // The hash decides alike in all processes which endpoints keep one slot more.
    constexpr double hashRange = 18446744073709551616.0;
    const bool keepsOneMore = static_cast<double>(internal::hashOf(endpoint.record.id)) < (perEndpoint - whole) * hashRange;
    return static_cast<int>(whole) + (keepsOneMore ? 1 : 0);
}

bool PhaseRouter::Impl::keepReservedSlots(std::vector<const Endpoint *> &candidates, const PlacementRequest &request, Time now) const
{
    const auto running = std::ranges::count_if(candidates, runsCalls);
    if (request.reservedSlots <= 0 || running == 0) {
        return false;
    }
    const auto service = services.find(request.service);
    std::size_t endpointCount = 0;
    for (const auto &[version, count] : service->second.versions) {
        endpointCount += count;
    }
    const double perEndpoint = request.reservedSlots / static_cast<double>(std::max<std::size_t>(endpointCount, 1));
    const auto isReserved = [&](const Endpoint *endpoint) {
        const double requests = endpoint->ownAttempts + foreignLoad(*endpoint, now).requests;
        return runsCalls(endpoint) && endpoint->record.slots - requests <= reservedSlots(*endpoint, perEndpoint);
    };
    if (std::ranges::count_if(candidates, isReserved) == running) {
        return true;
    }
    std::erase_if(candidates, isReserved);
    return false;
}

ServiceSlots PhaseRouter::slots(const ServiceId &service, Time now) const
{
    ServiceSlots result;
    const auto found = impl_->services.find(service);
    if (found == impl_->services.end()) {
        return result;
    }
    for (const auto *endpoints : {&found->second.near, &found->second.far}) {
        for (const Impl::Endpoint *endpoint : *endpoints) {
            if (!Impl::acceptsCalls(*endpoint, now)) {
                continue;
            }
            const internal::ForeignLoad foreign = impl_->foreignLoad(*endpoint, now);
            result.total += endpoint->record.slots;
            result.requests += endpoint->ownAttempts + foreign.requests;
            result.waiting += foreign.waiting;
        }
    }
    return result;
}

} // namespace mimosatally
