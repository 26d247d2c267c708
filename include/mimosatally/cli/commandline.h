#pragma once

#include <string>
#include <vector>

namespace mimosatally
{

/// \brief Runs one command. \param arguments command line without the program's name.
/// \return the exit code as listed in docs/design.md, section 2.
int runCommandLine(const std::vector<std::string> &arguments);

} // namespace mimosatally
