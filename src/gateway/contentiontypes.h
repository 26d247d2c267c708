#pragma once

#include <mimosatally/Routing>
#include <mimosatally/Serving>

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

namespace mimosatally::internal
{

/// \brief Properties of a call that decide about its order; they do not change while it waits.
struct ContendedCallKind {
    ServiceId service;
    /// \brief Empty if the call has no organisation; such calls share one share.
    OrganisationId organisation;
    /// \brief Rank of UrgencyTable; 0 is the most urgent.
    int rank = 0;
    /// \brief Prompt and output tokens by which shares are counted.
    Tokens tokens;
    /// \brief The prompt is prefilled within one batch step.
    bool isShort = false;
    Duration latencyTarget = Duration(0);
};

/// \brief Times of a call at one placement.
struct ContentionInput {
    /// \brief Predicted time from now to the first byte.
    double firstByteMs = 0;
    /// \brief Part of `firstByteMs` that the call waits behind other work, whatever its urgency.
    double queueMs = 0;
    /// \brief Only slots that are kept for more urgent calls are free.
    bool withinReserve = false;
    /// \brief Calls that wait in this process and go before this one.
    std::size_t waitingAhead = 0;
    Duration elapsed = Duration(0);
    Duration remainingTime = Duration(0);
};

/// \brief Reason why a contended call is refused.
enum class ContentionReason {
    /// \brief Its first byte would come too late for its deadline.
    Deadline,
    /// \brief The queue of its urgency is longer than its latency target allows.
    Queue,
    /// \brief Its organisation has had more than its share.
    OverShare,
    /// \brief A more urgent kind of call is served less often.
    MoreUrgent,
    /// \brief The free slots are kept for more urgent calls.
    Reserve,
};

[[nodiscard]] std::string_view reasonName(ContentionReason reason);

/// \brief The call is sent to the placed endpoint now.
struct SendNow {
};

/// \brief The call waits in this process until something changes, at the latest until \a until, and is then placed again.
struct WaitForRoom {
    Time until;
};

/// \brief The call is refused and may come back after a time.
struct RefuseCall {
    ContentionReason reason = ContentionReason::Queue;
    Duration retryAfter = Duration(0);
};

using ContentionDecision = std::variant<SendNow, WaitForRoom, RefuseCall>;

/// \brief Figures that led to the last decision, for its log line.
struct ContentionFigures {
    /// \brief Part of the predicted queue that is not behind the call, by its urgency.
    double queueAheadMs = 0;
    /// \brief Part of the usual queue that the call may wait behind.
    double allowance = 1;
    /// \brief Calls of the service that this process starts in a second.
    double startsPerSecond = 0;
    double reservedSlots = 0;
    ServiceSlots slots;
    /// \brief Age of `slots`.
    Duration slotsAge = Duration(0);
};

} // namespace mimosatally::internal
