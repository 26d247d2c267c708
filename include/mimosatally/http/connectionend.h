#pragma once

#include <cstddef>
#include <mimosatally/core/milliclock.h>
#include <string>
#include <string_view>

namespace mimosatally
{

/// \brief Why a connection of a caller has ended.
enum class ConnectionEndReason {
    /// \brief The last answer announced the end, or the caller asked for it.
    Completed,
    /// \brief The caller closed or reset the connection while no request was being read or answered.
    CallerClosed,
    /// \brief No request came within the idle timeout.
    IdleTimeout,
    /// \brief Bytes that are not a proper request, or came too slowly, were answered with an error.
    Rejected,
    /// \brief The caller closed or reset the connection within a request.
    ReadFailed,
    /// \brief An answer could not be written, because the caller has gone or reads too slowly.
    WriteFailed,
    /// \brief The handler ended the connection before the end of its answer.
    Aborted,
    /// \brief The handler failed with an error that is not of the connection.
    HandlerFailed,
    /// \brief The server was shut down.
    Shutdown,
    /// \brief As many connections as the limits allow are open; a request on this one is refused.
    TooManyConnections,
};

/// \brief Name of \a reason in logs and metrics.
[[nodiscard]] std::string_view toString(ConnectionEndReason reason);

/// \brief End of a caller's connection.
struct ConnectionEnd {
    ConnectionEndReason reason = ConnectionEndReason::Completed;
    /// \brief Requests that were read whole.
    std::size_t requests = 0;
    /// \brief Bytes from the caller that were received and not answered, read or not.
    std::size_t unreadBytes = 0;
    /// \brief A request was being answered when the server was shut down.
    bool answering = false;
    /// \brief Time that the connection waited for a request, if it ended while it waited for one.
    Duration idle = Duration(0);
    /// \brief Error of the connection or of the handler; empty if there was none.
    std::string error;
};

} // namespace mimosatally
