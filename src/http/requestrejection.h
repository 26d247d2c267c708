#pragma once

#include <boost/system/error_code.hpp>
#include <mimosatally/http/httpmessage.h>
#include <optional>
#include <string>

namespace mimosatally::internal
{

/// \brief Why a request is answered without having been handled.
struct RequestRejection {
    unsigned status;
    const char *code;
    const char *message;
};

/// \brief Rejection for an error while reading, or empty if none can be sent, as when the peer has disconnected.
[[nodiscard]] std::optional<RequestRejection> rejectionFor(const boost::system::error_code &error);

/// \brief Response for a request that was rejected and has not run.
[[nodiscard]] HttpResponse makeRejection(const RequestRejection &rejection);

/// \brief Response for a request whose handler has failed.
[[nodiscard]] HttpResponse makeHandlerFailure();

} // namespace mimosatally::internal
