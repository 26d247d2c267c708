#include "servicetotals.h"

namespace mimosatally::internal
{

namespace
{
/// \brief Endpoints of one group share the work of the same customers: by first model or by service.
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

void ServiceTotals::report(const Endpoint &endpoint, const IncarnationId &incarnation, const std::vector<CustomerService> &served)
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
    Served &total = totals_[report.group];
    for (const CustomerService &item : served) {
        std::int64_t &previous = report.current[item.customer];
        // A late answer may report less than a newer one did.
        if (item.weightedTokens > previous) {
            total[item.customer] += item.weightedTokens - previous;
            previous = item.weightedTokens;
        }
    }
}

std::vector<CustomerService> ServiceTotals::servedElsewhere(const Endpoint &endpoint) const
{
    std::vector<CustomerService> result;
    const auto total = totals_.find(groupOf(endpoint));
    if (total == totals_.end()) {
        return result;
    }
    const auto own = reports_.find(endpoint.id);
    for (const auto &[customer, tokens] : total->second) {
        const std::int64_t ownTokens = own == reports_.end() ? 0 : valueOf(own->second.current, customer) + valueOf(own->second.earlier, customer);
        // A customer that is left out counts as unchanged, which keeps the exchange short.
        if (tokens > ownTokens) {
            result.push_back({customer, tokens - ownTokens});
        }
    }
    return result;
}

} // namespace mimosatally::internal
