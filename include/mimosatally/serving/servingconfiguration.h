#pragma once

#include "organisation.h"
#include "route.h"

#include <cstdint>
#include <map>
#include <optional>

namespace mimosatally
{

/// \brief Properties that all engines of a service share.
struct EngineProfile {
    /// \brief Maximum number of requests in one batch.
    int slots = 1;
    Tokens cacheTokens;
    Bytes bytesPerToken;
    /// \brief Bandwidth of an engine's link for KV cache transfers, in bits per millisecond.
    double linkBitsPerMs = 0;
    /// \brief Time for which an engine keeps a prefilled prompt that is not fetched.
    Duration handleLifetime = Duration(0);
    /// \brief Time for which a role change takes an engine out of service.
    Duration roleChangeTime = Duration(0);

    bool operator==(const EngineProfile &) const = default;
};

/// \brief Bounds within which the platform adds and removes endpoints of a service.
struct ScalingProfile {
    /// \brief Bounds of the number of endpoints in each data centre.
    int minReplicas = 1;
    int maxReplicas = 1;
    /// \brief Time from the order of an endpoint until it serves.
    Duration bootTime = Duration(0);

    bool operator==(const ScalingProfile &) const = default;
};

/// \brief Properties of each endpoint of a service.
struct ServiceProfile {
    ServiceId id;
    /// \brief Maximum number of connections that one endpoint accepts from all callers together.
    int maxConnections = 1;
    /// \brief Empty for a plain service.
    std::optional<EngineProfile> engine;
    /// \brief Empty if the number of endpoints is fixed.
    std::optional<ScalingProfile> scaling = std::nullopt;

    bool operator==(const ServiceProfile &) const = default;
};

/// \brief Size limits and timeouts for the requests of one caller.
struct CallerLimits {
    std::size_t maxHeaderBytes = std::size_t(16) * 1024;
    std::size_t maxBodyBytes = std::size_t(4) * 1024 * 1024;
    Duration headerTimeout = Duration(3000);
    Duration idleTimeout = Duration(15000);

    bool operator==(const CallerLimits &) const = default;
};

/// \brief One version of the routes, services and limits that operators have configured.
struct ServingConfiguration {
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::map<ServiceId, ServiceProfile> services;
    CallerLimits limits;
    /// \brief Empty if callers do not authenticate.
    std::optional<std::vector<Organisation>> organisations;
    /// \brief Length of the longest key in bytes.
    std::size_t maxKeyBytes = 0;
};

} // namespace mimosatally
