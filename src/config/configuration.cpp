#include <mimosatally/Config>

#include <algorithm>

namespace mimosatally
{

namespace
{
template<class Item, class Key>
const Item *findBy(const std::vector<Item> &items, Key Item::*member, const Key &key)
{
    const auto found = std::ranges::find(items, key, member);
    return found == items.end() ? nullptr : &*found;
}
} // namespace

std::string_view toString(EngineRole role)
{
    switch (role) {
    case EngineRole::Prefill:
        return "prefill";
    case EngineRole::Decode:
        return "decode";
    case EngineRole::Mixed:
        return "mixed";
    }
    return "unknown";
}

std::optional<EngineRole> parseEngineRole(std::string_view name)
{
    for (const EngineRole role : {EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed}) {
        if (toString(role) == name) {
            return role;
        }
    }
    return std::nullopt;
}

const Contract *ConfigurationState::findContract(const CustomerId &customer) const
{
    return findBy(configuration.contracts, &Contract::customer, customer);
}

const Endpoint *ConfigurationState::findEndpoint(const EndpointId &endpoint) const
{
    return findBy(configuration.endpoints, &Endpoint::id, endpoint);
}

const Service *ConfigurationState::findService(const ServiceId &service) const
{
    return findBy(configuration.services, &Service::id, service);
}

InstanceState ConfigurationState::stateOf(const InstanceId &instance) const
{
    const auto found = instanceStates.find(instance);
    return found == instanceStates.end() ? InstanceState::Active : found->second;
}

} // namespace mimosatally
