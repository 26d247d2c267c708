#include "configurationcheck.h"
#include "tomltable.h"

#include <mimosatally/Config>

#include <map>
#include <utility>

namespace mimosatally
{

namespace
{
using internal::ConfigurationCheck;
using internal::ReportFinding;
using internal::TomlTable;

constexpr std::int64_t MAX_CONCURRENT_REQUESTS = 100'000;
constexpr std::int64_t MAX_CLAIM_PARTITIONS = 1024;
constexpr std::int64_t MAX_PRIORITY = 1000;
const std::vector<std::string> ENDPOINT_KINDS = {"engine", "service"};
const std::vector<std::string> ENGINE_ROLES = {"prefill", "decode", "mixed"};

template<class Id>
std::vector<Id> toIds(const std::vector<std::string> &texts)
{
    return {texts.begin(), texts.end()};
}

DataCentre readDataCentre(TomlTable &table)
{
    DataCentre result;
    result.id = DataCentreId(table.requiredString("id"));
    result.region = RegionId(table.requiredString("region"));
    return result;
}

Operator readOperator(TomlTable &table)
{
    Operator result;
    result.id = OperatorId(table.requiredString("id"));
    result.publicKey = table.requiredHash("public_key");
    result.apiKeyHash = table.has("api_key_hash") ? table.requiredHash("api_key_hash") : std::string();
    return result;
}

Contract readContract(TomlTable &table)
{
    Contract result;
    result.customer = CustomerId(table.requiredString("customer"));
    result.shareMillionths = table.requiredShare("share");
    result.priority = static_cast<int>(table.integer("priority", 0, 0, MAX_PRIORITY));
    result.longestWait = table.duration("longest_wait", std::nullopt);
    result.apiKeyHashes = table.hashes("api_key_hashes");
    return result;
}

void readEngineKeys(TomlTable &table, Endpoint &endpoint)
{
    endpoint.models = toIds<ModelId>(table.strings("models"));
    endpoint.role = static_cast<EngineRole>(table.choice("role", ENGINE_ROLES, static_cast<std::size_t>(EngineRole::Mixed)));
    endpoint.checksFencing = table.boolean("checks_fencing", endpoint.checksFencing);
    endpoint.prefillTokensPerSecond = table.integer("prefill_tokens_per_second", endpoint.prefillTokensPerSecond, 1);
    endpoint.decodeTokensPerSecond = table.integer("decode_tokens_per_second", endpoint.decodeTokensPerSecond, 1);
    endpoint.cacheBlocks = table.integer("cache_blocks", endpoint.cacheBlocks, 0);
    if (endpoint.models.empty()) {
        table.addFinding("models", "must name at least one model for an engine");
    }
}

Endpoint readEndpoint(TomlTable &table)
{
    Endpoint result;
    result.id = EndpointId(table.requiredString("id"));
    result.instance = InstanceId(table.requiredString("instance"));
    result.kind = static_cast<EndpointKind>(table.choice("kind", ENDPOINT_KINDS, static_cast<std::size_t>(EndpointKind::Engine)));
    result.dataCentre = DataCentreId(table.requiredString("data_centre"));
    result.region = RegionId(table.string("region", {}));
    result.agentAddress = table.address("agent_address");
    result.maxConcurrentRequests = static_cast<int>(table.integer("max_concurrent_requests", result.maxConcurrentRequests, 1, MAX_CONCURRENT_REQUESTS));
    if (result.kind == EndpointKind::Engine) {
        readEngineKeys(table, result);
    } else {
        result.service = ServiceId(table.requiredString("service"));
    }
    return result;
}

ServiceRoute readRoute(TomlTable &table)
{
    ServiceRoute result;
    result.method = table.requiredString("method");
    result.pathPrefix = table.requiredString("path_prefix");
    result.mayRepeat = table.boolean("may_repeat", result.mayRepeat);
    if (!result.pathPrefix.empty() && result.pathPrefix.front() != '/') {
        table.addFinding("path_prefix", "must start with \"/\"");
    }
    return result;
}

Service readService(TomlTable &table)
{
    Service result;
    result.id = ServiceId(table.requiredString("id"));
    for (TomlTable &route : table.tables("routes")) {
        result.routes.push_back(readRoute(route));
        route.reportUnknownKeys();
    }
    return result;
}

void readPolicies(TomlTable &root, Configuration &result)
{
    TomlTable costs = root.table("token_costs");
    result.tokenCosts.promptToken = costs.integer("prompt_token", result.tokenCosts.promptToken, 1, 1000);
    result.tokenCosts.outputToken = costs.integer("output_token", result.tokenCosts.outputToken, 1, 1000);
    costs.reportUnknownKeys();
    TomlTable roles = root.table("roles");
    result.rolePolicy.changePrice = roles.number("change_price", result.rolePolicy.changePrice, 0);
    roles.reportUnknownKeys();
    TomlTable cache = root.table("cache");
    result.cacheBlockTokens = Tokens(cache.integer("block_tokens", result.cacheBlockTokens.count(), 1));
    cache.reportUnknownKeys();
    TomlTable configuration = root.table("configuration");
    result.unconfirmedLimit = configuration.duration("unconfirmed_limit", result.unconfirmedLimit);
    configuration.reportUnknownKeys();
    TomlTable claims = root.table("claims");
    result.claimKeyLifetime = claims.duration("key_lifetime", result.claimKeyLifetime);
    result.claimPartitions = static_cast<int>(claims.integer("partitions", result.claimPartitions, 1, MAX_CLAIM_PARTITIONS));
    claims.reportUnknownKeys();
}

/// \brief Reads a list of tables; \a check is called with each item and with its table, to which it reports findings.
template<class Item, class Read, class Check>
void readList(TomlTable &root, const std::string &key, std::vector<Item> &items, Read read, Check check)
{
    for (TomlTable &table : root.tables(key)) {
        Item item = read(table);
        check(table, item);
        table.reportUnknownKeys();
        items.push_back(std::move(item));
    }
}

/// \brief Reads all lists. \param check is called for each item, as in readList().
template<class Check>
void readLists(TomlTable &root, Configuration &result, Check check)
{
    readList(root, "data_centres", result.dataCentres, readDataCentre, check);
    readList(root, "operators", result.operators, readOperator, check);
    readList(root, "contracts", result.contracts, readContract, check);
    readList(root, "services", result.services, readService, check);
    readList(root, "endpoints", result.endpoints, readEndpoint, check);
}

ReportFinding reportTo(TomlTable &table)
{
    return [&table](const std::string &key, const std::string &message) {
        table.addFinding(key, message);
    };
}

void readConfiguration(TomlTable &root, Configuration &result)
{
    ConfigurationCheck check;
    result.models = toIds<ModelId>(root.strings("models"));
    check.checkModels(reportTo(root), result.models);
    readLists(root, result, [&check](TomlTable &table, auto &item) {
        check.check(reportTo(table), item);
    });
    readPolicies(root, result);
    if (result.operators.empty()) {
        root.addFinding("operators", "must name at least one operator, or nobody could publish the next configuration");
    }
    root.reportUnknownKeys();
}

/// \brief Merges the items of a change into a list; an item replaces the existing one with the same id.
template<class Item, class Id>
void mergeList(std::vector<Item> &items, std::vector<Item> changes, Id Item::*id)
{
    std::map<Id, Item> byId;
    for (Item &item : items) {
        byId.insert_or_assign(item.*id, std::move(item));
    }
    for (Item &item : changes) {
        byId.insert_or_assign(item.*id, std::move(item));
    }
    items.clear();
    for (auto &[key, item] : byId) {
        items.push_back(std::move(item));
    }
}

template<class Item, class Id>
void removeFrom(TomlTable &removals, const std::string &key, std::vector<Item> &items, Id Item::*id)
{
    for (const std::string &name : removals.strings(key)) {
        const std::size_t removed = std::erase_if(items, [&name, id](const Item &item) {
            return (item.*id).value() == name;
        });
        if (removed == 0) {
            removals.addFinding(key, "names \"" + name + "\", which is not in the configuration");
        }
    }
}

void removeItems(TomlTable &root, Configuration &result)
{
    TomlTable removals = root.table("remove");
    removeFrom(removals, "data_centres", result.dataCentres, &DataCentre::id);
    removeFrom(removals, "operators", result.operators, &Operator::id);
    removeFrom(removals, "contracts", result.contracts, &Contract::customer);
    removeFrom(removals, "services", result.services, &Service::id);
    removeFrom(removals, "endpoints", result.endpoints, &Endpoint::id);
    removals.reportUnknownKeys();
}

void readChange(TomlTable &root, Configuration &result)
{
    removeItems(root, result);
    Configuration changes;
    readLists(root, changes, [](TomlTable &, auto &) {});
    mergeList(result.dataCentres, std::move(changes.dataCentres), &DataCentre::id);
    mergeList(result.operators, std::move(changes.operators), &Operator::id);
    mergeList(result.contracts, std::move(changes.contracts), &Contract::customer);
    mergeList(result.services, std::move(changes.services), &Service::id);
    mergeList(result.endpoints, std::move(changes.endpoints), &Endpoint::id);
    if (root.has("models")) {
        result.models = toIds<ModelId>(root.strings("models"));
    }
    readPolicies(root, result);
    root.reportUnknownKeys();
}

/// \brief Parses TOML and passes the root table to \a read.
template<class Read>
void readDocument(const std::string &toml, const std::string &fileName, Findings &findings, Read read)
{
    const std::optional<toml::value> parsed = internal::parseToml(toml, fileName, findings);
    if (parsed) {
        TomlTable root(*parsed, {}, fileName, findings);
        read(root);
    }
    findings.throwIfAny();
}
} // namespace

Configuration parseConfiguration(const std::string &toml, const std::string &fileName)
{
    Findings findings;
    Configuration result;
    readDocument(toml, fileName, findings, [&result](TomlTable &root) {
        readConfiguration(root, result);
    });
    internal::sortById(result);
    return result;
}

Configuration applyChange(const Configuration &before, const std::string &change, const std::string &fileName)
{
    Findings findings;
    Configuration result = before;
    readDocument(change, fileName, findings, [&result](TomlTable &root) {
        readChange(root, result);
    });
    internal::checkConfiguration(result, fileName, findings);
    findings.throwIfAny();
    internal::sortById(result);
    return result;
}

} // namespace mimosatally
