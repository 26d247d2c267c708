#pragma once

#include <mimosatally/Core>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace mimosatally::internal
{

/// \brief Why the work for a call was stopped.
enum class CallStop {
    None,
    /// \brief The caller closed its connection.
    CallerGone,
    /// \brief The caller's deadline or the route's timeout passed.
    DeadlinePassed,
    /// \brief The current attempt took too long; another one may follow.
    AttemptTimedOut,
};

/// \brief Ends what a call waits for when the caller leaves or time is over, by closing the socket of the current attempt.
class CallGuard : public std::enable_shared_from_this<CallGuard>
{
public:
    CallGuard(boost::asio::io_context &io, Time deadline);

    /// \brief Starts an attempt. \param limit end of the attempt; the deadline goes before it.
    void beginAttempt(boost::asio::ip::tcp::socket &socket, Time limit);

    /// \brief Moves the end of the current attempt.
    void extendAttempt(Time limit);

    /// \brief The current attempt is over; the socket is not touched any more.
    void endAttempt();

    void callerGone();

    [[nodiscard]] CallStop stop() const;
    [[nodiscard]] Time deadline() const;
    [[nodiscard]] Duration remainingTime(Time now) const;

private:
    void arm();
    void expire();
    void stopWith(CallStop stop);

    boost::asio::steady_timer timer_;
    Time deadline_;
    Time limit_;
    boost::asio::ip::tcp::socket *socket_ = nullptr;
    CallStop stop_ = CallStop::None;
    std::uint64_t armed_ = 0;
};

} // namespace mimosatally::internal
