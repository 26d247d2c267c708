#pragma once

#include "simulation.h"

#include <nlohmann/json.hpp>

namespace mimosatally::bench
{

/// \brief Figures of one run; the definitions are in docs/policy.md.
nlohmann::ordered_json measure(const Trace &trace, const RunResult &result);

/// \brief Greatest worsening of another customer's 99th percentile wait by the surge, as a ratio; nothing without a surge.
nlohmann::ordered_json measureIsolation(const Trace &trace, const RunResult &with, const RunResult &without);

/// \brief Requests answered within contract.
std::size_t answeredWithinContract(const RunResult &result);

/// \brief Name of the strategy in reports.
std::string toString(Strategy strategy);

} // namespace mimosatally::bench
