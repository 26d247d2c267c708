#pragma once

#include "entrystate.h"

#include <string>

namespace mimosatally::internal
{

/// \brief JSON text of `/operator/v1/status`.
std::string statusPage(const EntryState &entry);

} // namespace mimosatally::internal
