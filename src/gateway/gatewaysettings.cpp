#include <mimosatally/gateway/gatewaysettings.h>

#include "../config/tomltable.h"

namespace mimosatally
{

namespace
{
using internal::TomlTable;

const std::vector<std::string> LOG_LEVELS = {"debug", "info", "warning", "error"};
constexpr std::int64_t MAX_CONNECTIONS = 60'000;
constexpr double MAX_CALLS_PER_SECOND = 1'000'000;
/// \brief Extra attempts share the retry budget, which is a fifth of the requests on the usual platforms.
constexpr double MAX_EXTRA_ATTEMPT_LIMIT = 0.2;
constexpr double MAX_RETRY_SLACK = 1'000'000;
constexpr std::int64_t BYTES_PER_MEGABYTE = std::int64_t(1024) * 1024;
/// \brief Smallest memory limit; the program itself occupies some 15 MB.
constexpr std::int64_t MIN_MEMORY_LIMIT_MB = 64;
constexpr std::int64_t MAX_MEMORY_LIMIT_MB = std::int64_t(1024) * 1024;

/// \brief Returns an address that may be missing or empty; platforms write an empty string for what an instance does not have.
std::string optionalAddress(TomlTable &root, const std::string &key)
{
    return root.isEmptyString(key) ? std::string() : root.address(key, std::string());
}

double numberUpTo(TomlTable &root, const std::string &key, double defaultValue, double maximum)
{
    const double value = root.number(key, defaultValue, 0);
    if (value > maximum) {
        root.addFinding(key, "must be at most " + std::to_string(maximum));
        return defaultValue;
    }
    return value;
}

void readPlatformApi(TomlTable &root, PlatformApiSettings &result)
{
    TomlTable table = root.table("platform_api");
    result.address = optionalAddress(table, "address");
    // Platforms may add duties that this version does not know.
    for (const std::string &duty : table.strings("duties")) {
        result.reportsUsage = result.reportsUsage || duty == "usage_report";
        result.scalesServices = result.scalesServices || duty == "autoscale";
    }
    result.callsPerSecond = numberUpTo(table, "calls_per_second", result.callsPerSecond, MAX_CALLS_PER_SECOND);
    result.fencesChecked = table.boolean("fences_checked", result.fencesChecked);
    result.usageWindow = table.fractionalDuration("usage_window", result.usageWindow);
    result.usageTolerance = numberUpTo(table, "usage_tolerance", result.usageTolerance, 1);
    result.usageDue = table.fractionalDuration("usage_due", result.usageDue);
}

void readRegions(TomlTable &root, GatewaySettings &result)
{
    for (TomlTable &row : root.tables("data_centres")) {
        const DataCentreId id(row.requiredString("id"));
        const bool isNew = result.regions.emplace(id, RegionId(row.requiredString("region"))).second;
        if (!isNew) {
            row.addFinding("id", "is used twice: \"" + id.value() + '"');
        }
    }
    if (!result.regions.empty() && !result.dataCentre.empty() && !result.regions.contains(result.dataCentre)) {
        root.addFinding("data_centre", "names \"" + result.dataCentre.value() + "\", which is not in [[data_centres]]");
    }
}

void readSettings(TomlTable &root, GatewaySettings &result)
{
    result.process = ProcessId(root.requiredString("process"));
    result.dataCentre = DataCentreId(root.requiredString("data_centre"));
    result.listen = root.address("listen");
    result.readiness = root.address("readiness");
    result.peerListen = optionalAddress(root, "peer_listen");
    result.notices = optionalAddress(root, "notices");
    result.metrics = optionalAddress(root, "metrics");
    result.store = root.address("store");
    result.peers = root.addresses("peers");
    result.graceTime = root.fractionalDuration("grace_time", result.graceTime);
    result.orderLease = root.fractionalDuration("order_lease", result.orderLease);
    result.heartbeatInterval = root.fractionalDuration("heartbeat_interval", result.heartbeatInterval);
    result.retryRatio = numberUpTo(root, "retry_ratio", result.retryRatio, 1);
    result.retrySlack = static_cast<std::int64_t>(numberUpTo(root, "retry_slack", static_cast<double>(result.retrySlack), MAX_RETRY_SLACK));
    result.retryWindow = root.fractionalDuration("retry_window", result.retryWindow);
    result.prefillShare = numberUpTo(root, "prefill_share", result.prefillShare, 1);
    result.maxConnections = static_cast<std::size_t>(root.integer("max_connections", static_cast<std::int64_t>(result.maxConnections), 1, MAX_CONNECTIONS));
    result.strictRevoke = root.boolean("strict_revoke", result.strictRevoke);
    result.extraAttemptLimit = numberUpTo(root, "extra_attempt_limit", result.extraAttemptLimit, MAX_EXTRA_ATTEMPT_LIMIT);
    result.contentionControl = root.boolean("contention_control", result.contentionControl);
    if (root.has("platform_api")) {
        readPlatformApi(root, result.platformApi);
    }
    const auto defaultMemoryMb = static_cast<std::int64_t>(result.memoryLimit) / BYTES_PER_MEGABYTE;
    result.memoryLimit =
        static_cast<std::size_t>(root.integer("memory_limit_mb", defaultMemoryMb, MIN_MEMORY_LIMIT_MB, MAX_MEMORY_LIMIT_MB) * BYTES_PER_MEGABYTE);
    result.logLevel = static_cast<LogLevel>(root.choice("log_level", LOG_LEVELS, static_cast<std::size_t>(result.logLevel)));
    readRegions(root, result);
}
} // namespace

bool isGatewaySettings(const std::string &toml, const std::string &fileName)
{
    Findings findings;
    const std::optional<toml::value> parsed = internal::parseToml(toml, fileName, findings);
    return parsed && parsed->contains("process") && parsed->contains("store");
}

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
