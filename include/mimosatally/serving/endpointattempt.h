#pragma once

#include <mimosatally/Core>

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace mimosatally
{

/// \brief A prompt that an engine has read and keeps for another engine.
struct PrefilledPrompt {
    /// \brief Address `IP:PORT` of the engine that keeps it.
    std::string source;
    std::string handle;
};

/// \brief What the gateway adds to a call when it sends it to an endpoint.
struct EndpointAttempt {
    /// \brief Another endpoint at the same address rejects the call.
    EndpointId target;
    /// \brief The endpoint stops its work after this time.
    Duration remainingTime = Duration(0);
    /// \brief Urgency at an engine, 0 to 9.
    std::optional<int> priority;
    /// \brief Read the prompt only and keep it for another engine.
    bool prefillOnly = false;
    std::optional<PrefilledPrompt> prefilled;
    /// \brief Engine from which the target fetches what it lacks of the prompt's cache.
    std::optional<boost::asio::ip::tcp::endpoint> cacheSource;
    /// \brief Last event that the caller has; nothing leaves what the caller itself sent.
    std::optional<std::string> resumeAfter;
};

} // namespace mimosatally
