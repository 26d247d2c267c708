#pragma once

#include "contentiontypes.h"

#include <map>

namespace mimosatally::internal
{

/// \brief Counters and log lines of ContentionControl.
class ContentionReport
{
public:
    explicit ContentionReport(Metrics &metrics);

    void recordSent(const ContendedCallKind &kind);
    void recordWaited(const RequestId &request, const ContendedCallKind &kind, Duration waited);
    void recordRefused(const RequestId &request, const ContendedCallKind &kind, const RefuseCall &refusal, const ContentionFigures &figures);
    /// \brief Records the slots that calls of a service leave free; logs changes by a slot or more, at most once a second.
    void recordReserve(const ServiceId &service, double slots, Time now);

private:
    struct LoggedReserve {
        double slots = 0;
        Time loggedAt = Time::min();
    };

    Metrics &metrics_;
    std::map<ServiceId, LoggedReserve> logged_;
};

} // namespace mimosatally::internal
