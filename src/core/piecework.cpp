#include "piecework.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/coroutine2/coroutine.hpp>
#include <boost/coroutine2/protected_fixedsize_stack.hpp>

namespace mimosatally::internal
{

using boost::asio::awaitable;
using boost::asio::use_awaitable;

namespace
{
/// \brief Time after which a piece ends at its next checkpoint. With the step that follows, it stays below a quarter of the tightest latency target (150 ms).
constexpr Duration PIECE_TIME = Duration(4);
/// \brief The same for a computation that is overdue, beside handlers that need most of the processor.
constexpr Duration OVERDUE_PIECE_TIME = Duration(16);
/// \brief Time from which on a computation is overdue: a quarter of the time within which a configuration has to be in force (4 s).
constexpr Duration OVERDUE_AFTER = Duration(1000);
/// \brief Longest pause after a piece that was held up.
constexpr Duration MAX_PAUSE = Duration(20);
/// \brief Enough for the JSON library with the depth of nesting that the readers of this project accept.
constexpr std::size_t STACK_BYTES = std::size_t(256) * 1024;

using Coroutine = boost::coroutines2::coroutine<void>;
} // namespace

awaitable<PieceTimes> runInPieces(boost::asio::io_context &io, Pace pace, std::function<void(const Checkpoint &)> work)
{
    PieceTimes times;
    const Time begun = MilliClock::now();
    Time pieceBegun = begun;
    // The page below the stack is protected, so that an overflow ends the process and overwrites nothing.
    Coroutine::pull_type pieces(boost::coroutines2::protected_fixedsize_stack(STACK_BYTES), [&work, &begun, &pieceBegun](Coroutine::push_type &endPiece) {
        work([&] {
            const Time now = MilliClock::now();
            const Duration pieceTime = now - begun >= OVERDUE_AFTER ? OVERDUE_PIECE_TIME : PIECE_TIME;
            if (now - pieceBegun >= pieceTime) {
                endPiece();
            }
        });
    });
    bool running = true;
    while (running) {
        const Time now = MilliClock::now();
        const Duration piece = now - pieceBegun;
        ++times.pieces;
        times.longest = std::max(times.longest, piece);
        times.total = now - begun;
        running = static_cast<bool>(pieces);
        if (!running) {
            break;
        }
        if (pace == Pace::Shared && times.total < OVERDUE_AFTER) {
            boost::asio::steady_timer timer(io, std::min(piece, MAX_PAUSE));
            boost::system::error_code ignored;
            co_await timer.async_wait(boost::asio::redirect_error(use_awaitable, ignored));
        } else {
            co_await boost::asio::post(io, use_awaitable);
        }
        pieceBegun = MilliClock::now();
        pieces();
    }
    co_return times;
}

} // namespace mimosatally::internal
