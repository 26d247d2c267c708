#include "callauthentication.h"

namespace mimosatally::internal
{

std::optional<CallerIdentity> CallAuthentication::authenticate(const KeyTable &keys, const Route *route, std::optional<std::string_view> key) const
{
    CallerIdentity caller;
    if (!keys.isActive()) {
        return caller;
    }
    if (key && key->size() <= keys.maxKeyBytes()) {
        const KeyDigest digest = digester_.digest(*key);
        if (const Organisation *organisation = keys.find(digest)) {
            caller.organisation = {organisation->id, organisation->priority};
            caller.key = digest;
            return caller;
        }
    }
    const bool needsKey = route == nullptr || !route->isPublic;
    return needsKey ? std::nullopt : std::optional(caller);
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
