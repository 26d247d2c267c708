#pragma once

#include "tomltable.h"

#include <mimosatally/config/configuration.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace mimosatally::internal
{

/// \brief Checks the items of a document against each other: duplicates, references and the sum of shares.
///
/// Items are checked in the order data centres, operators, contracts, services, endpoints.
class ConfigurationCheck
{
public:
    void checkModels(TomlTable &root, const std::vector<ModelId> &models);
    void check(TomlTable &table, const DataCentre &item);
    void check(TomlTable &table, const Operator &item);
    void check(TomlTable &table, const Contract &item);
    void check(TomlTable &table, const Service &item);
    /// \brief Also fills in the region of the data centre if the endpoint names none.
    void check(TomlTable &table, Endpoint &item);

private:
    void checkEngine(TomlTable &table, const Endpoint &item);
    void checkPlace(TomlTable &table, Endpoint &item);
    static void checkUnique(TomlTable &table, const std::string &key, const std::string &value, std::set<std::string> &seen);

    std::set<ModelId> models_;
    std::map<DataCentreId, RegionId> dataCentres_;
    std::set<ServiceId> services_;
    std::set<std::string> dataCentreIds_;
    std::set<std::string> operatorIds_;
    std::set<std::string> customers_;
    std::set<std::string> apiKeyHashes_;
    std::set<std::string> serviceIds_;
    std::set<std::string> endpointIds_;
    std::set<std::string> instances_;
    std::set<std::string> agentAddresses_;
    std::int64_t shareSum_ = 0;
};

} // namespace mimosatally::internal
