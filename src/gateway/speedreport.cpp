#include "speedreport.h"

#include <sstream>

namespace mimosatally::internal
{

namespace
{
const char *phaseText(std::optional<EnginePhase> phase)
{
    if (!phase) {
        return "plain";
    }
    return *phase == EnginePhase::Prefill ? "prefill" : "decode";
}

std::string ageText(std::optional<Duration> age)
{
    return age ? std::to_string(age->count()) : "-";
}
} // namespace

void logSpeeds(const PhaseRouter &router, Time now)
{
    for (const auto &[key, speeds] : router.speedSummaries()) {
        const auto &[service, phase] = key;
        if (speeds.measured > 0 && router.usesSpeeds(service, now)) {
            logEvent(LogEvent::EngineSpeedsLearned,
                     {{"service", service},
                      {"phase", phaseText(phase)},
                      {"endpoints", speeds.measured},
                      {"min", speeds.min},
                      {"median", speeds.median},
                      {"max", speeds.max}});
        }
    }
}

void setSpeedMetrics(const PhaseRouter &router, Metrics &metrics)
{
    for (const auto &[key, speeds] : router.speedSummaries()) {
        const std::string labels = "service=\"" + key.first.value() + "\",phase=\"" + phaseText(key.second) + "\",quantile=\"";
        metrics.set("mimosatally_endpoint_speed", labels + "0\"", speeds.min);
        metrics.set("mimosatally_endpoint_speed", labels + "0.5\"", speeds.median);
        metrics.set("mimosatally_endpoint_speed", labels + "1\"", speeds.max);
    }
}

std::string speedText(const PhaseRouter &router, const EndpointId &endpoint, Time now)
{
    const std::optional<SpeedUse> use = router.speedUse(endpoint, now);
    if (!use) {
        return "-";
    }
    constexpr int significantDigits = 3;
    std::ostringstream text;
    text.precision(significantDigits);
    text << use->speed << '/' << ageText(use->speedAge) << '/' << use->factor << '/' << ageText(use->factorAge);
    return text.str();
}

} // namespace mimosatally::internal
