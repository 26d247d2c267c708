#pragma once

#include "connectionpool.h"

#include <mimosatally/Gateway>
#include <mimosatally/Membership>
#include <mimosatally/Routing>
#include <mimosatally/Serving>

#include <boost/asio/io_context.hpp>
#include <random>
#include <set>

namespace mimosatally::internal
{

/// \brief What the parts of one gateway process share; all run on one thread.
struct GatewayState {
    GatewayState(boost::asio::io_context &context, const GatewaySettings &processSettings);

    /// \brief Puts a version in force unless a newer one is. \return whether it did.
    bool applyConfiguration(ServingConfiguration next);

    /// \brief Brings changes of the registry to the router.
    void applyEndpoints(Time now);

    /// \brief Whether calls can be served: a configuration and at least one endpoint are known.
    [[nodiscard]] bool canServe() const;

    /// \brief Whether a call has arrived since the start of the process.
    [[nodiscard]] bool serving() const;

    /// \brief Number in [0, 1).
    double jitter();

    boost::asio::io_context &io;
    GatewaySettings settings;
    Metrics metrics;
    std::shared_ptr<const ServingConfiguration> configuration;
    RouteTable routes;
    EndpointRegistry registry;
    PhaseRouter router;
    KeyedRetryBudget<ServiceId> retries;
    ConnectionPool connections;
    bool leaving = false;
    /// \brief When a stopping process ends at the latest, and from when on it takes no call that could last longer.
    Time stopsAt = Time::max();
    Time refusesLongCallsFrom = Time::max();
    std::uint64_t callsReceived = 0;
    /// \brief When each of the calls that are not answered yet arrived.
    std::multiset<Time> runningSince;

private:
    void logChanges();

    /// \brief What was last put in use, to log what differs.
    std::map<EndpointId, EndpointRecord> known_;
    std::mt19937_64 random_;
    std::uint64_t appliedChanges_ = 0;
};

} // namespace mimosatally::internal
