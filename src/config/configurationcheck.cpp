#include "configurationcheck.h"

namespace mimosatally::internal
{

namespace
{
constexpr std::int64_t WHOLE_SHARE = 1'000'000;
constexpr std::int64_t MILLIONTHS_PER_PERCENT = 10'000;

std::string percent(std::int64_t millionths)
{
    std::string decimals = std::to_string(millionths % MILLIONTHS_PER_PERCENT);
    decimals.insert(0, 4 - decimals.size(), '0');
    return std::to_string(millionths / MILLIONTHS_PER_PERCENT) + '.' + decimals + '%';
}
} // namespace

void ConfigurationCheck::checkUnique(TomlTable &table, const std::string &key, const std::string &value, std::set<std::string> &seen)
{
    if (!value.empty() && !seen.insert(value).second) {
        table.addFinding(key, "is used twice: \"" + value + '"');
    }
}

void ConfigurationCheck::checkModels(TomlTable &root, const std::vector<ModelId> &models)
{
    for (const ModelId &model : models) {
        if (!models_.insert(model).second) {
            root.addFinding("models", "has \"" + model.value() + "\" twice");
        }
    }
}

void ConfigurationCheck::check(TomlTable &table, const DataCentre &item)
{
    checkUnique(table, "id", item.id.value(), dataCentreIds_);
    dataCentres_.emplace(item.id, item.region);
}

void ConfigurationCheck::check(TomlTable &table, const Operator &item)
{
    checkUnique(table, "id", item.id.value(), operatorIds_);
    checkUnique(table, "api_key_hash", item.apiKeyHash, apiKeyHashes_);
}

void ConfigurationCheck::check(TomlTable &table, const Contract &item)
{
    checkUnique(table, "customer", item.customer.value(), customers_);
    for (const std::string &hash : item.apiKeyHashes) {
        checkUnique(table, "api_key_hashes", hash, apiKeyHashes_);
    }
    const std::int64_t before = shareSum_;
    shareSum_ += item.shareMillionths;
    if (before <= WHOLE_SHARE && shareSum_ > WHOLE_SHARE) {
        table.addFinding("share", "brings the sum of the shares to " + percent(shareSum_) + ", above 100%");
    }
}

void ConfigurationCheck::check(TomlTable &table, const Service &item)
{
    checkUnique(table, "id", item.id.value(), serviceIds_);
    services_.insert(item.id);
}

void ConfigurationCheck::check(TomlTable &table, Endpoint &item)
{
    checkUnique(table, "id", item.id.value(), endpointIds_);
    checkUnique(table, "instance", item.instance.value(), instances_);
    checkUnique(table, "agent_address", item.agentAddress, agentAddresses_);
    checkPlace(table, item);
    if (item.kind == EndpointKind::Engine) {
        checkEngine(table, item);
    } else if (!item.service.empty() && !services_.contains(item.service)) {
        table.addFinding("service", "names \"" + item.service.value() + "\", which is not in [[services]]");
    }
}

void ConfigurationCheck::checkPlace(TomlTable &table, Endpoint &item)
{
    const auto found = dataCentres_.find(item.dataCentre);
    if (found == dataCentres_.end()) {
        if (!item.dataCentre.empty()) {
            table.addFinding("data_centre", "names \"" + item.dataCentre.value() + "\", which is not in [[data_centres]]");
        }
        return;
    }
    if (item.region.empty()) {
        item.region = found->second;
    } else if (item.region != found->second) {
        table.addFinding(
            "region", "is \"" + item.region.value() + "\", but data centre \"" + item.dataCentre.value() + "\" is in region \"" + found->second.value() + '"');
    }
}

void ConfigurationCheck::checkEngine(TomlTable &table, const Endpoint &item)
{
    for (const ModelId &model : item.models) {
        if (!models_.contains(model)) {
            table.addFinding("models", "names \"" + model.value() + "\", which is not in the list `models` of the document");
        }
    }
}

} // namespace mimosatally::internal
