#include "callhandler.h"

#include "callflow.h"

#include <algorithm>
#include <platform/callcodec.h>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
constexpr unsigned STATUS_BAD_REQUEST = 400;
constexpr unsigned STATUS_UNAUTHORIZED = 401;
constexpr unsigned STATUS_NOT_FOUND = 404;
constexpr unsigned STATUS_UNAVAILABLE = 503;
/// \brief Time after which a newly started process has its configuration.
constexpr Duration STARTUP_RETRY_AFTER = Duration(500);
/// \brief Short retry delay, since the next connection of the caller reaches another process.
constexpr Duration OTHER_GATEWAY_RETRY_AFTER = Duration(50);
} // namespace

CallHandler::CallHandler(GatewayState &gateway)
    : gateway_(gateway)
{
}

bool CallHandler::canOutlastShutdown(const CallRequest &call, const Route &route) const
{
    const Time now = MilliClock::now();
    const Duration maxDuration = std::min(call.remainingTime.value_or(route.timeout), route.timeout);
    return now >= gateway_.longCallsRefusedFrom && now + maxDuration > gateway_.stopDeadline;
}

awaitable<void> CallHandler::rejectUnauthenticated(HttpExchange &exchange, const CallRequest &call, const std::optional<KeyDigest> &key)
{
    logEvent(LogEvent::GatewayCallRefused,
             {{"request", call.id},
              {"reason", "unknown-key"},
              {"key", key ? digestPrefix(*key) : "-"},
              {"keys", gateway_.keys.size()},
              {"configuration", gateway_.configuration->version}});
    gateway_.metrics.increment("mimosatally_calls_unauthenticated_total", {});
    HttpResponse response = makeErrorResponse(STATUS_UNAUTHORIZED, "unknown-key", std::nullopt);
    response.set(boost::beast::http::field::www_authenticate, "Bearer");
    co_await exchange.respond(std::move(response));
}

awaitable<void> CallHandler::handle(HttpExchange &exchange)
{
    std::optional<CallRequest> call;
    std::string decodeError;
    try {
        call = platform::decodeCall(exchange.request());
    } catch (const MalformedInputError &error) {
        decodeError = error.what();
    }
    if (!gateway_.canServe()) {
        logEvent(LogEvent::GatewayCallRefused,
                 {{"request", call ? call->id : RequestId("-")}, {"reason", "no-configuration"}, {"retry_after_ms", STARTUP_RETRY_AFTER}});
        HttpResponse response = makeErrorResponse(STATUS_UNAVAILABLE, "no-configuration", STARTUP_RETRY_AFTER);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (!call || call->id.empty()) {
        logEvent(LogEvent::GatewayCallMalformed, {{"error", decodeError.empty() ? "no request id" : decodeError}});
        HttpResponse response = makeErrorResponse(STATUS_BAD_REQUEST, "malformed", std::nullopt);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const Route *route = gateway_.routes.find(call->host, call->path);
    Authentication authentication = authentication_.authenticate(gateway_.keys, route, platform::callerKey(exchange.request()));
    if (!authentication.caller) {
        co_await rejectUnauthenticated(exchange, *call, authentication.key);
        co_return;
    }
    if (route == nullptr) {
        logEvent(LogEvent::GatewayCallRefused, {{"request", call->id}, {"reason", "no-route"}, {"configuration", gateway_.configuration->version}});
        HttpResponse response = makeErrorResponse(STATUS_NOT_FOUND, "no-route", std::nullopt);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (canOutlastShutdown(*call, *route)) {
        logEvent(LogEvent::GatewayCallRefused, {{"request", call->id}, {"reason", "stopping"}, {"retry_after_ms", OTHER_GATEWAY_RETRY_AFTER}});
        HttpResponse response = makeErrorResponse(STATUS_UNAVAILABLE, "stopping", OTHER_GATEWAY_RETRY_AFTER);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    CallFlow flow(gateway_, exchange, std::move(*call), std::move(*authentication.caller), gateway_.configuration, *route);
    co_await flow.run();
}

} // namespace mimosatally::internal
