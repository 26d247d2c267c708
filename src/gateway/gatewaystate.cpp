#include "gatewaystate.h"

#include <algorithm>
#include <limits>
#include <mimosatally/Http>

namespace mimosatally::internal
{

namespace
{
constexpr double MILLI_RETRIES_PER_RETRY = 1000;
/// \brief An earned retry expires after a quarter of the window, so the retries of a window come from the requests of 1.25 windows.
/// 1.25 times RATIO_MARGIN is below one, which keeps the sum over any number of gateways within the ratio.
constexpr int RETRY_LIFETIMES_PER_WINDOW = 4;
/// \brief Each gateway uses only this fraction of the ratio, since a gateway that failed has used part of the window's budget.
constexpr double RATIO_MARGIN = 0.75;
/// \brief Fraction of the memory limit that answers may hold. A string that grows occupies up to three times its size while it moves.
constexpr std::size_t ANSWERS_PER_MEMORY = 4;

RetryAllowance allowanceOf(const GatewaySettings &settings)
{
    RetryAllowance allowance;
    allowance.earnedPerRequest = static_cast<std::int64_t>(settings.retryRatio * RATIO_MARGIN * MILLI_RETRIES_PER_RETRY);
    allowance.initial = 0;
    allowance.maxBalance = std::numeric_limits<std::int32_t>::max();
    allowance.lifetime = settings.retryWindow / RETRY_LIFETIMES_PER_WINDOW;
    // One retry per window for each gateway with little traffic. The slack is exceeded only if more gateways than it has retries use
    // theirs in the same window.
    allowance.slackInterval = settings.retrySlack > 0 ? settings.retryWindow : Duration(0);
    return allowance;
}

NetworkLocation locationOf(const GatewaySettings &settings)
{
    return {settings.dataCentre, settings.regions};
}

/// \brief Longest timeout of the routes whose answers are streams.
Duration longestStream(const ServingConfiguration &configuration)
{
    Duration longest(0);
    for (const Route &route : configuration.routes) {
        longest = route.form == AnswerForm::Events ? std::max(longest, route.timeout) : longest;
    }
    return longest;
}

/// \brief Id of this process in usage notices. It has the start of the process, so what an earlier process of the name has counted stays.
ProcessId usageProcessOf(const GatewaySettings &settings)
{
    constexpr std::size_t maxNameBytes = 64;
    return ProcessId(settings.process.value().substr(0, maxNameBytes) + '@' + std::to_string(ownUnixMs()));
}

std::uint64_t seedOf(const GatewaySettings &settings)
{
    return std::hash<std::string>()(settings.process.value()) ^ static_cast<std::uint64_t>(MilliClock::now().time_since_epoch().count());
}
} // namespace

GatewayState::GatewayState(boost::asio::io_context &context, const GatewaySettings &processSettings)
    : io(context)
    , settings(processSettings)
    , router(locationOf(processSettings), seedOf(processSettings))
    , limitReport(router, metrics)
    , contentionReport(metrics)
    , suspects(seedOf(settings))
    , crashWatch(suspects, metrics)
    , streams(metrics)
    , endpointObservation(context)
    , streamLookup(context, streams, endpointObservation, metrics)
    , usageLedger(usageProcessOf(settings))
    , usageCounter(usageLedger, fleetClock, settings, metrics)
    , retries(allowanceOf(processSettings))
    , connections(context)
    , livenessProbe(context, connections, router, metrics)
    , answerBytes(processSettings.memoryLimit / ANSWERS_PER_MEMORY)
    , extraAttempts(processSettings.extraAttemptLimit)
    , random_(seedOf(processSettings))
{
    streams.rules().setHeartbeatInterval(settings.heartbeatInterval);
}

bool GatewayState::applyConfiguration(PreparedConfiguration next, const ConfigurationCost &cost, bool follows)
{
    if (configuration && next.configuration->version <= configuration->version) {
        return false;
    }
    const Duration applyTime = putInForce(std::move(next), follows);
    const std::optional<std::vector<Organisation>> &organisations = configuration->organisations;
    logEvent(LogEvent::ServingConfigurationInForce,
             {{"version", configuration->version},
              {"routes", configuration->routes.size()},
              {"services", configuration->services.size()},
              {"organisations", organisations ? std::to_string(organisations->size()) : "-"},
              {"keys", keys.size()},
              {"bytes", cost.textBytes},
              {"decoded_routes", cost.decodedRoutes},
              {"pieces", cost.times.pieces},
              {"longest_ms", cost.times.longest},
              {"prepare_ms", cost.times.total},
              {"apply_ms", applyTime}});
    return true;
}

void GatewayState::replaceConfiguration(PreparedConfiguration next, const ConfigurationCost &cost)
{
    const Duration applyTime = putInForce(std::move(next), false);
    metrics.increment("mimosatally_configuration_replaced_total", {});
    logEvent(LogEvent::ServingConfigurationReplaced,
             {{"version", configuration->version},
              {"routes", configuration->routes.size()},
              {"era", storeEra.current()},
              {"bytes", cost.textBytes},
              {"decoded_routes", cost.decodedRoutes},
              {"pieces", cost.times.pieces},
              {"longest_ms", cost.times.longest},
              {"prepare_ms", cost.times.total},
              {"apply_ms", applyTime}});
}

void GatewayState::onConfiguration(std::function<void(const ServingConfiguration &)> callback)
{
    configurationCallback_ = std::move(callback);
}

Duration GatewayState::putInForce(PreparedConfiguration next, bool follows)
{
    const Time begun = MilliClock::now();
    const bool sameServices = configuration && configuration->services == next.configuration->services;
    configuration = std::move(next.configuration);
    routes = std::move(next.routes);
    keys = std::move(next.keys);
    if (settings.platformApi.reportsUsage) {
        organisationHashes.learn(*configuration);
    }
    if (!keys.duplicates().empty()) {
        logEvent(LogEvent::KeyGivenTwice,
                 {{"version", configuration->version}, {"keys", keys.duplicates().size()}, {"first", digestPrefix(keys.duplicates().front())}});
    }
    if (settings.strictRevoke) {
        endRevokedCalls();
    }
    contention.configure(*configuration, std::move(next.urgencies), settings.contentionControl);
    if (!sameServices) {
        router.setEndpoints(registry.endpoints(), *configuration, begun);
        roomWaiters.wakeAll();
        limitIdleConnections();
    }
    streams.extendLifetime(originLifetime(longestStream(*configuration)));
    streams.rules().recordConfiguration(*configuration, follows, begun);
    metrics.set("mimosatally_organisation_keys", {}, static_cast<double>(keys.size()));
    metrics.set("mimosatally_configuration_version", {}, static_cast<double>(configuration->version));
    if (configurationCallback_) {
        configurationCallback_(*configuration);
    }
    return MilliClock::now() - begun;
}

void GatewayState::endRevokedCalls()
{
    std::size_t ended = 0;
    for (const auto &[arrived, call] : activeCalls) {
        const std::shared_ptr<CallGuard> guard = call.guard.lock();
        if (guard && !CallAuthentication::isValid(keys, call.caller)) {
            guard->revokeKey();
            ++ended;
        }
    }
    if (ended > 0) {
        logEvent(LogEvent::RevokedCallsEnded, {{"version", configuration->version}, {"calls", ended}});
    }
}

void GatewayState::applyEndpoints(Time now)
{
    registry.expire(now);
    for (const auto &[id, record] : registry.endpoints()) {
        streams.versions().observe(record.service, record.version, now);
    }
    recordEndpointStates(now);
    if (!configuration || registry.changeCount() == appliedChanges_) {
        return;
    }
    appliedChanges_ = registry.changeCount();
    logEndpointChanges();
    router.setEndpoints(registry.endpoints(), *configuration, now);
    roomWaiters.wakeAll();
    limitIdleConnections();
}

void GatewayState::recordEndpointStates(Time now)
{
    if (registry.changeCount() != recordedChanges_) {
        recordedChanges_ = registry.changeCount();
        streams.rules().recordEndpoints(registry.endpoints(), now);
    }
}

std::optional<Time> GatewayState::endpointsAsOf() const
{
    return std::max(endpointObservation.asOf(), peerEndpointsAsOf);
}

bool GatewayState::hasFreshView(Time now) const
{
    const std::optional<Time> asOf = endpointsAsOf();
    return settings.peers.empty() || (asOf && now - *asOf <= OriginRules::VIEW_LIFETIME);
}

void GatewayState::expireActiveCalls()
{
    // A call that ends is removed by its own coroutine, later.
    for (const auto &[arrived, call] : activeCalls) {
        if (const std::shared_ptr<CallGuard> guard = call.guard.lock()) {
            guard->expireNow();
        }
    }
}

StoreEraTracker::Observation GatewayState::observeStoreEra(std::optional<StoreEra> era, const char *topic, Time now)
{
    const StoreEra last = storeEra.current();
    const StoreEraTracker::Observation observation = storeEra.observe(era, now);
    metrics.set("mimosatally_store_era", {}, static_cast<double>(storeEra.current().count()));
    if (observation == StoreEraTracker::Observation::Outdated) {
        metrics.increment("mimosatally_store_outdated_answers_total", std::string("topic=\"") + topic + '"');
    }
    if (observation == StoreEraTracker::Observation::Advanced) {
        registry.recordRestore(now);
        endpointObservation.recordRestore(now + EndpointRegistry::REREGISTRATION_TIME);
        streams.versions().recordRestore(now);
        metrics.increment("mimosatally_store_restores_total", {});
        logEvent(LogEvent::StoreEraChanged, {{"topic", topic}, {"era", storeEra.current()}, {"last_era", last}});
    }
    return observation;
}

void GatewayState::setProcessCount(int count, Time now)
{
    router.setProcessCount(count, now);
    contention.setProcessCount(count);
    if (count != processCount_) {
        processCount_ = count;
        limitIdleConnections();
    }
}

void GatewayState::limitIdleConnections()
{
    if (!configuration) {
        return;
    }
    std::map<boost::asio::ip::tcp::endpoint, std::size_t> limits;
    for (const auto &[id, record] : registry.endpoints()) {
        const auto service = configuration->services.find(record.service);
        if (service != configuration->services.end()) {
            limits[record.address] = static_cast<std::size_t>(std::max(1, service->second.maxConnections / processCount_));
        }
    }
    connections.setIdleLimits(std::move(limits));
}

void GatewayState::logEndpointChanges()
{
    for (const auto &[id, record] : registry.endpoints()) {
        const auto logged = loggedEndpoints_.find(id);
        const bool unchanged = logged != loggedEndpoints_.end() && logged->second.leaving == record.leaving && logged->second.phase == record.phase
                               && logged->second.startedAt == record.startedAt && logged->second.address == record.address
                               && logged->second.version == record.version;
        if (unchanged) {
            continue;
        }
        std::string_view phase = "none";
        if (record.phase) {
            phase = *record.phase == EnginePhase::Prefill ? "prefill" : "decode";
        }
        logEvent(LogEvent::EndpointChanged,
                 {{"endpoint", id},
                  {"service", record.service},
                  {"address", toString(record.address)},
                  {"state", record.leaving ? "leaving" : "ready"},
                  {"version", record.version},
                  {"phase", phase},
                  {"started", record.startedAt}});
    }
    for (const auto &[id, record] : loggedEndpoints_) {
        if (!registry.endpoints().contains(id)) {
            logEvent(LogEvent::EndpointGone, {{"endpoint", id}});
            connections.closeAll(record.address);
        }
    }
    loggedEndpoints_ = registry.endpoints();
}

bool GatewayState::canServe() const
{
    return configuration != nullptr && !registry.endpoints().empty();
}

bool GatewayState::hasReceivedCalls() const
{
    return callsReceived > 0;
}

double GatewayState::jitter()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

} // namespace mimosatally::internal
