#include "command.h"

#include <mimosatally/Cli>
#include <mimosatally/Http>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <sstream>

namespace mimosatally
{

namespace
{
using namespace internal;

constexpr const char *USAGE = R"(mimosatally serves language model requests on a fixed fleet of engines.

Usage: mimosatally COMMAND [ARGUMENT...]
       mimosatally --help
       mimosatally --version

Processes:
  entry      serves the HTTP API behind the load balancer
  agent      queues and forwards the requests for one endpoint
  gateway    serves callers and calls endpoints directly, without agents

Commands for operators:
  check      check configuration and settings files
  publish    publish a configuration
  drain      stop new work for an instance
  replace    take a drained instance back into service
  withdraw   permanently stop new work for an instance
  status     show the state of the fleet
  audit      export and verify the audit records
  key        generate keys

`mimosatally COMMAND --help` describes a command.

Exit codes: 0 success, 1 findings or a negative verdict, 2 usage, 3 platform or peer unreachable, 4 verdict unknown.
)";

const std::array<const Command *, 11> COMMANDS = {&ENTRY_COMMAND,
                                                  &AGENT_COMMAND,
                                                  &GATEWAY_COMMAND,
                                                  &CHECK_COMMAND,
                                                  &PUBLISH_COMMAND,
                                                  &DRAIN_COMMAND,
                                                  &REPLACE_COMMAND,
                                                  &WITHDRAW_COMMAND,
                                                  &STATUS_COMMAND,
                                                  &AUDIT_COMMAND,
                                                  &KEY_COMMAND};

int runCommand(const Command &command, const std::vector<std::string> &arguments)
{
    try {
        return command.run(docopt::docopt_parse(command.usage, arguments, true, false));
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << command.usage;
        return ExitCode::Success;
    } catch (const docopt::DocoptArgumentError &error) {
        std::cerr << error.what() << "\n\n" << command.usage;
    } catch (const UsageError &error) {
        std::cerr << "mimosatally " << command.name << ": " << error.what() << '\n';
    }
    return ExitCode::Usage;
}

int runAndReportErrors(const Command &command, const std::vector<std::string> &arguments)
{
    try {
        return runCommand(command, arguments);
    } catch (const FindingsError &error) {
        std::cerr << error.what() << '\n' << error.findings().size() << " findings; correct the file and run the command again\n";
        return ExitCode::Negative;
    } catch (const UnreachableError &error) {
        std::cerr << error.what() << "\nThe service cannot be reached; check its address and try again.\n";
        return ExitCode::Unreachable;
    } catch (const MalformedInputError &error) {
        std::cerr << "mimosatally " << command.name << ": " << error.what() << '\n';
        return ExitCode::Usage;
    } catch (const std::exception &error) {
        std::cerr << "mimosatally " << command.name << ": " << error.what() << '\n';
        return ExitCode::Negative;
    }
}
} // namespace

namespace internal
{

std::string stringArgument(const Arguments &arguments, const std::string &name)
{
    const auto found = arguments.find(name);
    return found != arguments.end() && found->second.isString() ? found->second.asString() : std::string();
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        throw UsageError(path + " cannot be read; check the path and its permissions");
    }
    return text.str();
}

} // namespace internal

int runCommandLine(const std::vector<std::string> &arguments)
{
    if (arguments.empty()) {
        std::cerr << USAGE;
        return ExitCode::Usage;
    }
    if (arguments.front() == "--help" || arguments.front() == "-h") {
        std::cout << USAGE;
        return ExitCode::Success;
    }
    if (arguments.front() == "--version") {
        std::cout << "mimosatally " MIMOSATALLY_VERSION "\n";
        return ExitCode::Success;
    }
    const auto found = std::ranges::find_if(COMMANDS, [&arguments](const Command *command) {
        return arguments.front() == command->name;
    });
    if (found == COMMANDS.end()) {
        std::cerr << "mimosatally: unknown command \"" << arguments.front() << "\"\n\n" << USAGE;
        return ExitCode::Usage;
    }
    return runAndReportErrors(**found, arguments);
}

} // namespace mimosatally
