#pragma once

#include <mimosatally/Core>

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>

namespace mimosatally
{

/// \brief Phase of a generation for which an engine is configured.
enum class EnginePhase {
    Prefill,
    Decode,
};

/// \brief Properties of an endpoint from its heartbeat.
struct EndpointRecord {
    EndpointId id;
    ServiceId service;
    boost::asio::ip::tcp::endpoint address;
    DataCentreId dataCentre;
    SoftwareVersion version;
    /// \brief Maximum number of requests that it runs concurrently.
    int slots = 1;
    /// \brief The endpoint accepts no new calls and will exit.
    bool leaving = false;
    /// \brief Empty for an endpoint of a plain service.
    std::optional<EnginePhase> phase;
    /// \brief Unix time of its start in milliseconds; distinguishes the incarnations of one id.
    std::int64_t startedAt = 0;
    /// \brief Number of the heartbeat within the incarnation; empty if the endpoint states none.
    std::optional<std::int64_t> heartbeat;
};

} // namespace mimosatally
