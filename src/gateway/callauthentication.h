#pragma once

#include <mimosatally/Serving>

#include <optional>
#include <string_view>

namespace mimosatally::internal
{

/// \brief Who has sent a call.
struct CallerIdentity {
    CallerOrganisation organisation;
    /// \brief Digest of the caller's key; empty if the call has no valid key.
    std::optional<KeyDigest> key;
};

/// \brief Result of the check of a call's key.
struct Authentication {
    /// \brief Empty if the call has to be rejected because it carries no valid key.
    std::optional<CallerIdentity> caller;
    /// \brief Digest of the key that the call carries; empty if it carries none that is well formed, or if the key is longer than all known ones.
    std::optional<KeyDigest> key;
};

/// \brief Authenticates callers by the keys of organisations. Performs no I/O.
class CallAuthentication
{
public:
    /// \brief Returns the identity of the sender of a call. \param route null if no route matches, which needs a key like a route that is not public.
    /// \param key that the call carries; empty if it carries none that is well formed.
    [[nodiscard]] Authentication authenticate(const KeyTable &keys, const Route *route, std::optional<std::string_view> key) const;

    /// \brief Returns whether a call in progress is still authenticated after another configuration has come into force.
    [[nodiscard]] static bool isValid(const KeyTable &keys, const CallerIdentity &caller);

private:
    KeyDigester digester_;
};

} // namespace mimosatally::internal
