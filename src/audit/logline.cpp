#include "audit/logline.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace mimosatally::internal
{

namespace
{
constexpr std::string_view EVENT_PREFIX = "MT";
/// \brief Words before the fields: time, level, number and name of the event.
constexpr int LEADING_WORDS = 4;
constexpr int EVENT_WORD = 2;

std::string_view takeWord(std::string_view &rest)
{
    const std::size_t end = std::min(rest.find(' '), rest.size());
    const std::string_view word = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return word;
}

std::optional<int> parseEventNumber(std::string_view word)
{
    if (!word.starts_with(EVENT_PREFIX)) {
        return std::nullopt;
    }
    word.remove_prefix(EVENT_PREFIX.size());
    int number = 0;
    const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), number);
    return error == std::errc() && end == word.data() + word.size() ? std::optional(number) : std::nullopt;
}

/// \brief Returns the position after the closing quote of a quoted value.
std::size_t quotedEnd(std::string_view text)
{
    std::size_t position = 1;
    while (position < text.size() && text[position] != '"') {
        position += text[position] == '\\' ? 2 : 1;
    }
    return std::min(position + 1, text.size());
}

std::string takeValue(std::string_view &rest)
{
    if (!rest.starts_with('"')) {
        return std::string(takeWord(rest));
    }
    const std::size_t end = quotedEnd(rest);
    const nlohmann::json value = nlohmann::json::parse(rest.substr(0, end), nullptr, false);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return value.is_string() ? value.get<std::string>() : std::string();
}
} // namespace

std::string LogLine::field(std::string_view key) const
{
    const auto found = fields.find(key);
    return found == fields.end() ? std::string() : found->second;
}

bool LogLine::is(LogEvent other) const
{
    return event == static_cast<int>(other);
}

std::optional<LogLine> parseLogLine(std::string_view line)
{
    LogLine result;
    std::optional<int> number;
    for (int word = 0; word < LEADING_WORDS; ++word) {
        const std::string_view text = takeWord(line);
        if (word == EVENT_WORD) {
            number = parseEventNumber(text);
        }
    }
    if (!number) {
        return std::nullopt;
    }
    result.event = *number;
    while (!line.empty()) {
        const std::size_t equals = line.find('=');
        if (equals == std::string_view::npos) {
            break;
        }
        const std::string key(line.substr(0, equals));
        line.remove_prefix(equals + 1);
        result.fields.insert_or_assign(key, takeValue(line));
    }
    return result;
}

} // namespace mimosatally::internal
