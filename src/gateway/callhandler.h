#pragma once

#include "gatewaystate.h"

#include <mimosatally/Http>

#include <boost/asio/awaitable.hpp>

namespace mimosatally::internal
{

/// \brief Serves the calls of callers: finds the route, admits, places, sends, repeats where that is allowed, and relays the answer.
class CallHandler
{
public:
    explicit CallHandler(GatewayState &gateway);

    boost::asio::awaitable<void> handle(HttpExchange &exchange);

private:
    /// \brief Whether a stopping process might have to cut the call off.
    [[nodiscard]] bool endsTooLate(const CallRequest &call, const Route &route) const;

    GatewayState &gateway_;
};

} // namespace mimosatally::internal
