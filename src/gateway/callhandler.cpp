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
constexpr unsigned STATUS_NOT_FOUND = 404;
constexpr unsigned STATUS_UNAVAILABLE = 503;
/// \brief A process that has just started knows its configuration after this time.
constexpr Duration START_RETRY_AFTER = Duration(500);
/// \brief The next connection of the caller reaches another process.
constexpr Duration OTHER_GATEWAY_RETRY_AFTER = Duration(50);
} // namespace

CallHandler::CallHandler(GatewayState &gateway)
    : gateway_(gateway)
{
}

bool CallHandler::endsTooLate(const CallRequest &call, const Route &route) const
{
    const Time now = MilliClock::now();
    const Duration longest = std::min(call.remainingTime.value_or(route.timeout), route.timeout);
    return now >= gateway_.refusesLongCallsFrom && now + longest > gateway_.stopsAt;
}

awaitable<void> CallHandler::handle(HttpExchange &exchange)
{
    std::optional<CallRequest> call;
    std::string problem;
    try {
        call = platform::decodeCall(exchange.request());
    } catch (const MalformedInputError &error) {
        problem = error.what();
    }
    if (!call || call->id.empty()) {
        logEvent(LogEvent::GatewayCallMalformed, {{"error", problem.empty() ? "no request id" : problem}});
        HttpResponse response = makeErrorResponse(STATUS_BAD_REQUEST, "malformed", std::nullopt);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (!gateway_.canServe()) {
        logEvent(LogEvent::GatewayCallRefused, {{"request", call->id}, {"reason", "no-configuration"}, {"retry_after_ms", START_RETRY_AFTER}});
        HttpResponse response = makeErrorResponse(STATUS_UNAVAILABLE, "no-configuration", START_RETRY_AFTER);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const Route *route = gateway_.routes.find(call->host, call->path);
    if (route == nullptr) {
        logEvent(LogEvent::GatewayCallRefused, {{"request", call->id}, {"reason", "no-route"}, {"configuration", gateway_.configuration->version}});
        HttpResponse response = makeErrorResponse(STATUS_NOT_FOUND, "no-route", std::nullopt);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (endsTooLate(*call, *route)) {
        logEvent(LogEvent::GatewayCallRefused, {{"request", call->id}, {"reason", "stopping"}, {"retry_after_ms", OTHER_GATEWAY_RETRY_AFTER}});
        HttpResponse response = makeErrorResponse(STATUS_UNAVAILABLE, "stopping", OTHER_GATEWAY_RETRY_AFTER);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    CallFlow flow(gateway_, exchange, std::move(*call), gateway_.configuration, *route);
    co_await flow.run();
}

} // namespace mimosatally::internal
