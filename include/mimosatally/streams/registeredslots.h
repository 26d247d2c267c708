#pragma once

#include <mimosatally/Serving>

#include <map>

namespace mimosatally
{

/// \brief Slots of the registered endpoints of each version of each service, without those that are leaving.
using RegisteredSlots = std::map<ServiceId, std::map<SoftwareVersion, double>>;

/// \brief Adds the slots of an endpoint to \a slots, or takes them away.
void addSlots(RegisteredSlots &slots, const EndpointRecord &endpoint);
void removeSlots(RegisteredSlots &slots, const EndpointRecord &endpoint);

[[nodiscard]] RegisteredSlots slotsOf(const std::map<EndpointId, EndpointRecord> &endpoints);

} // namespace mimosatally
