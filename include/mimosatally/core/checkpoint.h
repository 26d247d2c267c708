#pragma once

#include <functional>

namespace mimosatally
{

/// \brief Called by long computations between two small steps. It may suspend the computation, so no state that other code changes is kept across a call.
using Checkpoint = std::function<void()>;

/// \brief Checkpoint of computations that run to their end at once.
inline void noCheckpoint()
{
}

} // namespace mimosatally
