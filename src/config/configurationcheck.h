#pragma once

#include <mimosatally/config/configuration.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mimosatally::internal
{

/// \brief Callback for a finding about one key of an item.
using ReportFinding = std::function<void(const std::string &key, const std::string &message)>;

/// \brief Checks the items of a document against each other: duplicates, references and the sum of shares.
///
/// Items must be passed in the order models, data centres, operators, contracts, services, endpoints, because references are
/// looked up among the items checked before.
class ConfigurationCheck
{
public:
    void checkModels(const ReportFinding &report, const std::vector<ModelId> &models);
    void check(const ReportFinding &report, const DataCentre &item);
    void check(const ReportFinding &report, const Operator &item);
    void check(const ReportFinding &report, const Contract &item);
    void check(const ReportFinding &report, const Service &item);
    /// \brief Also sets the region to that of the data centre if the endpoint names none.
    void check(const ReportFinding &report, Endpoint &item);

private:
    void checkEngine(const ReportFinding &report, const Endpoint &item) const;
    void checkLocation(const ReportFinding &report, Endpoint &item) const;

    std::set<ModelId> models_;
    std::map<DataCentreId, RegionId> dataCentres_;
    std::set<ServiceId> services_;
    std::set<OperatorId> operators_;
    std::set<CustomerId> customers_;
    std::set<std::string> apiKeyHashes_;
    std::set<EndpointId> endpoints_;
    std::set<InstanceId> instances_;
    std::set<std::string> agentAddresses_;
    std::int64_t shareSum_ = 0;
};

/// \brief Checks a complete configuration; each finding names the item that it is about.
void checkConfiguration(Configuration &configuration, const std::string &fileName, Findings &findings);

/// \brief Sorts every list by id, so that equality does not depend on the order of items in the documents.
void sortById(Configuration &configuration);

} // namespace mimosatally::internal
