#pragma once

#include "configuration.h"

#include <string>

namespace mimosatally
{

/// \brief Parses a configuration document; docs/configuration.md describes every key. Lists are sorted by id.
/// \param fileName used only for the locations of findings.
/// \throws FindingsError with all findings and their lines.
Configuration parseConfiguration(const std::string &toml, const std::string &fileName);

/// \brief Writes a document that parseConfiguration() reads back as an equal value.
std::string formatConfiguration(const Configuration &configuration);

/// \brief Document with the difference between two configurations; empty if there is none.
///
/// It has the keys of a full document. Its items replace those with the same id or are added; `[remove]` lists ids to remove.
/// \sa applyChange
std::string formatChange(const Configuration &before, const Configuration &after);

/// \brief Applies a document made by formatChange(). The result is checked like a full document.
/// \throws FindingsError with all findings; those about the resulting configuration name the item instead of a line.
Configuration applyChange(const Configuration &before, const std::string &change, const std::string &fileName);

} // namespace mimosatally
