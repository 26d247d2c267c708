#include "statuspage.h"

#include <nlohmann/json.hpp>

namespace mimosatally::internal
{

namespace
{
using Json = nlohmann::ordered_json;

Json endpointStatus(const EntryState &entry, const Endpoint &endpoint, Time now)
{
    Json status;
    status["id"] = endpoint.id.value();
    status["instance"] = endpoint.instance.value();
    status["region"] = endpoint.region.value();
    status["data_centre"] = endpoint.dataCentre.value();
    status["kind"] = endpoint.kind == EndpointKind::Engine ? "engine" : "service";
    status["state"] = toString(entry.endpointDirectory.availability(endpoint.id, now));
    const auto lastAnswer = entry.endpointDirectory.lastAnswer(endpoint.id);
    status["last_exchange_age_ms"] = lastAnswer ? Json((now - *lastAnswer).count()) : Json(nullptr);
    const auto link = entry.fleet.find(endpoint.id);
    if (!link || !link->isConnected()) {
        return status;
    }
    status["incarnation"] = link->incarnation().value();
    status["role"] = link->role().empty() ? std::string(toString(endpoint.role)) : link->role();
    if (const std::optional<QueueLoad> load = link->load()) {
        status["waiting_requests"] = load->waitingRequests;
        status["running_requests"] = load->runningRequests;
        status["waiting_tokens"] = load->waitingTokens.count();
        status["running_tokens"] = load->runningTokens.count();
    }
    return status;
}

Json customerStatus(const EntryState &entry, const CustomerId &customer)
{
    const auto found = entry.decisions.customerCounts().find(customer);
    const CustomerCounts counts = found == entry.decisions.customerCounts().end() ? CustomerCounts() : found->second;
    return {{"id", customer.value()}, {"answered", counts.answered}, {"refused", counts.refused}};
}
} // namespace

std::string statusPage(const EntryState &entry)
{
    const Time now = MilliClock::now();
    const ConfigurationState &state = entry.configuration.state();
    Json status;
    status["process"] = entry.settings.process.value();
    status["incarnation"] = entry.incarnation.value();
    status["role"] = "entry";
    status["leaving"] = entry.shuttingDown;
    status["configuration"] = {{"version", entry.appliedVersion.count()}, {"confirmed", !entry.decisions.basis().unconfirmed}};
    status["task_restarts"] = entry.supervisor.restarts();
    status["cross_region_bytes"] = entry.router.crossRegionBytes().count();
    status["endpoints"] = Json::array();
    for (const Endpoint &endpoint : state.configuration.endpoints) {
        status["endpoints"].push_back(endpointStatus(entry, endpoint, now));
    }
    status["customers"] = Json::array();
    for (const Contract &contract : state.configuration.contracts) {
        status["customers"].push_back(customerStatus(entry, contract.customer));
    }
    return status.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace mimosatally::internal
