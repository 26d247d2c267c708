#include <mimosatally/gateway/gatewaysettings.h>

#include "../config/tomltable.h"

namespace mimosatally
{

namespace
{
using internal::TomlTable;

const std::vector<std::string> LOG_LEVELS = {"debug", "info", "warning", "error"};
constexpr std::int64_t MOST_CONNECTIONS = 60'000;
constexpr std::int64_t MOST_RETRIES = 1'000'000;

void readSettings(TomlTable &root, GatewaySettings &result)
{
    result.process = ProcessId(root.requiredString("process"));
    result.dataCentre = DataCentreId(root.requiredString("data_centre"));
    result.listen = root.address("listen");
    result.readiness = root.address("readiness");
    result.peerListen = root.string("peer_listen", {});
    result.metrics = root.string("metrics", {});
    result.store = root.address("store");
    result.peers = root.strings("peers");
    result.graceTime = root.duration("grace_time", result.graceTime);
    result.orderLease = root.duration("order_lease", result.orderLease);
    result.retryRatio = root.number("retry_ratio", result.retryRatio, 0);
    result.retrySlack = root.integer("retry_slack", result.retrySlack, 0, MOST_RETRIES);
    result.retryWindow = root.duration("retry_window", result.retryWindow);
    result.prefillShare = root.number("prefill_share", result.prefillShare, 0);
    result.maxConnections = static_cast<std::size_t>(root.integer("max_connections", static_cast<std::int64_t>(result.maxConnections), 1, MOST_CONNECTIONS));
    result.logLevel = static_cast<LogLevel>(root.choice("log_level", LOG_LEVELS, static_cast<std::size_t>(result.logLevel)));
    for (TomlTable &row : root.tables("data_centres")) {
        const DataCentreId id(row.requiredString("id"));
        result.regions[id] = RegionId(row.requiredString("region"));
    }
}
} // namespace

GatewaySettings parseGatewaySettings(const std::string &toml, const std::string &fileName)
{
    Findings findings;
    GatewaySettings result;
    result.file = fileName;
    const std::optional<toml::value> parsed = internal::parseToml(toml, fileName, findings);
    if (parsed) {
        TomlTable root(*parsed, {}, fileName, findings);
        readSettings(root, result);
    }
    findings.throwIfAny();
    return result;
}

} // namespace mimosatally
