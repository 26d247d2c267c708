#pragma once

#include <mimosatally/Config>
#include <mimosatally/Queueing>

#include <map>
#include <string>
#include <vector>

namespace mimosatally::internal
{

/// \brief Sums the weighted tokens that the endpoints of the same model or service have reported as served to each customer.
///
/// A restarted agent counts from zero; the tokens served by its earlier incarnations stay in the sums, so the sums never decrease.
class ServiceTotals
{
public:
    /// \brief Adds a report of an agent incarnation.
    void addReport(const Endpoint &endpoint, const IncarnationId &incarnation, const std::vector<CustomerService> &served);

    /// \brief Weighted tokens served by the other endpoints of the same group, for each customer.
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

    std::map<std::string, Served> groupTotals_;
    std::map<EndpointId, Report> reports_;
};

} // namespace mimosatally::internal
