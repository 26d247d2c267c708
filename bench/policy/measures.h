#pragma once

#include "simulation.h"

#include <nlohmann/json.hpp>

namespace mimosatally::bench
{

/// \brief Figures of one run, as defined in docs/policy.md.
nlohmann::ordered_json measure(const Trace &trace, const RunResult &result);

/// \brief 99th percentile wait of each customer without surge requests, with and without the surge, and the ratio of the two.
nlohmann::ordered_json measureIsolation(const Trace &trace, const RunResult &withSurge, const RunResult &withoutSurge);

/// \brief Number of requests that started by their deadline and finished.
std::size_t answeredWithinContract(const RunResult &result);

/// \brief Name of a strategy in reports.
std::string toString(Strategy strategy);

} // namespace mimosatally::bench
