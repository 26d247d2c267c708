#pragma once

#include <mimosatally/Config>
#include <mimosatally/Queueing>

#include <map>
#include <string>
#include <vector>

namespace mimosatally::internal
{

/// \brief Sums what endpoints of the same model or service have served to each customer, from their reports.
///
/// A restarted agent reports from zero; what its predecessor served stays in the sums, so they never decrease.
class ServiceTotals
{
public:
    /// \brief Takes the report of an agent incarnation.
    void report(const Endpoint &endpoint, const IncarnationId &incarnation, const std::vector<CustomerService> &served);

    /// \brief Weighted tokens that the other endpoints of the same group served.
    [[nodiscard]] std::vector<CustomerService> servedElsewhere(const Endpoint &endpoint) const;

private:
    using Served = std::map<CustomerId, std::int64_t>;

    struct Report {
        std::string group;
        IncarnationId incarnation;
        Served current;
        /// \brief Sum over earlier incarnations.
        Served earlier;
    };

    std::map<std::string, Served> totals_;
    std::map<EndpointId, Report> reports_;
};

} // namespace mimosatally::internal
