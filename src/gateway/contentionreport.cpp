#include "contentionreport.h"

#include "logtext.h"

#include <cmath>

namespace mimosatally::internal
{

namespace
{
constexpr Duration RESERVE_LOG_INTERVAL = Duration(1000);

std::string urgencyLabel(const ContendedCallKind &kind)
{
    return "urgency=\"" + std::to_string(kind.rank) + '"';
}
} // namespace

ContentionReport::ContentionReport(Metrics &metrics)
    : metrics_(metrics)
{
}

void ContentionReport::recordSent(const ContendedCallKind &kind)
{
    metrics_.increment("mimosatally_contended_sent_total", urgencyLabel(kind));
}

void ContentionReport::recordWaited(const RequestId &request, const ContendedCallKind &kind, Duration waited)
{
    metrics_.increment("mimosatally_contended_waited_total", urgencyLabel(kind));
    logEvent(LogEvent::ContendedCallWaited, {{"request", request}, {"service", kind.service}, {"urgency", kind.rank}, {"waited_ms", waited}});
}

void ContentionReport::recordRefused(const RequestId &request, const ContendedCallKind &kind, const RefuseCall &refusal, const ContentionFigures &figures)
{
    const std::string reason(reasonName(refusal.reason));
    metrics_.increment("mimosatally_contended_refused_total", urgencyLabel(kind) + ",reason=\"" + reason + '"');
    logEvent(LogEvent::ContendedCallRefused,
             {{"request", request},
              {"service", kind.service},
              {"organisation", kind.organisation.empty() ? "-" : kind.organisation.value()},
              {"urgency", kind.rank},
              {"reason", reason},
              {"queue_ahead_ms", truncatedMs(figures.queueAheadMs)},
              {"allowance", figures.allowance},
              {"starts_per_s", figures.startsPerSecond},
              {"reserve", figures.reservedSlots},
              {"slots", figures.slots.total},
              {"slots_taken", figures.slots.requests},
              {"slots_waiting", figures.slots.waiting},
              {"slots_age_ms", figures.slotsAge},
              {"retry_after_ms", refusal.retryAfter}});
}

void ContentionReport::recordReserve(const ServiceId &service, double slots, Time now)
{
    metrics_.set("mimosatally_reserved_slots", "service=\"" + service.value() + '"', slots);
    LoggedReserve &logged = logged_[service];
    const bool isDue = logged.loggedAt == Time::min() || now - logged.loggedAt >= RESERVE_LOG_INTERVAL;
    const bool hasEnded = slots == 0 && logged.slots > 0;
    if (!isDue || (std::abs(slots - logged.slots) < 1 && !hasEnded)) {
        return;
    }
    logEvent(LogEvent::SlotReserveChanged, {{"service", service}, {"slots", slots}, {"last_slots", logged.slots}});
    logged = {slots, now};
}

} // namespace mimosatally::internal
