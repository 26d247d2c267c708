#pragma once

#include <mimosatally/Http>
#include <mimosatally/Serving>

#include <cstdint>
#include <span>

namespace mimosatally::internal
{

/// \brief Returns a hash of what identifies a request that a caller sends again: method, host, path with query, credentials, the parts of its prompt and body.
///
/// All gateways derive the same value. Other fields are left out, since they can differ between attempts. The hash is a cryptographic one, so that a caller
/// cannot make a request that is taken for another caller's.
[[nodiscard]] std::uint64_t requestHash(const HttpRequest &request, std::span<const PromptPart> parts);

} // namespace mimosatally::internal
