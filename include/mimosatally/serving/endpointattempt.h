#pragma once

#include <mimosatally/Core>

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace mimosatally
{

/// \brief Result of a prefill that an engine keeps for another engine.
struct PrefilledPrompt {
    /// \brief Address `IP:PORT` of the engine that keeps it.
    std::string source;
    std::string handle;
};

/// \brief Header fields that the gateway adds to a call when it sends it to an endpoint.
struct EndpointAttempt {
    /// \brief Intended endpoint; another endpoint at the same address rejects the call.
    EndpointId target;
    /// \brief Time after which the endpoint stops its work.
    Duration remainingTime = Duration(0);
    /// \brief Priority at an engine, 0 to 9.
    std::optional<int> priority;
    /// \brief Do the prefill only and keep its result for another engine.
    bool prefillOnly = false;
    std::optional<PrefilledPrompt> prefilled;
    /// \brief Engine from which the target fetches the blocks of the prompt's KV cache that it lacks.
    std::optional<boost::asio::ip::tcp::endpoint> cacheSource;
    /// \brief Id of the last event that the caller has received; if empty, the caller's own field is passed on.
    std::optional<std::string> resumeAfter;
    /// \brief Organisation of the call, empty if it has none. Set if the configuration has organisations; the caller's key is not forwarded then.
    std::optional<OrganisationId> organisation = std::nullopt;
};

} // namespace mimosatally
