#pragma once

#include <mimosatally/Core>
#include <mimosatally/core/checkpoint.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>

namespace mimosatally::internal
{

/// \brief What becomes of the processor between two pieces of a computation.
enum class Pace {
    /// \brief The event loop is left idle, or to handlers that become ready, for as long as the last piece took and 20 ms at most. A computation that has
    /// taken a second goes on promptly and in longer pieces.
    Shared,
    /// \brief The next piece follows as soon as the handlers that are ready have run.
    Prompt,
};

/// \brief Pieces of one computation.
struct PieceTimes {
    int pieces = 0;
    /// \brief Longest time that the event loop stood still for one piece.
    Duration longest = Duration(0);
    /// \brief Time from the beginning of the first piece to the end of the last one.
    Duration total = Duration(0);
};

/// \brief Runs \a work on the thread of \a io in pieces of some milliseconds, between which the event loop serves its other handlers.
///
/// \a work runs on a stack of its own and gets a checkpoint that it has to call between small steps; a piece ends at the first checkpoint after its time.
/// An exception of \a work propagates to the caller. If the caller's coroutine is destroyed, the stack of \a work is unwound.
boost::asio::awaitable<PieceTimes> runInPieces(boost::asio::io_context &io, Pace pace, std::function<void(const Checkpoint &)> work);

} // namespace mimosatally::internal
