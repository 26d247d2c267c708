#pragma once

#include <mimosatally/Core>
#include <mimosatally/Membership>

#include <cstdint>
#include <optional>

namespace mimosatally::internal
{

/// \brief Decides whether this process may act under the lease that the store gives to one gateway at a time. Performs no I/O.
///
/// The store elects the holder; the era of the store and the generation of the election form the fencing token, since generations are given out again after a
/// restore. The lease ends by the clock of the holder, or when the era changes.
///
/// The store can assign the lease to another member without notice. A process therefore calls the platform only after a renewal that was sent at least one
/// lease after the first answer of the same generation. No other process has renewed successfully within that time, so the lease of every earlier holder has
/// ended by its own clock. The holder keeps the lease over later generations as long as it does not end.
class DutyLeaseState
{
public:
    struct Options {
        Duration lease = Duration(3000);
        /// \brief Orders to engines wait like calls to the platform, as the engines do not check their tokens.
        bool ordersWait = false;
    };

    /// \brief Answer of the store to a renewal.
    struct Grant {
        std::int64_t generation = 0;
        StoreEra era;
        bool holds = false;
    };

    explicit DutyLeaseState(Options options);

    /// \param sent time before the call, since the store counts the lease from its arrival.
    void recordGrant(const Grant &grant, Time sent, Time now);

    /// \brief Another process has acted with a higher token; this one does not use \a token again.
    void recordRejection(std::int64_t token);

    /// \brief The platform or the store has rejected \a token; the lease is not renewed until it has ended, so that the store gives out a new generation.
    void recordDutyRejection(std::int64_t token, Time now);

    [[nodiscard]] bool coversOrders(const StoreEraTracker &era, Time now) const;
    [[nodiscard]] bool coversDuties(const StoreEraTracker &era, Time now) const;

    /// \brief Returns false while the lease has to end before it is requested again.
    [[nodiscard]] bool mayRenew(Time now) const;

    /// \brief Returns the time from which a renewal ends the wait of a new holder; empty if it does not wait.
    [[nodiscard]] std::optional<Time> waitsUntil() const;

    [[nodiscard]] std::int64_t token() const;
    [[nodiscard]] std::int64_t generation() const;
    /// \brief Era in which the generation was given out.
    [[nodiscard]] StoreEra era() const;
    /// \brief Time at which this process became the holder.
    [[nodiscard]] Time acquired() const;

private:
    [[nodiscard]] bool isValid(Time now) const;
    [[nodiscard]] bool covers(const StoreEraTracker &era, Time now) const;

    Options options_;
    std::int64_t generation_ = 0;
    StoreEra era_;
    Time validUntil_ = Time::min();
    Time acquired_ = Time::min();
    /// \brief Receipt of the first answer with the current generation.
    Time generationSince_ = Time::min();
    bool waitOver_ = false;
    std::int64_t rejectedToken_ = -1;
    /// \brief Highest token that the platform or the store has rejected.
    std::int64_t rejectedDutyToken_ = -1;
    /// \brief Highest token of this process; a store that loses records without a new era gives out lower ones.
    std::int64_t highestToken_ = -1;
    Time renewFrom_ = Time::min();
};

} // namespace mimosatally::internal
