#pragma once

#include "route.h"

#include <cstdint>
#include <map>
#include <optional>

namespace mimosatally
{

/// \brief What all engines of a service have in common.
struct EngineProfile {
    /// \brief Requests in one batch.
    int slots = 1;
    Tokens cacheTokens;
    Bytes bytesPerToken;
    /// \brief Bits per millisecond of an engine's link for KV cache.
    double linkBitsPerMs = 0;
    /// \brief How long an engine keeps a prefilled prompt that nobody takes.
    Duration handleLifetime = Duration(0);
    /// \brief Time that a change of role takes an engine out of service.
    Duration roleChangeTime = Duration(0);
};

/// \brief Properties of a service that hold for each of its endpoints.
struct ServiceProfile {
    ServiceId id;
    /// \brief Connections that one endpoint accepts from all callers together.
    int maxConnections = 1;
    /// \brief Nothing for a plain service.
    std::optional<EngineProfile> engine;
};

/// \brief Bounds on what one caller may send.
struct CallerLimits {
    std::size_t maxHeaderBytes = std::size_t(16) * 1024;
    std::size_t maxBodyBytes = std::size_t(4) * 1024 * 1024;
    Duration headerTimeout = Duration(3000);
    Duration idleTimeout = Duration(15000);
};

/// \brief One version of what operators want to be served.
struct ServingConfiguration {
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::map<ServiceId, ServiceProfile> services;
    CallerLimits limits;
};

} // namespace mimosatally
