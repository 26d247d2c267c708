#pragma once

#include "retrybudget.h"

#include <mimosatally/Serving>

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace mimosatally
{

/// \brief Reason why a call gets no extra attempt.
enum class ExtraAttemptDenial {
    /// \brief The share of extra attempts that operators allow is used up.
    LimitUsedUp,
    /// \brief What is left of the retry budget is reserved for retries after failures.
    BudgetReserved,
    /// \brief No other endpoint is expected to have a free slot.
    NoFreeSlot,
    /// \brief A call of the service was refused within the last second.
    RecentRefusal,
    /// \brief More than a quarter of the other running calls are slow as well.
    ServiceSlow,
};

[[nodiscard]] std::string_view toString(ExtraAttemptDenial denial);

/// \brief What a decision about an extra attempt was based on, for its log line.
struct ExtraAttemptInputs {
    /// \brief Requests and extra attempts of the service in the window.
    std::int64_t requests = 0;
    std::int64_t extraAttempts = 0;
    /// \brief Other calls of the service that wait for their first byte, and those among them that are slow.
    std::size_t running = 0;
    std::size_t slow = 0;
    /// \brief Time since a call of the service was last refused; empty if none was.
    std::optional<Duration> sinceRefusal;
};

/// \brief Decides when a call that may run twice gets a second attempt because the first one is slow. Performs no I/O.
///
/// Each process keeps the limit for its own calls, so all processes together keep it as well.
class ExtraAttemptPolicy
{
public:
    /// \brief Identifies a call that waits for its first byte.
    using CallId = std::uint64_t;
    using Budget = KeyedRetryBudget<ServiceId>;

    /// \brief Window over which extra attempts are compared with requests.
    static constexpr Duration WINDOW = Duration(10'000);
    /// \brief Measured times that are needed before the first extra attempt of a route.
    static constexpr std::size_t MIN_SAMPLES = 100;

    /// \param limit largest share of the requests to a service that get an extra attempt; 0 for none.
    explicit ExtraAttemptPolicy(double limit);
    ~ExtraAttemptPolicy();
    ExtraAttemptPolicy(const ExtraAttemptPolicy &) = delete;
    ExtraAttemptPolicy &operator=(const ExtraAttemptPolicy &) = delete;

    [[nodiscard]] bool isEnabled() const;

    /// \brief Records a call that was sent to its first endpoint.
    CallId begin(const ServiceId &service, const RouteId &route, Time now);

    /// \brief Records the first byte of a call's first attempt. An attempt that was cancelled because another one has won counts with the time it had taken,
    /// since the quantile would sink otherwise.
    void recordFirstByte(CallId call, Time now);

    /// \brief Records the end of a call that has had no first byte. Has no effect after recordFirstByte().
    void end(CallId call);

    void recordRefusal(const ServiceId &service, Time now);

    /// \brief Returns the time after which a call may get an extra attempt: the 0.95 quantile of the times to the first byte, and at least \a predicted.
    /// Empty before MIN_SAMPLES.
    [[nodiscard]] std::optional<Duration> delay(const ServiceId &service, const RouteId &route, Duration predicted) const;

    /// \brief Decides whether \a call gets an extra attempt now, and counts it in the limit and in \a budget if it does.
    /// \param freeSlot another endpoint is expected to have a free slot.
    /// \return empty if it does.
    std::optional<ExtraAttemptDenial> tryStart(CallId call, bool freeSlot, Budget &budget, Time now);

    /// \brief Returns what tryStart() decides about \a call by.
    [[nodiscard]] ExtraAttemptInputs inputs(CallId call, Time now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace mimosatally
