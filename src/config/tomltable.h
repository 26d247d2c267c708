#pragma once

#include <mimosatally/Core>

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <toml.hpp>
#include <vector>

namespace mimosatally::internal
{

/// \brief Reads one TOML table and collects findings about its keys instead of stopping at the first.
///
/// A getter adds a finding if its value is invalid or a required key is missing. It then returns the default or the invalid text.
class TomlTable
{
public:
    TomlTable(const toml::value &table, std::string name, const std::string &file, Findings &findings);

    std::string requiredString(const std::string &key);
    std::string string(const std::string &key, const std::string &defaultValue);
    std::int64_t integer(const std::string &key,
                         std::int64_t defaultValue,
                         std::int64_t minimum,
                         std::int64_t maximum = std::numeric_limits<std::int64_t>::max());
    double number(const std::string &key, double defaultValue, double minimum);
    bool boolean(const std::string &key, bool defaultValue);
    /// \brief Duration, written as an integer with the unit ms, s, min, h or d; at least 1 ms.
    Duration duration(const std::string &key, std::optional<Duration> defaultValue);
    /// \brief As duration(), but the number may have a fraction, such as `1.5s`; for files that only one process reads.
    Duration fractionalDuration(const std::string &key, Duration defaultValue);
    /// \brief Percentage such as `12.5%`, in millionths.
    std::int64_t requiredShare(const std::string &key);
    std::vector<std::string> strings(const std::string &key);
    /// \brief Address `ip:port`. \param defaultValue std::nullopt means that the key is required.
    std::string address(const std::string &key, const std::optional<std::string> &defaultValue = std::nullopt);
    /// \brief List of addresses `ip:port`.
    std::vector<std::string> addresses(const std::string &key);
    /// \brief 64 hexadecimal digits, returned in lower case.
    std::string requiredHash(const std::string &key);
    std::vector<std::string> hashes(const std::string &key);
    /// \brief One of the given words. \return its index in \a words.
    std::size_t choice(const std::string &key, const std::vector<std::string> &words, std::size_t defaultIndex);
    std::vector<TomlTable> tables(const std::string &key);
    /// \brief Table at the key; empty if the key is missing.
    TomlTable table(const std::string &key);

    [[nodiscard]] bool has(const std::string &key) const;
    /// \brief True if the key is present and its value is an empty string.
    [[nodiscard]] bool isEmptyString(const std::string &key) const;
    /// \brief Adds a finding at the line of a key, or of the table if the key is missing.
    void addFinding(const std::string &key, const std::string &message);
    /// \brief Adds a finding for every key that was not read.
    void reportUnknownKeys();

private:
    const toml::value *find(const std::string &key);
    const toml::value *require(const std::string &key);
    Duration readDuration(const std::string &key, std::optional<Duration> defaultValue, bool allowFraction);
    [[nodiscard]] SourceLocation locationOf(const toml::value &value) const;
    [[nodiscard]] std::string qualifiedKey(const std::string &key) const;

    const toml::value *table_;
    std::string name_;
    const std::string *file_;
    Findings *findings_;
    std::set<std::string> readKeys_;
};

/// \brief Parses TOML; a syntax error becomes a finding.
/// \return std::nullopt if there was one.
std::optional<toml::value> parseToml(const std::string &text, const std::string &file, Findings &findings);

} // namespace mimosatally::internal
