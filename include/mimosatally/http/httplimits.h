#pragma once

#include <cstddef>
#include <mimosatally/core/milliclock.h>

namespace mimosatally
{

/// \brief Limits on the resources that the peers of a server may use.
struct HttpLimits {
    std::size_t maxHeaderBytes = std::size_t(16) * 1024;
    std::size_t maxBodyBytes = std::size_t(8) * 1024 * 1024;
    std::size_t maxConnections = 4096;
    /// \brief Bytes of requests that all connections hold together; beyond it, the request that is being read and holds the most is answered with 503. A change
    /// has no effect on a server that runs.
    std::size_t maxHeldBytes = std::size_t(64) * 1024 * 1024;
    /// \brief Maximum time for a complete request after its first byte, and for each write to the peer.
    Duration transferTimeout = Duration(15000);
    /// \brief Maximum time that a connection may stay open without a request.
    Duration idleTimeout = Duration(60000);
};

} // namespace mimosatally
