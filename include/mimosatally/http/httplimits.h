#pragma once

#include <cstddef>
#include <mimosatally/core/milliclock.h>

namespace mimosatally
{

/// \brief Bounds on what one HTTP peer may use.
struct HttpLimits {
    std::size_t maxHeaderBytes = std::size_t(16) * 1024;
    std::size_t maxBodyBytes = std::size_t(8) * 1024 * 1024;
    std::size_t maxConnections = 4096;
    /// \brief Time for a complete request after its first byte, and for each write to the peer.
    Duration transferTimeout = Duration(15000);
    /// \brief Time that a connection may stay without a request.
    Duration idleTimeout = Duration(60000);
};

} // namespace mimosatally
