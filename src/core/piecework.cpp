#include "piecework.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/coroutine2/coroutine.hpp>

namespace mimosatally::internal
{

using boost::asio::awaitable;
using boost::asio::use_awaitable;

namespace
{
/// \brief Time after which a piece ends at its next checkpoint. With the step that follows, it stays below a quarter of the tightest latency target (150 ms).
constexpr Duration PIECE_TIME = Duration(4);
/// \brief Longest pause after a piece that was held up.
constexpr Duration MAX_PAUSE = Duration(20);
/// \brief The deepest calls are those of the JSON library, whose parser does not recurse.
constexpr std::size_t STACK_BYTES = std::size_t(256) * 1024;

using Coroutine = boost::coroutines2::coroutine<void>;
} // namespace

awaitable<PieceTimes> runInPieces(boost::asio::io_context &io, Pace pace, std::function<void(const Checkpoint &)> work)
{
    PieceTimes times;
    const Time begun = MilliClock::now();
    Time pieceBegun = begun;
    Coroutine::pull_type pieces(boost::coroutines2::fixedsize_stack(STACK_BYTES), [&work, &pieceBegun](Coroutine::push_type &endPiece) {
        work([&] {
            if (MilliClock::now() - pieceBegun >= PIECE_TIME) {
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
        if (pace == Pace::Shared) {
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
