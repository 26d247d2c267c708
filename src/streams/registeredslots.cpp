#include <mimosatally/Streams>

#include <algorithm>

namespace mimosatally
{

namespace
{
int countedSlots(const EndpointRecord &endpoint)
{
    return endpoint.leaving ? 0 : std::max(1, endpoint.slots);
}
} // namespace

void addSlots(RegisteredSlots &slots, const EndpointRecord &endpoint)
{
    slots[endpoint.service][endpoint.version] += countedSlots(endpoint);
}

void removeSlots(RegisteredSlots &slots, const EndpointRecord &endpoint)
{
    slots[endpoint.service][endpoint.version] -= countedSlots(endpoint);
    // Sums of whole numbers are exact, so nothing remains of the last endpoint.
    std::erase_if(slots[endpoint.service], [](const auto &version) {
        return version.second <= 0;
    });
    if (slots[endpoint.service].empty()) {
        slots.erase(endpoint.service);
    }
}

RegisteredSlots slotsOf(const std::map<EndpointId, EndpointRecord> &endpoints)
{
    RegisteredSlots slots;
    for (const auto &[id, endpoint] : endpoints) {
        addSlots(slots, endpoint);
    }
    return slots;
}

} // namespace mimosatally
