#pragma once

#include "decayingsum.h"

#include <mimosatally/Core>

namespace mimosatally::internal
{

/// \brief Measured demand of one kind of call of a service at this process: its calls of the last seconds and those in progress.
class KindDemand
{
public:
    /// \brief A call has arrived.
    void recordArrival(Time now);
    /// \brief A call has been refused.
    void recordRefusal(Time now);
    /// \brief A call has been sent. \param ownMs predicted time to its first byte without the queue.
    void recordStart(double ownMs, Time now);
    /// \brief A call that was sent has ended. \param held time for which it occupied a slot.
    void recordEnd(Duration held);

    /// \brief Returns the mean number of calls in progress that the arrivals lead to, with a margin for chance; zero soon after the arrivals have stopped.
    [[nodiscard]] double neededSlots(Time now) const;
    /// \brief Returns the part of the calls of the last seconds that were sent; 1 if there were none.
    [[nodiscard]] double servedShare(Time now) const;
    /// \brief Calls of the last seconds on which servedShare() rests.
    [[nodiscard]] double decided(Time now) const;
    /// \brief Time for which the calls that were sent in the last seconds are expected to hold slots together.
    [[nodiscard]] double startedSlotMs(Time now) const;
    [[nodiscard]] int inProgress() const;
    /// \brief Mean time to the first byte without a queue.
    [[nodiscard]] double meanOwnMs() const;
    [[nodiscard]] double startsPerMs(Time now) const;
    [[nodiscard]] double arrivalsPerMs(Time now) const;

private:
    static constexpr Duration TIME_CONSTANT = Duration(2000);
    static constexpr Duration LATEST_TIME_CONSTANT = Duration(500);

    DecayingSum arrivals_ {TIME_CONSTANT};
    /// \brief These two show the begin and the end of a burst sooner.
    DecayingSum latestArrivals_ {LATEST_TIME_CONSTANT};
    DecayingSum latestStarts_ {LATEST_TIME_CONSTANT};
    DecayingSum starts_ {TIME_CONSTANT};
    DecayingSum refusals_ {TIME_CONSTANT};
    Time lastArrival_ = Time::min();
    int inProgress_ = 0;
    double meanHeldMs_ = 0;
    double meanOwnMs_ = 0;
};

} // namespace mimosatally::internal
