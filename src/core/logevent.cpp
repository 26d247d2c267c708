#include <mimosatally/Core>

#include <algorithm>
#include <array>

namespace mimosatally
{

namespace
{
constexpr auto DESCRIPTIONS = std::to_array<LogEventDescription>({
#define MIMOSATALLY_LOG_EVENT(number, name, level, text) {LogEvent::name, number, #name, LogLevel::level, text},
#include <mimosatally/core/logevents.def>
#undef MIMOSATALLY_LOG_EVENT
});
} // namespace

std::span<const LogEventDescription> allLogEvents()
{
    return DESCRIPTIONS;
}

const LogEventDescription &describe(LogEvent event)
{
    const auto found = std::ranges::find(DESCRIPTIONS, event, &LogEventDescription::event);
    invariant(found != DESCRIPTIONS.end(), "every log event has a description");
    return *found;
}

} // namespace mimosatally
