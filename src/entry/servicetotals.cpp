#include "servicetotals.h"

namespace mimosatally::internal
{

namespace
{
/// \brief Name of the group of endpoints that share the work of the same customers: by first model or by service.
std::string groupOf(const Endpoint &endpoint)
{
    if (!endpoint.models.empty()) {
        return "model " + endpoint.models.front().value();
    }
    return "service " + endpoint.service.value();
}

std::int64_t valueOf(const std::map<CustomerId, std::int64_t> &served, const CustomerId &customer)
{
    const auto found = served.find(customer);
    return found == served.end() ? 0 : found->second;
}
} // namespace

void ServiceTotals::addReport(const Endpoint &endpoint, const IncarnationId &incarnation, const std::vector<CustomerService> &served)
{
    Report &report = reports_[endpoint.id];
    if (report.incarnation != incarnation) {
        for (const auto &[customer, tokens] : report.current) {
            report.earlier[customer] += tokens;
        }
        report.current.clear();
        report.incarnation = incarnation;
        report.group = groupOf(endpoint);
    }
    Served &total = groupTotals_[report.group];
    for (const CustomerService &item : served) {
        std::int64_t &previous = report.current[item.customer];
        // An answer that arrives out of order may report less than an earlier one.
        if (item.weightedTokens > previous) {
            total[item.customer] += item.weightedTokens - previous;
            previous = item.weightedTokens;
        }
    }
}

std::vector<CustomerService> ServiceTotals::servedElsewhere(const Endpoint &endpoint) const
{
    std::vector<CustomerService> result;
    const auto total = groupTotals_.find(groupOf(endpoint));
    if (total == groupTotals_.end()) {
        return result;
    }
    const auto own = reports_.find(endpoint.id);
    for (const auto &[customer, tokens] : total->second) {
        const std::int64_t ownTokens = own == reports_.end() ? 0 : valueOf(own->second.current, customer) + valueOf(own->second.earlier, customer);
        // The agent treats an omitted customer as unchanged, which keeps the exchange short.
        if (tokens > ownTokens) {
            result.push_back({customer, tokens - ownTokens});
        }
    }
    return result;
}

} // namespace mimosatally::internal
