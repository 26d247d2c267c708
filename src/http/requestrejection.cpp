#include "requestrejection.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <nlohmann/json.hpp>

namespace mimosatally::internal
{

namespace http = boost::beast::http;

namespace
{
/// \brief Time after which a request that was refused for its bytes may be sent again.
constexpr const char *OVERLOADED_RETRY_AFTER_SECONDS = "1";
constexpr unsigned STATUS_BAD_REQUEST = 400;
constexpr unsigned STATUS_REQUEST_TIMEOUT = 408;
constexpr unsigned STATUS_PAYLOAD_TOO_LARGE = 413;
constexpr unsigned STATUS_HEADER_TOO_LARGE = 431;
constexpr unsigned STATUS_INTERNAL_ERROR = 500;
constexpr unsigned STATUS_UNAVAILABLE = 503;

/// \brief Error body in the format of docs/api.md; a request that could not be read has no id, customer or decision record.
std::string errorBody(const char *message, const char *code, const char *type, const char *outcome)
{
    const nlohmann::ordered_json body = {{"error", {{"message", message}, {"type", type}, {"code", code}, {"param", nullptr}}},
                                         {"mimosatally",
                                          {{"outcome", outcome},
                                           {"reason", code},
                                           {"request", nullptr},
                                           {"contract", nullptr},
                                           {"configuration_version", nullptr},
                                           {"retry_after_ms", nullptr}}}};
    return body.dump();
}
} // namespace

std::optional<RequestRejection> rejectionFor(const boost::system::error_code &error)
{
    if (error == http::error::end_of_stream) {
        return std::nullopt;
    }
    if (error == http::error::partial_message) {
        // The caller may have shut down only its sending side.
        return RequestRejection {STATUS_BAD_REQUEST, "incomplete", "the request ended before it was complete"};
    }
    if (error == boost::beast::error::timeout) {
        return RequestRejection {STATUS_REQUEST_TIMEOUT, "request-timeout", "the request was not received in time"};
    }
    if (error == http::error::body_limit) {
        return RequestRejection {STATUS_PAYLOAD_TOO_LARGE, "body-too-large", "the request body is too large"};
    }
    if (error == http::error::header_limit) {
        return RequestRejection {STATUS_HEADER_TOO_LARGE, "header-too-large", "the request header is too large"};
    }
    if (error == http::error::buffer_overflow) {
        return RequestRejection {STATUS_HEADER_TOO_LARGE, "framing-too-large", "a chunk's length or extension, or the trailer, is too large"};
    }
    if (error == boost::asio::error::no_buffer_space) {
        return RequestRejection {STATUS_UNAVAILABLE, "overloaded", "the requests that are being received hold too many bytes"};
    }
    if (error.category() == make_error_code(http::error::bad_method).category()) {
        return RequestRejection {STATUS_BAD_REQUEST, "malformed", "the request is not well-formed HTTP"};
    }
    return std::nullopt;
}

HttpResponse makeRejection(const RequestRejection &rejection)
{
    HttpResponse response =
        makeHttpResponse(rejection.status, "application/json", errorBody(rejection.message, rejection.code, "invalid_request_error", "not_run"));
    if (rejection.status == STATUS_UNAVAILABLE) {
        response.set(http::field::retry_after, OVERLOADED_RETRY_AFTER_SECONDS);
    }
    return response;
}

HttpResponse makeHandlerFailure()
{
    return makeHttpResponse(STATUS_INTERNAL_ERROR, "application/json", errorBody("internal error", "internal-error", "server_error", "outcome_unknown"));
}

} // namespace mimosatally::internal
