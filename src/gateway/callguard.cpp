#include "callguard.h"

#include <algorithm>

namespace mimosatally::internal
{

namespace
{
/// \brief A timeout is handled this much too late only after a stall of the process.
constexpr Duration MIN_STALL = Duration(20);
/// \brief Time for reading what was ready when a timeout fell due. Callers get a final answer within 250 ms after the timeout of their route.
constexpr Duration MAX_DATA_WAIT = Duration(100);
constexpr Duration DATA_WAIT_STEP = Duration(5);

/// \brief Returns whether another attempt may follow.
bool isOfAttempt(StopReason reason)
{
    return reason == StopReason::AttemptTimedOut || reason == StopReason::Superseded;
}
} // namespace

std::string_view stopReasonName(StopReason reason)
{
    switch (reason) {
    case StopReason::None:
        return "none";
    case StopReason::CallerDisconnected:
        return "caller-gone";
    case StopReason::DeadlinePassed:
        return "deadline";
    case StopReason::AttemptTimedOut:
        return "attempt-timeout";
    case StopReason::KeyRevoked:
        return "key-revoked";
    case StopReason::Superseded:
        return "superseded";
    }
    return "none";
}

CallGuard::CallGuard(boost::asio::io_context &io, Time deadline)
    : timer_(io)
    , deadline_(deadline)
    , attemptDeadline_(deadline)
{
}

void CallGuard::beginAttempt(boost::asio::ip::tcp::socket &socket, Time attemptDeadline)
{
    socket_ = &socket;
    if (isOfAttempt(stopReason_)) {
        stopReason_ = StopReason::None;
    }
    if (stopReason_ != StopReason::None) {
        boost::system::error_code ignored;
        socket.close(ignored);
        return;
    }
    attemptDeadline_ = std::min(attemptDeadline, deadline_);
    dataWaitEnd_.reset();
    arm(attemptDeadline_ - MilliClock::now());
}

void CallGuard::extendAttempt(Time attemptDeadline)
{
    attemptDeadline_ = std::min(attemptDeadline, deadline_);
    // Each timeout of an attempt may fall due in a stall of its own.
    dataWaitEnd_.reset();
    if (socket_ != nullptr) {
        arm(attemptDeadline_ - MilliClock::now());
    }
}

void CallGuard::endAttempt()
{
    socket_ = nullptr;
    ++timerGeneration_;
    timer_.cancel();
}

void CallGuard::callerDisconnected()
{
    cancel(StopReason::CallerDisconnected);
}

void CallGuard::revokeKey()
{
    cancel(StopReason::KeyRevoked);
}

void CallGuard::supersedeAttempt()
{
    cancel(StopReason::Superseded);
}

void CallGuard::onStopped(std::function<void(StopReason)> callback)
{
    stopped_ = std::move(callback);
}

void CallGuard::expireNow()
{
    deadline_ = std::min(deadline_, MilliClock::now());
    cancel(StopReason::DeadlinePassed);
}

StopReason CallGuard::stopReason() const
{
    return stopReason_;
}

bool CallGuard::isCallStopped() const
{
    return stopReason_ != StopReason::None && !isOfAttempt(stopReason_);
}

Time CallGuard::deadline() const
{
    return deadline_;
}

Duration CallGuard::remainingTime(Time now) const
{
    return std::max(deadline_ - now, Duration(0));
}

void CallGuard::arm(Duration delay)
{
    const std::uint64_t generation = ++timerGeneration_;
    timer_.expires_after(std::max(delay, Duration(0)));
    timer_.async_wait([weakSelf = weak_from_this(), generation](const boost::system::error_code &error) {
        const auto self = weakSelf.lock();
        if (!error && self && self->timerGeneration_ == generation) {
            self->expire();
        }
    });
}

void CallGuard::expire()
{
    const Time now = MilliClock::now();
    if (now < attemptDeadline_) {
        arm(attemptDeadline_ - now);
        return;
    }
    if (awaitsReadyData(now)) {
        arm(DATA_WAIT_STEP);
        return;
    }
    cancel(now >= deadline_ ? StopReason::DeadlinePassed : StopReason::AttemptTimedOut);
}

bool CallGuard::awaitsReadyData(Time now)
{
    if (socket_ == nullptr) {
        return false;
    }
    boost::system::error_code error;
    const bool hasUnreadData = socket_->available(error) > 0;
    if (!dataWaitEnd_) {
        dataWaitEnd_ = now + MAX_DATA_WAIT;
        // What was read in this turn of the loop is not unread any more, but its handlers have yet to run.
        return hasUnreadData || now - attemptDeadline_ >= MIN_STALL;
    }
    return hasUnreadData && now < *dataWaitEnd_;
}

void CallGuard::cancel(StopReason reason)
{
    if (isCallStopped()) {
        return;
    }
    stopReason_ = reason;
    if (socket_ != nullptr) {
        boost::system::error_code ignored;
        socket_->close(ignored);
    }
    if (isCallStopped() && stopped_) {
        stopped_(reason);
    }
}

} // namespace mimosatally::internal
