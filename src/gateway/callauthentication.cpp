#include "callauthentication.h"

namespace mimosatally::internal
{

Authentication CallAuthentication::authenticate(const KeyTable &keys, const Route *route, std::optional<std::string_view> key) const
{
    Authentication result;
    CallerIdentity caller;
    if (!keys.isActive()) {
        result.caller = caller;
        return result;
    }
    if (key && key->size() <= keys.maxKeyBytes()) {
        result.key = digester_.digest(*key);
    }
    const Organisation *organisation = result.key ? keys.find(*result.key) : nullptr;
    if (organisation != nullptr) {
        caller.organisation = {organisation->id, organisation->priority};
        caller.key = result.key;
    }
    if (organisation != nullptr || (route != nullptr && route->isPublic)) {
        result.caller = std::move(caller);
    }
    return result;
}

bool CallAuthentication::isValid(const KeyTable &keys, const CallerIdentity &caller)
{
    if (!keys.isActive() || !caller.key) {
        return true;
    }
    const Organisation *organisation = keys.find(*caller.key);
    return organisation != nullptr && organisation->id == caller.organisation.id;
}

} // namespace mimosatally::internal
