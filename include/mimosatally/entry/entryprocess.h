#pragma once

#include <mimosatally/Config>

namespace mimosatally
{

/// \brief Runs an entry until it receives SIGTERM or SIGINT and has answered its last request.
/// \return the exit code: 0 after a graceful shutdown, 1 after an invariant violation.
/// \throws boost::system::system_error if an address cannot be bound.
int runEntry(const EntrySettings &settings);

} // namespace mimosatally
