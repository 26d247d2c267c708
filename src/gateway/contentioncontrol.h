#pragma once

#include "contentiontypes.h"
#include "fairshare.h"
#include "kinddemand.h"
#include "urgency.h"

#include <array>
#include <map>

namespace mimosatally::internal
{

/// \brief Admission control where calls of several organisations and urgencies contend for the slots of a service. Performs no I/O.
///
/// Decides for each call whether it is sent now, waits in this process or is refused. All state is that of this process's own calls; a process sees a
/// random part of all calls, so its shares and rates are estimates of those of the whole fleet.
class ContentionControl
{
public:
    /// \brief Adopts the priorities of a configuration that comes into force. \param urgencies of \a configuration. \param forced active also if the
    /// configuration has no organisations.
    void configure(const ServingConfiguration &configuration, UrgencyTable urgencies, bool forced);

    /// \brief Returns whether calls are controlled: the configuration has organisations, or the settings ask for it. Otherwise nothing may be called but
    /// configure().
    [[nodiscard]] bool isActive() const;

    [[nodiscard]] const UrgencyTable &urgencies() const;

    /// \brief Sets the number of processes that send calls to the same endpoints, this one included.
    void setProcessCount(int count);

    /// \brief Returns whether the use of the slots that is known is too old for a decision.
    [[nodiscard]] bool needsSlots(const ServiceId &service, Time now) const;
    void reportSlots(const ServiceId &service, const ServiceSlots &slots, Time now);

    void recordArrival(const ContendedCallKind &kind, Time now);

    /// \brief Returns the slots of the service that calls of this kind leave free: those that short calls of a higher rank, or of the same rank if this
    /// call is long, are expected to need besides the ones that they have.
    [[nodiscard]] double reservedSlots(const ContendedCallKind &kind, Time now) const;

    /// \brief Decides about a call that is placed for its first attempt. Refusals are recorded. \param jitter number in [0, 1) that spreads the returns.
    [[nodiscard]] ContentionDecision decide(const ContendedCallKind &kind, const ContentionInput &input, double jitter, Time now);

    /// \brief Figures of the last decision.
    [[nodiscard]] const ContentionFigures &figures() const;

    /// \brief Records that a call has been sent. \param ownMs predicted time to its first byte without the queue.
    void recordStart(const ContendedCallKind &kind, double ownMs, Time now);
    void recordEnd(const ContendedCallKind &kind, Duration held);

private:
    /// \brief Demand by rank, of long calls and of short ones.
    using KindDemands = std::array<std::array<KindDemand, 2>, UrgencyTable::MAX_RANKS>;

    struct ServiceContention {
        KindDemands demands;
        FairShare shares;
        ServiceSlots slots;
        Time slotsUpdatedAt = Time::min();
        /// \brief Time of return that was last given to a refused call.
        Time lastReturn = Time::min();
    };

    [[nodiscard]] static KindDemand &demandOf(ServiceContention &service, const ContendedCallKind &kind);
    /// \brief Returns the part of the queue that an engine admits before a call of \a rank.
    [[nodiscard]] static double shareAhead(const ServiceContention &service, int rank, Time now);
    /// \brief Returns whether a more urgent kind has been served less often than \a kind.
    [[nodiscard]] static bool isAheadOfMoreUrgent(const ServiceContention &service, const ContendedCallKind &kind, Time now);
    [[nodiscard]] static double startsPerMs(const ServiceContention &service, Time now);
    [[nodiscard]] static double arrivalsPerMs(const ServiceContention &service, Time now);
    /// \brief Returns why the call cannot be sent now; empty if it can.
    [[nodiscard]] std::optional<ContentionReason> objection(ServiceContention &service, const ContendedCallKind &kind, const ContentionInput &input, Time now);
    /// \brief Returns the time after which a call with this objection is expected to fit in; empty if that cannot be told, because calls arrive faster than
    /// the service starts them.
    [[nodiscard]] std::optional<double> expectedWaitMs(
        const ServiceContention &service, const ContendedCallKind &kind, const ContentionInput &input, ContentionReason reason, Time now) const;
    /// \brief Returns the time after which a refused call may come back: when there is expected to be room, each call later than the one refused before
    /// it, and spread over the last time at which it can be served if there is no room before.
    [[nodiscard]] static Duration retryAfter(
        ServiceContention &service, const ContentionInput &input, std::optional<double> expectedWaitMs, double jitter, Time now);

    bool active_ = false;
    UrgencyTable urgencies_;
    int processCount_ = 1;
    std::map<ServiceId, ServiceContention> services_;
    ContentionFigures figures_;
};

} // namespace mimosatally::internal
