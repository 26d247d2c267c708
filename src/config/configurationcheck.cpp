#include "configurationcheck.h"
#include "percent.h"

#include <algorithm>
#include <sstream>

namespace mimosatally::internal
{

namespace
{
constexpr std::int64_t TOTAL_SHARE = 1'000'000;

void checkUnique(const ReportFinding &report, const std::string &key, const std::string &value, std::set<std::string> &seen)
{
    if (!value.empty() && !seen.insert(value).second) {
        report(key, "is used twice: \"" + value + '"');
    }
}

template<class Tag>
void checkUnique(const ReportFinding &report, const std::string &key, const StrongId<Tag> &id, std::set<StrongId<Tag>> &seen)
{
    if (!id.empty() && !seen.insert(id).second) {
        report(key, "is used twice: \"" + id.value() + '"');
    }
}

template<class Item, class Id>
void checkAll(ConfigurationCheck &check, std::vector<Item> &items, const std::string &list, Id Item::*id, const std::string &file, Findings &findings)
{
    for (Item &item : items) {
        const ReportFinding report = [&](const std::string &key, const std::string &message) {
            std::ostringstream text;
            text << '`' << list << '.' << key << "` of \"" << item.*id << "\" " << message;
            findings.add({file, 0}, text.str());
        };
        check.check(report, item);
    }
}
} // namespace

void ConfigurationCheck::checkModels(const ReportFinding &report, const std::vector<ModelId> &models)
{
    for (const ModelId &model : models) {
        checkUnique(report, "models", model, models_);
    }
}

void ConfigurationCheck::check(const ReportFinding &report, const DataCentre &item)
{
    if (!item.id.empty() && !dataCentres_.emplace(item.id, item.region).second) {
        report("id", "is used twice: \"" + item.id.value() + '"');
    }
}

void ConfigurationCheck::check(const ReportFinding &report, const Operator &item)
{
    checkUnique(report, "id", item.id, operators_);
    checkUnique(report, "api_key_hash", item.apiKeyHash, apiKeyHashes_);
}

void ConfigurationCheck::check(const ReportFinding &report, const Contract &item)
{
    checkUnique(report, "customer", item.customer, customers_);
    for (const std::string &hash : item.apiKeyHashes) {
        checkUnique(report, "api_key_hashes", hash, apiKeyHashes_);
    }
    const std::int64_t before = shareSum_;
    shareSum_ += item.shareMillionths;
    if (before <= TOTAL_SHARE && shareSum_ > TOTAL_SHARE) {
        report("share", "brings the sum of the shares to " + formatPercent(shareSum_) + ", above 100%");
    }
}

void ConfigurationCheck::check(const ReportFinding &report, const Service &item)
{
    checkUnique(report, "id", item.id, services_);
}

void ConfigurationCheck::check(const ReportFinding &report, Endpoint &item)
{
    checkUnique(report, "id", item.id, endpoints_);
    checkUnique(report, "instance", item.instance, instances_);
    checkUnique(report, "agent_address", item.agentAddress, agentAddresses_);
    checkLocation(report, item);
    if (item.kind == EndpointKind::Engine) {
        checkEngine(report, item);
    } else if (!item.service.empty() && !services_.contains(item.service)) {
        report("service", "names \"" + item.service.value() + "\", which is not in [[services]]");
    }
}

void ConfigurationCheck::checkLocation(const ReportFinding &report, Endpoint &item) const
{
    const auto found = dataCentres_.find(item.dataCentre);
    if (found == dataCentres_.end()) {
        if (!item.dataCentre.empty()) {
            report("data_centre", "names \"" + item.dataCentre.value() + "\", which is not in [[data_centres]]");
        }
        return;
    }
    if (item.region.empty()) {
        item.region = found->second;
    } else if (item.region != found->second) {
        report("region",
               "is \"" + item.region.value() + "\", but data centre \"" + item.dataCentre.value() + "\" is in region \"" + found->second.value() + '"');
    }
}

void ConfigurationCheck::checkEngine(const ReportFinding &report, const Endpoint &item) const
{
    for (const ModelId &model : item.models) {
        if (!models_.contains(model)) {
            report("models", "names \"" + model.value() + "\", which is not in the list `models` of the document");
        }
    }
}

void checkConfiguration(Configuration &configuration, const std::string &fileName, Findings &findings)
{
    ConfigurationCheck check;
    const ReportFinding reportRoot = [&](const std::string &key, const std::string &message) {
        findings.add({fileName, 0}, '`' + key + "` " + message);
    };
    check.checkModels(reportRoot, configuration.models);
    checkAll(check, configuration.dataCentres, "data_centres", &DataCentre::id, fileName, findings);
    checkAll(check, configuration.operators, "operators", &Operator::id, fileName, findings);
    checkAll(check, configuration.contracts, "contracts", &Contract::customer, fileName, findings);
    checkAll(check, configuration.services, "services", &Service::id, fileName, findings);
    checkAll(check, configuration.endpoints, "endpoints", &Endpoint::id, fileName, findings);
    if (configuration.operators.empty()) {
        reportRoot("operators", "must name at least one operator, or nobody could publish the next configuration");
    }
}

void sortById(Configuration &configuration)
{
    std::ranges::sort(configuration.models);
    std::ranges::sort(configuration.dataCentres, {}, &DataCentre::id);
    std::ranges::sort(configuration.operators, {}, &Operator::id);
    std::ranges::sort(configuration.contracts, {}, &Contract::customer);
    std::ranges::sort(configuration.services, {}, &Service::id);
    std::ranges::sort(configuration.endpoints, {}, &Endpoint::id);
}

} // namespace mimosatally::internal
