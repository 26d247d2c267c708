#pragma once

#include <mimosatally/Core>
#include <mimosatally/Gateway>
#include <mimosatally/Usage>

namespace mimosatally::internal
{

/// \brief Counts the runs of organisations' requests at this process in the windows of true time in which they began.
class UsageCounter
{
public:
    /// \brief Time from the end of a window, in true time, until this process counts nothing more in it.
    ///
    /// A call counts when its outcome is known, in the window in which it was sent. Callers wait 2 s for such calls, so the outcome of one that was sent at the
    /// end of a window is known by then. Reports are made at the latest 5 s after the end, which leaves 3 s for three notices to the other processes.
    static constexpr Duration CLOSE_DELAY = Duration(2000);

    UsageCounter(UsageLedger &ledger, FleetClock &clock, const GatewaySettings &settings, Metrics &metrics);

    /// \brief Counts a run that began at \a begun; nothing if \a organisation is empty or usage is not reported.
    void count(const OrganisationId &organisation, Time begun);

    /// \brief Records the own time of day and closes windows. \param unixMs own time of day in milliseconds.
    void update(std::int64_t unixMs, Time now);

    /// \brief Returns the window of \a time; empty before the first update().
    [[nodiscard]] std::optional<UsageWindow> windowAt(Time time) const;

private:
    void logClosed(UsageWindow window);
    void logClock();

    UsageLedger &ledger_;
    FleetClock &clock_;
    const GatewaySettings &settings_;
    Metrics &metrics_;
    std::uint64_t counted_ = 0;
    std::uint64_t late_ = 0;
    bool clockDiffers_ = false;
};

/// \brief Returns the time of day of this machine in milliseconds since the start of 1970.
[[nodiscard]] std::int64_t ownUnixMs();

} // namespace mimosatally::internal
