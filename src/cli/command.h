#pragma once

#include <mimosatally/Core>

#include <docopt.h>
#include <map>
#include <string>
#include <vector>

namespace mimosatally::internal
{

/// \brief Exit codes of the program.
enum ExitCode : int {
    Success = 0,
    /// \brief Findings or a negative verdict.
    Negative = 1,
    Usage = 2,
    /// \brief The platform or a peer cannot be reached.
    Unreachable = 3,
    /// \brief The verdict is unknown.
    Unknown = 4,
};

/// \brief An argument is invalid; ends the command with exit code Usage.
class UsageError : public Error
{
public:
    using Error::Error;
};

using Arguments = std::map<std::string, docopt::value>;

/// \brief One command: its usage in docopt's syntax and the function that runs it.
struct Command {
    const char *name;
    std::string usage;
    int (*run)(const Arguments &arguments);
};

extern const Command ENTRY_COMMAND;
extern const Command AGENT_COMMAND;
extern const Command GATEWAY_COMMAND;
extern const Command CHECK_COMMAND;
extern const Command PUBLISH_COMMAND;
extern const Command DRAIN_COMMAND;
extern const Command REPLACE_COMMAND;
extern const Command WITHDRAW_COMMAND;
extern const Command STATUS_COMMAND;
extern const Command AUDIT_COMMAND;
extern const Command KEY_COMMAND;

/// \brief Value of an option or argument; empty if it was not given.
std::string stringArgument(const Arguments &arguments, const std::string &name);

/// \brief Content of a file. \throws UsageError if it cannot be read.
std::string readFile(const std::string &path);

} // namespace mimosatally::internal
