#pragma once

#include <span>
#include <string_view>

namespace mimosatally
{

/// \brief Numbered log events; docs/log-events.md is their catalogue.
///
/// Each module has a block of 1000 numbers. Numbers are never reused.
enum class LogEvent {
#define MIMOSATALLY_LOG_EVENT(number, name, level, text) name = (number),
#include "logevents.def"
#undef MIMOSATALLY_LOG_EVENT
};

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// \brief Static description of one event.
struct LogEventDescription {
    LogEvent event;
    int number;
    std::string_view name;
    LogLevel level;
    std::string_view text;
};

/// \brief Descriptions of all events.
std::span<const LogEventDescription> allLogEvents();

/// \brief Description of \a event.
const LogEventDescription &describe(LogEvent event);

} // namespace mimosatally
