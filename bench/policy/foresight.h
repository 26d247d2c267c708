#pragma once

#include "enginesimulation.h"
#include "trace.h"

namespace mimosatally::bench
{

/// \brief Upper bound on the number of requests that any policy with full knowledge of the trace can answer within contract.
///
/// Relaxations, each of which can only raise the bound: the engines form one machine; each engine always has the best role for its
/// work and changes roles instantly; prompt blocks that occur in more than one prompt are always cached, even the first time; a
/// request may be served in part and then counts as that fraction; a decode batch of any size has full speed.
///
/// Of the requests that arrive and must start within an interval, all are finished at its end except those that then fill the
/// engines' slots. Their work is therefore at most the capacity of the interval plus the work of the largest requests that fill all
/// slots. These constraints form a polymatroid, for which the greedy algorithm is optimal: requests are taken in order of increasing
/// work, each as far as the remaining capacity of all intervals permits.
double foresightBound(const Trace &trace, const EngineSettings &settings, int slotsPerEngine);

} // namespace mimosatally::bench
