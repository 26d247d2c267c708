#pragma once

#include "callauthentication.h"
#include "callguard.h"
#include "connectionpool.h"
#include "contentioncontrol.h"
#include "contentionreport.h"
#include "crashwatch.h"
#include "limitreport.h"
#include "livenessprobe.h"
#include "organisationhashes.h"
#include "organisationlabels.h"
#include "preparedconfiguration.h"
#include "roomwaiters.h"
#include "streamlookup.h"
#include "usagecounter.h"

#include <mimosatally/Gateway>
#include <mimosatally/Membership>
#include <mimosatally/Routing>
#include <mimosatally/Serving>
#include <mimosatally/Usage>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace mimosatally::internal
{

/// \brief A call that is not answered yet.
struct ActiveCall {
    std::weak_ptr<CallGuard> guard;
    /// \brief Without a key if the call does not need one.
    CallerIdentity caller;
};

/// \brief State shared by the components of one gateway process, which all run on one thread.
struct GatewayState {
    GatewayState(boost::asio::io_context &context, const GatewaySettings &processSettings);

    /// \brief Puts a configuration in force unless its version, or a newer one, already is. \return true if it did.
    /// \param follows no version between the last one and this one was missed.
    bool applyConfiguration(PreparedConfiguration next, const ConfigurationCost &cost = ConfigurationCost(), bool follows = false);

    /// \brief Replaces the configuration in force by another text of the same version.
    void replaceConfiguration(PreparedConfiguration next, const ConfigurationCost &cost = ConfigurationCost());

    /// \brief Sets what is called after each configuration that is put in force.
    void onConfiguration(std::function<void(const ServingConfiguration &)> callback);

    /// \brief Passes changes of the endpoint registry on to the router.
    void applyEndpoints(Time now);

    /// \brief Records the registered endpoints for the rules by which streams begin, if they have changed since the last call.
    void recordEndpointStates(Time now);

    /// \brief Returns whether this process knows the endpoints well enough to begin streams that others may take up. One that has read neither the store nor a
    /// peer for OriginRules::VIEW_LIFETIME does not, unless it is the only one.
    [[nodiscard]] bool hasFreshView(Time now) const;

    /// \brief Returns as of when the endpoints are known; empty if none were read.
    [[nodiscard]] std::optional<Time> endpointsAsOf() const;

    /// \brief Sets the number of gateways, this one included, that share the limits of the endpoints; see PhaseRouter::setProcessCount().
    void setProcessCount(int count, Time now);

    /// \brief Ends the deadlines of all calls that are not answered yet, so that their callers get a final answer before the process exits.
    void expireActiveCalls();

    /// \brief Records the era that an answer of the store states, with a log line and metrics if it has changed. \param topic topic of the answer, for the log.
    StoreEraTracker::Observation observeStoreEra(std::optional<StoreEra> era, const char *topic, Time now);

    /// \brief Returns true if a configuration and at least one endpoint are known.
    [[nodiscard]] bool canServe() const;

    /// \brief Returns true if a call has arrived since the start of the process.
    [[nodiscard]] bool hasReceivedCalls() const;

    /// \brief Random number in [0, 1).
    double jitter();

    boost::asio::io_context &io;
    GatewaySettings settings;
    Metrics metrics;
    std::shared_ptr<const ServingConfiguration> configuration;
    RouteTable routes;
    KeyTable keys;
    OrganisationLabels organisationLabels;
    EndpointRegistry registry;
    StoreEraTracker storeEra;
    PhaseRouter router;
    LimitReport limitReport;
    ContentionControl contention;
    ContentionReport contentionReport;
    /// \brief Calls that wait in this process for a slot of their service.
    RoomWaiters roomWaiters;
    CrashSuspects suspects;
    CrashWatch crashWatch;
    /// \brief Versions that wrote the first events of streams.
    StreamTracker streams;
    /// \brief How fresh the endpoints read from the store are.
    StoreObservation endpointObservation;
    StreamLookup streamLookup;
    /// \brief When the last endpoint records that a peer has told were asked for.
    std::optional<Time> peerEndpointsAsOf;
    /// \brief True time, by which usage windows are told apart.
    FleetClock fleetClock;
    UsageLedger usageLedger;
    UsageCounter usageCounter;
    OrganisationHashes organisationHashes;
    KeyedRetryBudget<ServiceId> retries;
    ConnectionPool connections;
    LivenessProbe livenessProbe;
    /// \brief Bytes of endpoints' answers that all calls hold together.
    ByteBudget answerBytes;
    /// \brief Set by the signal that stops the process.
    bool stopping = false;
    /// \brief Latest end of a stopping process, and the time from which calls that could last longer are refused.
    Time stopDeadline = Time::max();
    Time longCallsRefusedFrom = Time::max();
    std::uint64_t callsReceived = 0;
    /// \brief Calls that are not answered yet, by their arrival times.
    std::multimap<Time, ActiveCall> activeCalls;
    ExtraAttemptPolicy extraAttempts;

private:
    /// \return time that it took.
    Duration putInForce(PreparedConfiguration next, bool follows);
    /// \brief Ends the calls in progress whose keys are not valid any more.
    void endRevokedCalls();
    void logEndpointChanges();
    /// \brief Keeps no more idle connections to an endpoint than this gateway's part of those that it accepts from all callers.
    void limitIdleConnections();

    std::function<void(const ServingConfiguration &)> configurationCallback_;
    /// \brief Endpoints at the last update, to log the differences.
    std::map<EndpointId, EndpointRecord> loggedEndpoints_;
    std::mt19937_64 random_;
    std::uint64_t appliedChanges_ = 0;
    std::uint64_t recordedChanges_ = 0;
    int processCount_ = 1;
};

} // namespace mimosatally::internal
