#pragma once

#include "configuration.h"

#include <string>

namespace mimosatally
{

/// \brief Reads a configuration document; docs/configuration.md describes every key.
/// \param fileName is used in the places of findings only.
/// \throws FindingsError with all findings and their lines.
Configuration parseConfiguration(const std::string &toml, const std::string &fileName);

} // namespace mimosatally
