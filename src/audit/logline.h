#pragma once

#include <mimosatally/Core>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace mimosatally::internal
{

/// \brief One parsed log line.
struct LogLine {
    /// \brief Number of the event, as in docs/log-events.md.
    int event = 0;
    std::map<std::string, std::string, std::less<>> fields;

    /// \brief Value of a field; empty if the line does not have it.
    [[nodiscard]] std::string field(std::string_view key) const;
    [[nodiscard]] bool is(LogEvent other) const;
};

/// \brief Parses `TIME level MT<number> Name key=value ...`. \return std::nullopt if the line has another format.
std::optional<LogLine> parseLogLine(std::string_view line);

} // namespace mimosatally::internal
