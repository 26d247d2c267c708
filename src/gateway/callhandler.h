#pragma once

#include "callauthentication.h"
#include "gatewaystate.h"

#include <mimosatally/Http>

#include <boost/asio/awaitable.hpp>

namespace mimosatally::internal
{

/// \brief Serves calls: authenticates the caller, finds the route, admits, places and sends the call, retries where that is allowed, and relays the answer.
class CallHandler
{
public:
    explicit CallHandler(GatewayState &gateway);

    boost::asio::awaitable<void> handle(HttpExchange &exchange);

private:
    /// \brief Rejects a call that carries no valid key.
    boost::asio::awaitable<void> rejectUnauthenticated(HttpExchange &exchange, const CallRequest &call, const std::optional<KeyDigest> &key);
    /// \brief Returns whether long calls are already refused and the call could still be running when the process exits.
    [[nodiscard]] bool canOutlastShutdown(const CallRequest &call, const Route &route) const;

    GatewayState &gateway_;
    CallAuthentication authentication_;
};

} // namespace mimosatally::internal
