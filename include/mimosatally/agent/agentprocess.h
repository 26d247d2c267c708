#pragma once

#include <mimosatally/Config>

namespace mimosatally
{

/// \brief Runs the agent of one endpoint until SIGTERM or until its instance is drained or withdrawn, and then until accepted work is done.
/// \return the exit code: 0 after a graceful shutdown, 1 after an invariant violation.
/// \throws boost::system::system_error if an address cannot be bound.
int runAgent(const AgentSettings &settings);

} // namespace mimosatally
