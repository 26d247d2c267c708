#include "command.h"

#include <mimosatally/Config>
#include <mimosatally/Gateway>
#include <mimosatally/Serving>
#include <platform/recordcodec.h>

#include <cctype>
#include <iostream>
#include <nlohmann/json.hpp>

namespace mimosatally::internal
{

namespace
{
/// \brief Result of the check of one serving configuration.
struct ServingCheck {
    std::vector<ConfigurationFinding> findings;
    /// \brief Differences from the version in force; empty if none is given.
    std::vector<std::string> changes;
};

/// \brief Returns whether \a text is a serving configuration in the platform's format; all other files are TOML, which cannot begin with a brace.
bool isServingConfiguration(const std::string &text)
{
    const std::size_t first = text.find_first_not_of(" \t\r\n");
    return first != std::string::npos && text[first] == '{';
}

/// \brief Returns the place in the file of an entry. \param place in the list without the entries that cannot be read, which are \a unreadable.
std::string placeInFile(const std::string &place, const std::vector<ConfigurationFinding> &unreadable)
{
    const std::size_t slash = place.rfind('/');
    const bool isListEntry =
        slash != std::string::npos && slash > 0 && slash + 1 < place.size() && std::isdigit(static_cast<unsigned char>(place[slash + 1])) != 0;
    if (!isListEntry) {
        return place;
    }
    const std::string list = place.substr(0, slash + 1);
    std::size_t index = std::stoul(place.substr(slash + 1));
    // Unreadable entries are reported in the order of the list.
    for (const ConfigurationFinding &finding : unreadable) {
        const bool isBefore = finding.place.starts_with(list) && std::stoul(finding.place.substr(list.size())) <= index;
        index += isBefore ? 1 : 0;
    }
    return list + std::to_string(index);
}

ServingCheck checkServing(const std::string &text, const std::string &inForceFile)
{
    platform::ReadableConfiguration next = platform::readConfiguration(text);
    ServingCheck result;
    result.findings = std::move(next.unreadable);
    const std::vector<ConfigurationFinding> unreadable = result.findings;
    for (ConfigurationFinding &finding : checkServingConfiguration(next.configuration)) {
        finding.place = placeInFile(finding.place, unreadable);
        result.findings.push_back(std::move(finding));
    }
    if (inForceFile.empty()) {
        return result;
    }
    const ServingConfiguration inForce = platform::decodeConfiguration(readFile(inForceFile));
    if (next.configuration.version <= inForce.version) {
        result.findings.push_back({FindingSeverity::Error,
                                   "/version",
                                   "is " + std::to_string(next.configuration.version) + ", not above the version in force, " + std::to_string(inForce.version)
                                       + ": gateways would ignore the configuration"});
    }
    for (const ConfigurationChange &change : difference(inForce, next.configuration)) {
        result.changes.push_back(describe(change));
    }
    return result;
}

std::string_view severityName(FindingSeverity severity)
{
    return severity == FindingSeverity::Error ? "error" : "warning";
}

void printText(const std::string &file, const ServingCheck &check)
{
    for (const ConfigurationFinding &finding : check.findings) {
        std::cout << file << ": " << severityName(finding.severity) << ": " << (finding.place.empty() ? "the file" : finding.place) << ' ' << finding.message
                  << '\n';
    }
    for (const std::string &change : check.changes) {
        std::cout << file << ": change: " << change << '\n';
    }
    if (check.findings.empty()) {
        std::cout << file << ": serving configuration without findings\n";
    }
}

void printJson(const std::string &file, const ServingCheck &check)
{
    nlohmann::ordered_json document = {{"file", file}, {"findings", nlohmann::json::array()}, {"changes", check.changes}};
    for (const ConfigurationFinding &finding : check.findings) {
        document["findings"].push_back({{"severity", severityName(finding.severity)}, {"place", finding.place}, {"message", finding.message}});
    }
    // Names in the file may hold bytes that are not UTF-8.
    std::cout << document.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
}

/// \brief Checks a settings file or a configuration of contracts. \return the kind of file. \throws FindingsError
std::string checkToml(const std::string &text, const std::string &file)
{
    if (isGatewaySettings(text, file)) {
        parseGatewaySettings(text, file);
        return "settings of a gateway";
    }
    return std::string(toString(checkFile(text, file)));
}

/// \brief Checks one file and prints its findings. \return their number.
std::size_t checkAndPrint(const std::string &file, const std::string &inForceFile, bool asJson)
{
    const std::string text = readFile(file);
    if (isServingConfiguration(text)) {
        const ServingCheck check = checkServing(text, inForceFile);
        asJson ? printJson(file, check) : printText(file, check);
        return check.findings.size();
    }
    if (!inForceFile.empty() || asJson) {
        throw UsageError("--in-force and --json are for serving configurations; " + file + " is none");
    }
    try {
        std::cout << file << ": " << checkToml(text, file) << " without findings\n";
    } catch (const FindingsError &error) {
        std::cout << error.what() << '\n';
        return error.findings().size();
    }
    return 0;
}

int check(const Arguments &arguments)
{
    const std::string inForceFile = stringArgument(arguments, "--in-force");
    const bool asJson = arguments.at("--json").asBool();
    std::size_t findings = 0;
    for (const std::string &file : arguments.at("FILE").asStringList()) {
        findings += checkAndPrint(file, inForceFile, asJson);
    }
    if (findings > 0 && !asJson) {
        std::cout << findings << " findings\n";
    }
    return findings == 0 ? ExitCode::Success : ExitCode::Negative;
}
} // namespace

const Command CHECK_COMMAND = {"check",
                               R"(Checks configuration and settings files and prints every finding with its place.

Usage: mimosatally check [--in-force=OLD] [--json] FILE...
       mimosatally check --help

Options:
  --in-force=OLD  serving configuration in force; the differences from it are printed with what they mean for callers
  --json          findings and differences as JSON, one object for each file

A file that begins with a brace is a serving configuration in the platform's format. A file with the key `process` is a settings
file: of an agent if it also has the key `endpoint`, of a gateway if it has the key `store`. Every other file is a configuration of
contracts. Exit code 1 means findings, warnings included; differences alone are none.
)",
                               check};

} // namespace mimosatally::internal
