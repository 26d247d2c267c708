#include "gatewaystate.h"

#include <limits>
#include <mimosatally/Http>

namespace mimosatally::internal
{

namespace
{
constexpr double MILLI_RETRIES = 1000;
/// \brief Retries in a window come from requests of that window and of this part of a window before it, so that the sum over any
/// number of gateways stays within the ratio: RATIO_MARGIN times one and a quarter.
constexpr int SAVED_PART_OF_WINDOW = 4;
/// \brief Each gateway stays below its part of the ratio, since a gateway that was lost has used some of the window's budget.
constexpr double RATIO_MARGIN = 0.75;

RetryAllowance allowanceOf(const GatewaySettings &settings)
{
    RetryAllowance allowance;
    allowance.earnedPerRequest = static_cast<std::int64_t>(settings.retryRatio * RATIO_MARGIN * MILLI_RETRIES);
    allowance.initial = 0;
    allowance.most = std::numeric_limits<std::int32_t>::max();
    allowance.lifetime = settings.retryWindow / SAVED_PART_OF_WINDOW;
    // One for each gateway with little traffic; more gateways than the slack has retries would need all of theirs at once to exceed it.
    allowance.slackInterval = settings.retrySlack > 0 ? settings.retryWindow : Duration(0);
    return allowance;
}

NetworkLocation locationOf(const GatewaySettings &settings)
{
    return {settings.dataCentre, settings.regions};
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
    , retries(allowanceOf(processSettings))
    , connections(context)
    , random_(seedOf(processSettings))
{
}

bool GatewayState::applyConfiguration(ServingConfiguration next)
{
    if (configuration && next.version <= configuration->version) {
        return false;
    }
    configuration = std::make_shared<const ServingConfiguration>(std::move(next));
    routes = RouteTable(configuration);
    router.setEndpoints(registry.endpoints(), *configuration, MilliClock::now());
    logEvent(LogEvent::ServingConfigurationInForce,
             {{"version", configuration->version}, {"routes", configuration->routes.size()}, {"services", configuration->services.size()}});
    metrics.set("mimosatally_configuration_version", {}, static_cast<double>(configuration->version));
    return true;
}

void GatewayState::applyEndpoints(Time now)
{
    registry.expire(now);
    if (!configuration || registry.changeCount() == appliedChanges_) {
        return;
    }
    appliedChanges_ = registry.changeCount();
    logChanges();
    router.setEndpoints(registry.endpoints(), *configuration, now);
}

void GatewayState::logChanges()
{
    for (const auto &[id, record] : registry.endpoints()) {
        const auto before = known_.find(id);
        const bool same = before != known_.end() && before->second.leaving == record.leaving && before->second.phase == record.phase
                          && before->second.startedAt == record.startedAt && before->second.address == record.address;
        if (same) {
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
                  {"phase", phase},
                  {"started", record.startedAt}});
    }
    for (const auto &[id, record] : known_) {
        if (!registry.endpoints().contains(id)) {
            logEvent(LogEvent::EndpointGone, {{"endpoint", id}});
            connections.closeAll(record.address);
        }
    }
    known_ = registry.endpoints();
}

bool GatewayState::canServe() const
{
    return configuration != nullptr && !registry.endpoints().empty();
}

bool GatewayState::serving() const
{
    return callsReceived > 0;
}

double GatewayState::jitter()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

} // namespace mimosatally::internal
