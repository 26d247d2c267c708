#include "tomltable.h"

#include <mimosatally/Config>

#include <utility>

namespace mimosatally
{

namespace
{
using internal::TomlTable;

constexpr std::int64_t MAX_LIMIT = 1LL << 30;
const std::vector<std::string> LOG_LEVELS = {"debug", "info", "warning", "error"};

std::size_t readSize(TomlTable &table, const std::string &key, std::size_t defaultValue)
{
    return static_cast<std::size_t>(table.integer(key, static_cast<std::int64_t>(defaultValue), 1, MAX_LIMIT));
}

HttpSettings readHttp(TomlTable &root)
{
    HttpSettings result;
    TomlTable table = root.table("http");
    result.maxHeaderBytes = readSize(table, "max_header_bytes", result.maxHeaderBytes);
    result.maxBodyBytes = readSize(table, "max_body_bytes", result.maxBodyBytes);
    result.maxConnections = readSize(table, "max_connections", result.maxConnections);
    result.transferTimeout = table.duration("transfer_timeout", result.transferTimeout);
    result.idleTimeout = table.duration("idle_timeout", result.idleTimeout);
    table.reportUnknownKeys();
    return result;
}

std::vector<Operator> readOperators(TomlTable &root)
{
    std::vector<Operator> result;
    for (TomlTable &table : root.tables("bootstrap_operators")) {
        Operator item;
        item.id = OperatorId(table.requiredString("id"));
        item.publicKey = table.requiredHash("public_key");
        item.apiKeyHash = table.has("api_key_hash") ? table.requiredHash("api_key_hash") : std::string();
        table.reportUnknownKeys();
        result.push_back(std::move(item));
    }
    if (result.empty()) {
        root.addFinding("bootstrap_operators", "must name at least one operator, or no first configuration could be accepted");
    }
    return result;
}

void readCommonKeys(TomlTable &root, ProcessSettings &result)
{
    result.process = ProcessId(root.requiredString("process"));
    result.instance = InstanceId(root.string("instance", result.process.value()));
    result.region = RegionId(root.requiredString("region"));
    result.dataCentre = DataCentreId(root.requiredString("data_centre"));
    result.logService = root.address("log_service");
    result.instanceList = root.address("instance_list");
    result.bootstrapOperators = readOperators(root);
    result.http = readHttp(root);
    result.logLevel = static_cast<LogLevel>(root.choice("log_level", LOG_LEVELS, static_cast<std::size_t>(result.logLevel)));
    result.seed = static_cast<std::uint64_t>(root.integer("seed", 0, 0));
    result.snapshotEvery = root.integer("snapshot_every", result.snapshotEvery, 0, 1'000'000);
    result.snapshotAge = root.duration("snapshot_age", result.snapshotAge);
}

/// \brief Parses a settings file; \a readSpecificKeys reads the keys that only this kind of process has.
template<class Settings, class ReadSpecificKeys>
Settings parseSettings(const std::string &toml, const std::string &fileName, ReadSpecificKeys readSpecificKeys)
{
    Findings findings;
    Settings result;
    const std::optional<toml::value> parsed = internal::parseToml(toml, fileName, findings);
    if (parsed) {
        TomlTable root(*parsed, {}, fileName, findings);
        readCommonKeys(root, result);
        readSpecificKeys(root, result);
        root.reportUnknownKeys();
    }
    findings.throwIfAny();
    return result;
}
} // namespace

EntrySettings parseEntrySettings(const std::string &toml, const std::string &fileName)
{
    return parseSettings<EntrySettings>(toml, fileName, [](TomlTable &root, EntrySettings &result) {
        result.listen = root.address("listen");
    });
}

AgentSettings parseAgentSettings(const std::string &toml, const std::string &fileName)
{
    return parseSettings<AgentSettings>(toml, fileName, [](TomlTable &root, AgentSettings &result) {
        result.listen = root.address("listen");
        result.statusListen = root.address("status_listen", "127.0.0.1:0");
        result.endpoint = EndpointId(root.requiredString("endpoint"));
        result.endpointAddress = root.address("endpoint_address");
        result.maxQueuedRequests = readSize(root, "max_queued_requests", result.maxQueuedRequests);
        result.maxQueuedBytes = readSize(root, "max_queued_bytes", result.maxQueuedBytes);
        result.longestOrderLifetime = root.duration("longest_order_lifetime", result.longestOrderLifetime);
    });
}

std::vector<Operator> readBootstrapOperators(const std::string &toml, const std::string &fileName)
{
    Findings findings;
    std::vector<Operator> result;
    const std::optional<toml::value> parsed = internal::parseToml(toml, fileName, findings);
    if (parsed) {
        TomlTable root(*parsed, {}, fileName, findings);
        result = readOperators(root);
    }
    findings.throwIfAny();
    return result;
}

std::string_view toString(FileKind kind)
{
    switch (kind) {
    case FileKind::Configuration:
        return "configuration";
    case FileKind::EntrySettings:
        return "settings of an entry";
    case FileKind::AgentSettings:
        return "settings of an agent";
    }
    return "";
}

FileKind checkFile(const std::string &toml, const std::string &fileName)
{
    Findings findings;
    const std::optional<toml::value> parsed = internal::parseToml(toml, fileName, findings);
    findings.throwIfAny();
    if (!parsed || !parsed->contains("process")) {
        parseConfiguration(toml, fileName);
        return FileKind::Configuration;
    }
    if (parsed->contains("endpoint")) {
        parseAgentSettings(toml, fileName);
        return FileKind::AgentSettings;
    }
    parseEntrySettings(toml, fileName);
    return FileKind::EntrySettings;
}

} // namespace mimosatally
