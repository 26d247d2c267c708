#include <catch2/catch.hpp>

#include <mimosatally/Core>

#include <fstream>
#include <set>
#include <sstream>

using namespace mimosatally;

namespace
{
std::set<std::string> catalogueRows()
{
    std::ifstream file(SOURCE_DIRECTORY "/docs/log-events.md");
    std::set<std::string> rows;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("| MT")) {
            rows.insert(line.substr(0, line.rfind(" | ", line.rfind(" |") - 1)));
        }
    }
    return rows;
}

std::string levelText(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "Debug";
    case LogLevel::Info:
        return "Info";
    case LogLevel::Warning:
        return "Warning";
    case LogLevel::Error:
        return "Error";
    }
    return {};
}

std::set<std::string> codeRows()
{
    std::set<std::string> rows;
    for (const LogEventDescription &description : allLogEvents()) {
        std::ostringstream row;
        row << "| MT" << description.number << " | " << description.name << " | " << levelText(description.level) << " | " << description.text;
        rows.insert(row.str());
    }
    return rows;
}
} // namespace

// Guards against events that operators cannot look up, and against a catalogue that lists removed events.
TEST_CASE("The catalogue of log events and the code agree", "[log]")
{
    CHECK(catalogueRows() == codeRows());
}
