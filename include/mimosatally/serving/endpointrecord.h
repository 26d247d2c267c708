#pragma once

#include <mimosatally/Core>

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>

namespace mimosatally
{

/// \brief Phase of a generation that an engine is set up for.
enum class EnginePhase {
    Prefill,
    Decode,
};

/// \brief What an endpoint says of itself in its heartbeat.
struct EndpointRecord {
    EndpointId id;
    ServiceId service;
    boost::asio::ip::tcp::endpoint address;
    DataCentreId dataCentre;
    /// \brief Requests that it runs at once.
    int slots = 1;
    /// \brief It takes no new work and will exit.
    bool leaving = false;
    /// \brief Nothing for an endpoint of a plain service.
    std::optional<EnginePhase> phase;
    /// \brief Unix time of its start in milliseconds; tells the incarnations of one id apart.
    std::int64_t startedAt = 0;
};

} // namespace mimosatally
