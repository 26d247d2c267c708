#pragma once

#include "contentiontypes.h"

#include <mimosatally/Serving>

#include <optional>

namespace mimosatally::internal
{

struct GatewayState;
struct WaitingOrder;

/// \brief One call in ContentionControl: its kind, its place among those that wait, and its slot from when it is sent until it ends.
class CallContention
{
public:
    CallContention(GatewayState &gateway, const CallRequest &call, const Route &route, const CallerOrganisation &organisation, Time arrived);
    ~CallContention();
    CallContention(const CallContention &) = delete;
    CallContention &operator=(const CallContention &) = delete;

    /// \brief Returns the slots that the call leaves free for more urgent ones.
    [[nodiscard]] double reservedSlots(const ServiceId &service, Time now);

    [[nodiscard]] ContentionDecision decide(const Placement &placement, Time deadline, Time now);
    /// \brief Records that the call is sent now.
    void start(const Placement &placement, Time now);
    /// \brief Records that the call has waited since \a from, and counts it once.
    void recordWait(Time from);
    [[nodiscard]] WaitingOrder waitingOrder() const;
    [[nodiscard]] int engineOrder(Tokens prefillTokens) const;
    [[nodiscard]] const ContendedCallKind &kind() const;

private:
    GatewayState &gateway_;
    RequestId request_;
    ContendedCallKind kind_;
    Time arrived_;
    bool isRecorded_ = false;
    Duration waited_ = Duration(0);
    /// \brief Time at which the call was sent; empty before.
    std::optional<Time> startedAt_;
};

} // namespace mimosatally::internal
