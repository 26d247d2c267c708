#pragma once

#include <mimosatally/Core>

namespace mimosatally::internal
{

/// \brief Permits for requests at a constant rate, one at each interval.
///
/// A permit expires PERMIT_LIFETIME after it became valid, so an idle time does not add up to a burst: in a span of length T at most
/// `rate * (T + PERMIT_LIFETIME) + 1` permits can be taken. Because permits do not accumulate, the sum over any number of processes stays near
/// the sum of their rates, also if each process may send less than one request in T.
class RequestPacer
{
public:
    static constexpr Duration PERMIT_LIFETIME = Duration(1000);

    /// \param perSecond greater than zero.
    /// \param phase part of the first interval that passes before the first permit, 0 to 1; different in each process.
    RequestPacer(double perSecond, double phase, Time now);

    /// \brief Changes the rate; the next permit keeps its place within the interval.
    void setRate(double perSecond, Time now);

    [[nodiscard]] double perSecond() const;

    [[nodiscard]] bool hasPermit(Time now) const;

    /// \brief Takes a permit. Without a valid one, the next permit is used up in advance.
    void take(Time now);

    /// \brief Gives back a permit that was taken at \a takenAt and not used. It is valid now unless that is longer ago than PERMIT_LIFETIME.
    void giveBack(Time takenAt, Time now);

    /// \brief Returns the time until a permit is valid; zero if there is one.
    [[nodiscard]] Duration timeToPermit(Time now) const;

private:
    /// \brief Returns when the oldest permit that has not expired becomes valid, in milliseconds of the clock.
    [[nodiscard]] double oldestPermit(Time now) const;

    double intervalMs_;
    double nextMs_;
};

} // namespace mimosatally::internal
