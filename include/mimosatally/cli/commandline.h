#pragma once

#include <string>
#include <vector>

namespace mimosatally
{

/// \brief Runs one command. \param arguments without the program's name.
/// \return the exit code of docs/design.md, section 2.
int runCommandLine(const std::vector<std::string> &arguments);

} // namespace mimosatally
