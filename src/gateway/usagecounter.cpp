#include "usagecounter.h"

#include <chrono>
#include <cstdlib>

namespace mimosatally::internal
{

UsageCounter::UsageCounter(UsageLedger &ledger, FleetClock &clock, const GatewaySettings &settings, Metrics &metrics)
    : ledger_(ledger)
    , clock_(clock)
    , settings_(settings)
    , metrics_(metrics)
{
}

void UsageCounter::count(const OrganisationId &organisation, Time begun)
{
    if (!settings_.platformApi.reportsUsage || organisation.empty()) {
        return;
    }
    const std::optional<UsageWindow> window = windowAt(begun);
    const bool counted = window && ledger_.count(*window, organisation);
    ++(counted ? counted_ : late_);
    metrics_.increment("mimosatally_usage_runs_total", counted ? "result=\"counted\"" : "result=\"late\"");
}

void UsageCounter::update(std::int64_t unixMs, Time now)
{
    if (!settings_.platformApi.reportsUsage) {
        return;
    }
    clock_.recordOwn(unixMs, now);
    logClock();
    const std::optional<UsageWindow> last = ledger_.current();
    const std::optional<UsageWindow> unclosed = windowAt(now - CLOSE_DELAY);
    if (!unclosed) {
        return;
    }
    ledger_.advance(*unclosed);
    if (last && last != ledger_.current()) {
        logClosed(*last);
    }
}

std::optional<UsageWindow> UsageCounter::windowAt(Time time) const
{
    const std::optional<std::int64_t> unixMs = clock_.unixMs(time);
    return unixMs ? std::optional(usageWindowAt(*unixMs, settings_.platformApi.usageWindow)) : std::nullopt;
}

void UsageCounter::logClosed(UsageWindow window)
{
    // By now the others have closed the window before, and their notices have come.
    const WindowTotals before = ledger_.totals(window - UsageWindow(1));
    std::int64_t runs = 0;
    for (const auto &[organisation, count] : before.counts) {
        runs += count;
    }
    metrics_.increment("mimosatally_usage_fleet_runs_total", {}, static_cast<std::uint64_t>(runs));
    metrics_.increment("mimosatally_usage_unclosed_total", {}, before.unclosed.size());
    logEvent(LogEvent::UsageWindowClosed,
             {{"window", window},
              {"next", ledger_.current().value_or(window)},
              {"counted", counted_},
              {"late", late_},
              {"fleet_before", runs},
              {"unclosed_before", before.unclosed.size()},
              {"clocks", clock_.clocks()},
              {"own_ahead_ms", clock_.ownError()}});
    counted_ = 0;
    late_ = 0;
}

void UsageCounter::logClock()
{
    const Duration error = clock_.ownError();
    metrics_.set("mimosatally_usage_clock_ahead_ms", {}, static_cast<double>(error.count()));
    const bool differs = std::abs(error.count()) >= FleetClock::MIN_STEP.count();
    if (differs != clockDiffers_) {
        clockDiffers_ = differs;
        logEvent(LogEvent::UsageClockDiffers, {{"differs", differs ? "true" : "false"}, {"own_ahead_ms", error}, {"clocks", clock_.clocks()}});
    }
}

std::int64_t ownUnixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace mimosatally::internal
