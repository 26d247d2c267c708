#pragma once

#include "logevent.h"
#include "milliclock.h"
#include "quantity.h"
#include "strongid.h"

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace mimosatally
{

/// \brief One `key=value` pair of a log line.
struct LogField {
    std::string_view key;
    std::string value;

    LogField(std::string_view fieldKey, std::string fieldValue)
        : key(fieldKey)
        , value(std::move(fieldValue))
    {
    }

    LogField(std::string_view fieldKey, const char *fieldValue)
        : LogField(fieldKey, std::string(fieldValue))
    {
    }

    LogField(std::string_view fieldKey, std::string_view fieldValue)
        : LogField(fieldKey, std::string(fieldValue))
    {
    }

    template<class Tag>
    LogField(std::string_view fieldKey, const StrongId<Tag> &id)
        : LogField(fieldKey, id.value())
    {
    }

    template<class Tag>
    LogField(std::string_view fieldKey, Quantity<Tag> quantity)
        : LogField(fieldKey, std::to_string(quantity.count()))
    {
    }

    /// \brief Duration in milliseconds.
    LogField(std::string_view fieldKey, Duration duration)
        : LogField(fieldKey, std::to_string(duration.count()))
    {
    }

    template<std::floating_point Number>
    LogField(std::string_view fieldKey, Number number)
        : LogField(fieldKey, std::to_string(number))
    {
    }

    template<std::integral Number>
    LogField(std::string_view fieldKey, Number number)
        : LogField(fieldKey, std::to_string(number))
    {
    }
};

/// \brief Sends log lines of at least \a minimum to standard error.
/// \param process name of the process, written in each line.
void startLogging(std::string process, LogLevel minimum);

/// \brief Sends log lines of at least \a minimum to standard output without ever blocking on its reader; see BoundedOutput.
void startBoundedLogging(std::string process, LogLevel minimum);

/// \brief Writes buffered lines as far as the reader accepts them; to be called several times a second after startBoundedLogging().
void flushLog();

/// \brief Writes a checkpoint with the digest of the lines since the last one, if there are any; after startBoundedLogging() only.
/// \sa LineChain, docs/audit.md
void logCheckpoint();

/// \brief Number of lines that were dropped because the reader was too slow or BoundedOutput::MAX_BYTES_PER_SECOND was exceeded.
std::uint64_t droppedLogLines();

/// \brief Writes one line: `MT<number> <name> key=value ...`. Values with spaces are quoted.
/// \sa docs/log-events.md
void logEvent(LogEvent event, std::initializer_list<LogField> fields);

} // namespace mimosatally
