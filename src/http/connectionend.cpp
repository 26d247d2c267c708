#include <mimosatally/http/connectionend.h>

namespace mimosatally
{

std::string_view toString(ConnectionEndReason reason)
{
    switch (reason) {
    case ConnectionEndReason::Completed:
        return "completed";
    case ConnectionEndReason::CallerClosed:
        return "caller-closed";
    case ConnectionEndReason::IdleTimeout:
        return "idle";
    case ConnectionEndReason::Rejected:
        return "rejected";
    case ConnectionEndReason::ReadFailed:
        return "read-failed";
    case ConnectionEndReason::WriteFailed:
        return "write-failed";
    case ConnectionEndReason::Aborted:
        return "aborted";
    case ConnectionEndReason::HandlerFailed:
        return "handler-failed";
    case ConnectionEndReason::Shutdown:
        return "shutdown";
    case ConnectionEndReason::TooManyConnections:
        return "too-many-connections";
    }
    return "unknown";
}

} // namespace mimosatally
