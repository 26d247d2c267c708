#include "percent.h"

#include <mimosatally/Config>

#include <algorithm>
#include <limits>
#include <locale>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace mimosatally
{

namespace
{
/// \brief Returns a TOML basic string, whose syntax JSON strings share.
std::string quoted(const std::string &text)
{
    return nlohmann::json(text).dump();
}

template<class Tag>
std::string quoted(const StrongId<Tag> &id)
{
    return quoted(id.value());
}

template<class Value>
std::string quotedList(const std::vector<Value> &values)
{
    std::string text = "[";
    for (const Value &value : values) {
        text += (text.size() > 1 ? ", " : "") + quoted(value);
    }
    return text + ']';
}

std::string formatMilliseconds(Duration duration)
{
    return quoted(std::to_string(duration.count()) + "ms");
}

std::string formatNumber(double value)
{
    std::ostringstream out;
    out.imbue(std::locale::classic());
    out.precision(std::numeric_limits<double>::max_digits10);
    out << std::showpoint << value;
    return out.str();
}

void write(std::ostream &out, const DataCentre &item)
{
    out << "[[data_centres]]\nid = " << quoted(item.id) << "\nregion = " << quoted(item.region) << '\n';
}

void write(std::ostream &out, const Operator &item)
{
    out << "[[operators]]\nid = " << quoted(item.id) << "\npublic_key = " << quoted(item.publicKey) << '\n';
    if (!item.apiKeyHash.empty()) {
        out << "api_key_hash = " << quoted(item.apiKeyHash) << '\n';
    }
}

void write(std::ostream &out, const Contract &item)
{
    out << "[[contracts]]\ncustomer = " << quoted(item.customer) << "\nshare = " << quoted(internal::formatPercent(item.shareMillionths))
        << "\npriority = " << item.priority << "\nlongest_wait = " << formatMilliseconds(item.longestWait)
        << "\napi_key_hashes = " << quotedList(item.apiKeyHashes) << '\n';
}

void write(std::ostream &out, const Service &item)
{
    out << "[[services]]\nid = " << quoted(item.id) << '\n';
    for (const ServiceRoute &route : item.routes) {
        out << "[[services.routes]]\nmethod = " << quoted(route.method) << "\npath_prefix = " << quoted(route.pathPrefix)
            << "\nmay_repeat = " << (route.mayRepeat ? "true" : "false") << '\n';
    }
}

void writeEngine(std::ostream &out, const Endpoint &item)
{
    out << "kind = \"engine\"\nmodels = " << quotedList(item.models) << "\nrole = \"" << toString(item.role)
        << "\"\nchecks_fencing = " << (item.checksFencing ? "true" : "false") << "\nprefill_tokens_per_second = " << item.prefillTokensPerSecond
        << "\ndecode_tokens_per_second = " << item.decodeTokensPerSecond << "\ncache_blocks = " << item.cacheBlocks << '\n';
}

void write(std::ostream &out, const Endpoint &item)
{
    out << "[[endpoints]]\nid = " << quoted(item.id) << "\ninstance = " << quoted(item.instance) << "\ndata_centre = " << quoted(item.dataCentre)
        << "\nregion = " << quoted(item.region) << "\nagent_address = " << quoted(item.agentAddress)
        << "\nmax_concurrent_requests = " << item.maxConcurrentRequests << '\n';
    if (item.kind == EndpointKind::Engine) {
        writeEngine(out, item);
    } else {
        out << "kind = \"service\"\nservice = " << quoted(item.service) << '\n';
    }
}

void writePolicies(std::ostream &out, const Configuration &configuration)
{
    out << "[token_costs]\nprompt_token = " << configuration.tokenCosts.promptToken << "\noutput_token = " << configuration.tokenCosts.outputToken
        << "\n[roles]\nchange_price = " << formatNumber(configuration.rolePolicy.changePrice)
        << "\n[cache]\nblock_tokens = " << configuration.cacheBlockTokens.count()
        << "\n[configuration]\nunconfirmed_limit = " << formatMilliseconds(configuration.unconfirmedLimit)
        << "\n[claims]\nkey_lifetime = " << formatMilliseconds(configuration.claimKeyLifetime) << "\npartitions = " << configuration.claimPartitions << '\n';
}

bool havePoliciesChanged(const Configuration &before, const Configuration &after)
{
    return before.tokenCosts != after.tokenCosts || before.rolePolicy != after.rolePolicy || before.cacheBlockTokens != after.cacheBlockTokens
           || before.unconfirmedLimit != after.unconfirmedLimit || before.claimKeyLifetime != after.claimKeyLifetime
           || before.claimPartitions != after.claimPartitions;
}

/// \brief Writes the items of \a after that are new or have changed. \return ids that \a after no longer has.
template<class Item, class Id>
std::vector<Id> writeDifference(std::ostream &out, const std::vector<Item> &before, const std::vector<Item> &after, Id Item::*id)
{
    std::map<Id, const Item *> previous;
    for (const Item &item : before) {
        previous.emplace(item.*id, &item);
    }
    for (const Item &item : after) {
        const auto found = previous.find(item.*id);
        if (found == previous.end() || *found->second != item) {
            write(out, item);
        }
        if (found != previous.end()) {
            previous.erase(found);
        }
    }
    std::vector<Id> removed;
    removed.reserve(previous.size());
    for (const auto &[key, item] : previous) {
        removed.push_back(key);
    }
    return removed;
}

template<class Id>
void writeRemoved(std::ostream &out, const char *key, const std::vector<Id> &ids)
{
    if (!ids.empty()) {
        out << key << " = " << quotedList(ids) << '\n';
    }
}
} // namespace

std::string formatConfiguration(const Configuration &configuration)
{
    std::ostringstream out;
    out << "models = " << quotedList(configuration.models) << '\n';
    writePolicies(out, configuration);
    const auto writeAll = [&out](const auto &items) {
        for (const auto &item : items) {
            write(out, item);
        }
    };
    writeAll(configuration.dataCentres);
    writeAll(configuration.operators);
    writeAll(configuration.contracts);
    writeAll(configuration.services);
    writeAll(configuration.endpoints);
    return out.str();
}

std::string formatChange(const Configuration &before, const Configuration &after)
{
    std::ostringstream items;
    std::ostringstream removals;
    writeRemoved(removals, "data_centres", writeDifference(items, before.dataCentres, after.dataCentres, &DataCentre::id));
    writeRemoved(removals, "operators", writeDifference(items, before.operators, after.operators, &Operator::id));
    writeRemoved(removals, "contracts", writeDifference(items, before.contracts, after.contracts, &Contract::customer));
    writeRemoved(removals, "services", writeDifference(items, before.services, after.services, &Service::id));
    writeRemoved(removals, "endpoints", writeDifference(items, before.endpoints, after.endpoints, &Endpoint::id));
    std::ostringstream out;
    if (before.models != after.models) {
        out << "models = " << quotedList(after.models) << '\n';
    }
    if (havePoliciesChanged(before, after)) {
        writePolicies(out, after);
    }
    if (!removals.str().empty()) {
        out << "[remove]\n" << removals.str();
    }
    out << items.str();
    return out.str();
}

} // namespace mimosatally
