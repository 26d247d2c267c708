#include "callrefusal.h"

#include <nlohmann/json.hpp>

namespace mimosatally::internal
{

namespace
{
constexpr Duration::rep MILLISECONDS_PER_SECOND = 1000;

std::string errorType(unsigned code)
{
    switch (code) {
    case status::UNAUTHORIZED:
        return "authentication_error";
    case status::TOO_MANY_REQUESTS:
        return "rate_limit_error";
    case status::BAD_GATEWAY:
    case status::SERVICE_UNAVAILABLE:
    case status::GATEWAY_TIMEOUT:
        return "server_error";
    default:
        return "invalid_request_error";
    }
}

bool isContractReason(const std::string &reason)
{
    return reason == "wait-too-long" || reason == "deadline-passed" || reason == "no-endpoint-in-time";
}

nlohmann::json textOrNull(const std::string &text)
{
    return text.empty() ? nlohmann::json(nullptr) : nlohmann::json(text);
}
} // namespace

CallRefusedError::CallRefusedError(CallRefusal refusal)
    : Error(refusal.message)
    , refusal_(std::move(refusal))
{
}

const CallRefusal &CallRefusedError::refusal() const
{
    return refusal_;
}

std::string outcomeName(const CallRefusal &refusal)
{
    return refusal.outcomeUnknown ? "outcome_unknown" : "not_run";
}

std::string refusalBody(const CallRefusal &refusal, const RefusalContext &context)
{
    nlohmann::ordered_json body;
    body["error"] = {{"message", refusal.message}, {"type", errorType(refusal.status)}, {"code", refusal.reason}, {"param", textOrNull(refusal.param)}};
    auto &details = body["mimosatally"];
    details["outcome"] = outcomeName(refusal);
    details["reason"] = refusal.reason;
    details["request"] = context.request.value();
    details["contract"] = textOrNull(context.customer.value());
    details["configuration_version"] = context.version.count();
    details["retry_after_ms"] = refusal.retryAfter ? nlohmann::json(refusal.retryAfter->count()) : nlohmann::json(nullptr);
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse refusalResponse(const CallRefusal &refusal, const RefusalContext &context)
{
    HttpResponse response = makeHttpResponse(refusal.status, "application/json", refusalBody(refusal, context));
    if (refusal.retryAfter) {
        const auto seconds = (refusal.retryAfter->count() + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND;
        response.set(boost::beast::http::field::retry_after, std::to_string(seconds));
    }
    return response;
}

CallRefusal malformed(std::string message, std::string param)
{
    return {.status = status::BAD_REQUEST, .reason = "malformed", .message = std::move(message), .param = std::move(param), .retryAfter = std::nullopt};
}

CallRefusal refusedNotRun(std::string reason, std::optional<Duration> retryAfter)
{
    CallRefusal refusal;
    refusal.status = isContractReason(reason) ? status::TOO_MANY_REQUESTS : status::SERVICE_UNAVAILABLE;
    refusal.message = "the request was not run: " + reason;
    refusal.reason = std::move(reason);
    refusal.retryAfter = retryAfter;
    return refusal;
}

CallRefusal refusedOutcomeUnknown(unsigned status, std::string reason)
{
    CallRefusal refusal;
    refusal.status = status;
    refusal.message = "it is not known whether the request was run: " + reason;
    refusal.reason = std::move(reason);
    refusal.outcomeUnknown = true;
    return refusal;
}

} // namespace mimosatally::internal
