#pragma once

#include <mimosatally/Core>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace mimosatally::internal
{

/// \brief Reason why a call, or its current attempt, was stopped.
enum class StopReason {
    None,
    /// \brief The caller closed its connection.
    CallerDisconnected,
    /// \brief The caller's deadline or the route's timeout passed.
    DeadlinePassed,
    /// \brief The current attempt reached its deadline; another one may follow.
    AttemptTimedOut,
    /// \brief The key of the caller is not valid any more.
    KeyRevoked,
    /// \brief An extra attempt has the answer.
    Superseded,
};

/// \brief Name of \a reason in log lines.
[[nodiscard]] std::string_view stopReasonName(StopReason reason);

/// \brief Cancels the pending I/O of a call when its caller disconnects or a deadline passes, by closing the socket of the current attempt.
class CallGuard : public std::enable_shared_from_this<CallGuard>
{
public:
    CallGuard(boost::asio::io_context &io, Time deadline);

    /// \brief Starts an attempt. \param attemptDeadline end of the attempt, limited to the deadline of the call.
    void beginAttempt(boost::asio::ip::tcp::socket &socket, Time attemptDeadline);

    /// \brief Replaces the deadline of the current attempt.
    void extendAttempt(Time attemptDeadline);

    /// \brief Ends the current attempt; its socket is not accessed any more.
    void endAttempt();

    void callerDisconnected();

    /// \brief Ends the call because the key of its caller is not valid any more.
    void revokeKey();

    /// \brief Ends the current attempt because another one has the answer.
    void supersedeAttempt();

    /// \brief Sets what happens once the call itself is stopped, besides the end of its current attempt.
    void onStopped(std::function<void(StopReason)> callback);

    /// \brief Ends the deadline of the call.
    void expireNow();

    [[nodiscard]] StopReason stopReason() const;
    /// \brief Returns whether the call itself was stopped and not only its current attempt.
    [[nodiscard]] bool isCallStopped() const;
    [[nodiscard]] Time deadline() const;
    [[nodiscard]] Duration remainingTime(Time now) const;

private:
    void arm(Duration delay);
    void expire();
    /// \brief Returns whether a timeout that is due waits for what the endpoint has already sent: after a stall of the process, the timer and the data are
    /// handled in one turn of the event loop, and an answer that is there goes before a timeout.
    [[nodiscard]] bool awaitsReadyData(Time now);
    void cancel(StopReason reason);

    boost::asio::steady_timer timer_;
    Time deadline_;
    Time attemptDeadline_;
    boost::asio::ip::tcp::socket *socket_ = nullptr;
    std::function<void(StopReason)> stopped_;
    StopReason stopReason_ = StopReason::None;
    std::uint64_t timerGeneration_ = 0;
    /// \brief Latest end of the wait for data that was ready when the timeout fell due; empty before.
    std::optional<Time> dataWaitEnd_;
};

} // namespace mimosatally::internal
