#include "command.h"

#include <mimosatally/Config>
#include <mimosatally/Gateway>
#include <mimosatally/agent/agentprocess.h>
#include <mimosatally/entry/entryprocess.h>
#include <platform/processenvironment.h>

#include <iostream>

namespace mimosatally::internal
{

namespace
{
int entry(const Arguments &arguments)
{
    const std::string file = stringArgument(arguments, "SETTINGS");
    const EntrySettings settings = parseEntrySettings(readFile(file), file);
    startLogging(settings.process.value(), settings.logLevel);
    return runEntry(settings);
}

int agent(const Arguments &arguments)
{
    const std::string file = stringArgument(arguments, "SETTINGS");
    const AgentSettings settings = parseAgentSettings(readFile(file), file);
    startLogging(settings.process.value(), settings.logLevel);
    return runAgent(settings);
}

int gateway(const Arguments &arguments)
{
    const std::string argument = stringArgument(arguments, "SETTINGS");
    const std::string file = argument.empty() ? platform::settingsPath() : argument;
    if (file.empty()) {
        throw UsageError("no settings file is given, and the platform has not provided one");
    }
    const GatewaySettings settings = parseGatewaySettings(readFile(file), file);
    startBoundedLogging(settings.process.value(), settings.logLevel);
    return runGateway(settings);
}
} // namespace

const Command ENTRY_COMMAND = {"entry",
                               R"(Runs an entry until SIGTERM.

Usage: mimosatally entry SETTINGS
       mimosatally entry --help

docs/configuration.md describes the settings file.
)",
                               entry};

const Command AGENT_COMMAND = {"agent",
                               R"(Runs the agent of one endpoint until SIGTERM, or until its instance is drained or withdrawn.

Usage: mimosatally agent SETTINGS
       mimosatally agent --help

docs/configuration.md describes the settings file.
)",
                               agent};

const Command GATEWAY_COMMAND = {"gateway",
                                 R"(Runs a gateway until SIGTERM: serves callers and calls endpoints directly.

Usage: mimosatally gateway [SETTINGS]
       mimosatally gateway --help

Without SETTINGS the file that the platform provides for the process is read. docs/configuration.md describes it.
)",
                                 gateway};

} // namespace mimosatally::internal
