#include "tomltable.h"
#include "digits.h"
#include "percent.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cmath>
#include <sstream>
#include <utility>

namespace mimosatally::internal
{

namespace
{
constexpr std::size_t HASH_DIGITS = 64;
constexpr std::int64_t MAX_DURATION_MS = 366LL * 24 * 3600 * 1000;

struct DurationUnit {
    std::string_view suffix;
    std::int64_t milliseconds;
};

constexpr std::array<DurationUnit, 5> DURATION_UNITS = {{{"ms", 1}, {"s", 1000}, {"min", 60'000}, {"h", 3'600'000}, {"d", 86'400'000}}};

const toml::value EMPTY_TABLE = toml::table();

std::optional<Duration> parseDuration(std::string_view text, bool allowFraction)
{
    const std::string_view amountCharacters = allowFraction ? "0123456789." : "0123456789";
    const std::string_view number = text.substr(0, text.find_first_not_of(amountCharacters));
    double amount = 0;
    const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), amount, std::chars_format::fixed);
    const bool isNumber = error == std::errc() && end == number.data() + number.size();
    const auto *const unit = std::ranges::find(DURATION_UNITS, text.substr(number.size()), &DurationUnit::suffix);
    if (!isNumber || unit == DURATION_UNITS.end()) {
        return std::nullopt;
    }
    const double milliseconds = amount * static_cast<double>(unit->milliseconds);
    if (milliseconds < 1 || milliseconds > static_cast<double>(MAX_DURATION_MS)) {
        return std::nullopt;
    }
    return Duration(std::llround(milliseconds));
}

bool isAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    std::string host = text.substr(0, colon);
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed) {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    const boost::asio::ip::address address = boost::asio::ip::make_address(host, error);
    const std::optional<std::int64_t> port = parseDigits(std::string_view(text).substr(colon + 1));
    return !error && address.is_v6() == isBracketed && port && *port <= std::numeric_limits<std::uint16_t>::max();
}

bool isHash(const std::string &text)
{
    return text.size() == HASH_DIGITS && std::ranges::all_of(text, [](unsigned char c) {
               return std::isxdigit(c) != 0;
           });
}

std::string toLowerCase(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}
} // namespace

TomlTable::TomlTable(const toml::value &table, std::string name, const std::string &file, Findings &findings)
    : table_(&table)
    , name_(std::move(name))
    , file_(&file)
    , findings_(&findings)
{
}

const toml::value *TomlTable::find(const std::string &key)
{
    readKeys_.insert(key);
    const auto &entries = table_->as_table();
    const auto found = entries.find(key);
    return found == entries.end() ? nullptr : &found->second;
}

const toml::value *TomlTable::require(const std::string &key)
{
    const toml::value *value = find(key);
    if (value == nullptr) {
        addFinding(key, "is missing");
    }
    return value;
}

std::string TomlTable::requiredString(const std::string &key)
{
    return require(key) == nullptr ? std::string() : string(key, {});
}

std::string TomlTable::string(const std::string &key, const std::string &defaultValue)
{
    const toml::value *value = find(key);
    if (value == nullptr) {
        return defaultValue;
    }
    if (!value->is_string()) {
        addFinding(key, "must be a string");
        return defaultValue;
    }
    if (value->as_string().str.empty()) {
        addFinding(key, "must not be empty");
    }
    return value->as_string().str;
}

std::int64_t TomlTable::integer(const std::string &key, std::int64_t defaultValue, std::int64_t minimum, std::int64_t maximum)
{
    const toml::value *value = find(key);
    if (value == nullptr) {
        return defaultValue;
    }
    if (!value->is_integer()) {
        addFinding(key, "must be an integer");
        return defaultValue;
    }
    if (value->as_integer() < minimum || value->as_integer() > maximum) {
        addFinding(key, "must be between " + std::to_string(minimum) + " and " + std::to_string(maximum));
        return defaultValue;
    }
    return value->as_integer();
}

double TomlTable::number(const std::string &key, double defaultValue, double minimum)
{
    const toml::value *value = find(key);
    if (value == nullptr) {
        return defaultValue;
    }
    if (!value->is_floating() && !value->is_integer()) {
        addFinding(key, "must be a number");
        return defaultValue;
    }
    const double result = value->is_floating() ? value->as_floating() : static_cast<double>(value->as_integer());
    if (!(result >= minimum && result <= std::numeric_limits<double>::max())) {
        addFinding(key, "must be a finite number of at least " + std::to_string(minimum));
        return defaultValue;
    }
    return result;
}

bool TomlTable::boolean(const std::string &key, bool defaultValue)
{
    const toml::value *value = find(key);
    if (value != nullptr && !value->is_boolean()) {
        addFinding(key, "must be true or false");
        return defaultValue;
    }
    return value == nullptr ? defaultValue : value->as_boolean();
}

Duration TomlTable::duration(const std::string &key, std::optional<Duration> defaultValue)
{
    return readDuration(key, defaultValue, false);
}

Duration TomlTable::fractionalDuration(const std::string &key, Duration defaultValue)
{
    return readDuration(key, defaultValue, true);
}

Duration TomlTable::readDuration(const std::string &key, std::optional<Duration> defaultValue, bool allowFraction)
{
    const toml::value *value = defaultValue ? find(key) : require(key);
    if (value == nullptr) {
        return defaultValue.value_or(Duration(0));
    }
    const std::optional<Duration> parsed = value->is_string() ? parseDuration(value->as_string().str, allowFraction) : std::nullopt;
    if (!parsed) {
        addFinding(key, "must be a duration with its unit, such as \"250ms\", \"3s\", \"30min\", \"2h\" or \"1d\", from 1 ms to 366 days");
    }
    return parsed.value_or(defaultValue.value_or(Duration(0)));
}

std::int64_t TomlTable::requiredShare(const std::string &key)
{
    const toml::value *value = require(key);
    if (value == nullptr) {
        return 0;
    }
    const std::optional<std::int64_t> parsed = value->is_string() ? parsePercent(value->as_string().str) : std::nullopt;
    if (!parsed) {
        addFinding(key, "must be a percentage from \"0%\" to \"100%\" with at most four decimals, such as \"12.5%\"");
    }
    return parsed.value_or(0);
}

std::vector<std::string> TomlTable::strings(const std::string &key)
{
    const toml::value *value = find(key);
    std::vector<std::string> result;
    if (value == nullptr) {
        return result;
    }
    if (!value->is_array()) {
        addFinding(key, "must be a list of strings");
        return result;
    }
    for (const toml::value &element : value->as_array()) {
        if (!element.is_string() || element.as_string().str.empty()) {
            addFinding(key, "must be a list of strings that are not empty");
            return {};
        }
        result.push_back(element.as_string().str);
    }
    return result;
}

std::string TomlTable::address(const std::string &key, const std::optional<std::string> &defaultValue)
{
    std::string text = defaultValue ? string(key, *defaultValue) : requiredString(key);
    if (!text.empty() && !isAddress(text)) {
        addFinding(key, "must be an address of the form IP:PORT, but is \"" + text + '"');
    }
    return text;
}

std::vector<std::string> TomlTable::addresses(const std::string &key)
{
    std::vector<std::string> result = strings(key);
    for (const std::string &text : result) {
        if (!isAddress(text)) {
            addFinding(key, "must be a list of addresses of the form IP:PORT, but has \"" + text + '"');
        }
    }
    return result;
}

std::string TomlTable::requiredHash(const std::string &key)
{
    std::string text = requiredString(key);
    if (!text.empty() && !isHash(text)) {
        addFinding(key, "must have 64 hexadecimal digits");
    }
    return toLowerCase(std::move(text));
}

std::vector<std::string> TomlTable::hashes(const std::string &key)
{
    std::vector<std::string> result = strings(key);
    for (std::string &text : result) {
        if (!isHash(text)) {
            addFinding(key, "must be a list of SHA-256 hashes with 64 hexadecimal digits each, but has \"" + text + "\"; `mimosatally key new` makes them");
        }
        text = toLowerCase(std::move(text));
    }
    return result;
}

std::size_t TomlTable::choice(const std::string &key, const std::vector<std::string> &words, std::size_t defaultIndex)
{
    const std::string text = string(key, words[defaultIndex]);
    const auto found = std::ranges::find(words, text);
    if (found != words.end()) {
        return static_cast<std::size_t>(found - words.begin());
    }
    std::string list;
    for (const std::string &word : words) {
        list += (list.empty() ? "" : ", ") + word;
    }
    addFinding(key, "must be one of " + list + ", but is \"" + text + '"');
    return defaultIndex;
}

std::vector<TomlTable> TomlTable::tables(const std::string &key)
{
    const toml::value *value = find(key);
    std::vector<TomlTable> result;
    if (value == nullptr) {
        return result;
    }
    const bool isList = value->is_array() && std::ranges::all_of(value->as_array(), [](const toml::value &element) {
                            return element.is_table();
                        });
    if (!isList) {
        addFinding(key, "must be a list of tables, written [[" + key + "]]");
        return result;
    }
    for (const toml::value &element : value->as_array()) {
        result.emplace_back(element, qualifiedKey(key), *file_, *findings_);
    }
    return result;
}

TomlTable TomlTable::table(const std::string &key)
{
    const toml::value *value = find(key);
    if (value != nullptr && !value->is_table()) {
        addFinding(key, "must be a table, written [" + key + "]");
        value = nullptr;
    }
    return {value == nullptr ? EMPTY_TABLE : *value, qualifiedKey(key), *file_, *findings_};
}

bool TomlTable::has(const std::string &key) const
{
    return table_->as_table().contains(key);
}

bool TomlTable::isEmptyString(const std::string &key) const
{
    const auto &entries = table_->as_table();
    const auto found = entries.find(key);
    return found != entries.end() && found->second.is_string() && found->second.as_string().str.empty();
}

void TomlTable::addFinding(const std::string &key, const std::string &message)
{
    const auto &entries = table_->as_table();
    const auto found = entries.find(key);
    findings_->add(locationOf(found == entries.end() ? *table_ : found->second), '`' + qualifiedKey(key) + "` " + message);
}

void TomlTable::reportUnknownKeys()
{
    for (const auto &[key, value] : table_->as_table()) {
        if (!readKeys_.contains(key)) {
            addFinding(key, "is not a known key");
        }
    }
}

SourceLocation TomlTable::locationOf(const toml::value &value) const
{
    return {*file_, static_cast<int>(value.location().line())};
}

std::string TomlTable::qualifiedKey(const std::string &key) const
{
    return name_.empty() ? key : name_ + '.' + key;
}

std::optional<toml::value> parseToml(const std::string &text, const std::string &file, Findings &findings)
{
    std::istringstream stream(text);
    try {
        return toml::parse(stream, file);
    } catch (const toml::exception &error) {
        std::string message = error.what();
        if (message.starts_with("[error] ")) {
            message.erase(0, std::string_view("[error] ").size());
        }
        findings.add({file, static_cast<int>(error.location().line())}, "is not valid TOML: " + message.substr(0, message.find('\n')));
    } catch (const std::exception &error) {
        findings.add({file, 0}, std::string("is not valid TOML: ") + error.what());
    }
    return std::nullopt;
}

} // namespace mimosatally::internal
