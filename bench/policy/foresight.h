#pragma once

#include "enginemodel.h"
#include "trace.h"

namespace mimosatally::bench
{

/// \brief Upper bound on the number of requests that any policy can answer within contract, knowing the whole trace.
///
/// Relaxations, each of which can only raise the number: the engines form one machine; each engine always has the best role for
/// its work and changes roles in no time; prompt blocks that occur in more than one prompt are always cached, also the first time; a request may be
/// served in parts, and a part of a request counts as that part; a decode batch of any size has full speed.
///
/// Of the requests that arrive and must start within an interval, all but those that fill the engines' slots at its end are
/// finished by then. Their work is therefore at most the capacity of the interval plus the work of the largest requests that
/// fill all slots. Under these conditions the greatest number of (parts of) requests is found by taking the requests with the
/// least work first, each as far as all intervals still permit (the conditions form a polymatroid, for which this is optimal).
double foresightBound(const Trace &trace, const EngineSettings &settings, int slotsPerEngine);

} // namespace mimosatally::bench
