#pragma once

#include <mimosatally/Routing>

#include <map>

namespace mimosatally::internal
{

/// \brief Log lines and metrics of the request limits that endpoints have named.
///
/// At most one line each second for a change of one endpoint's limit, and at most MAX_LINES lines for the use of all limits.
class LimitReport
{
public:
    LimitReport(const PhaseRouter &router, Metrics &metrics);

    /// \brief Logs a change of a limit by the answer to \a request.
    void recordChange(const RequestId &request, const EndpointId &endpoint, LimitChange change, Time now);

    /// \brief Logs the use of each limit in force and sets its metrics; to be called each second.
    void update(Time now);

private:
    static constexpr std::size_t MAX_LINES = 32;

    void setMetrics(const RequestLimitUse &use);
    void removeMetrics(const EndpointId &endpoint);

    const PhaseRouter &router_;
    Metrics &metrics_;
    std::map<EndpointId, Time> changeLoggedAt_;
    std::vector<EndpointId> withMetrics_;
};

} // namespace mimosatally::internal
