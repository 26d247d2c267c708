#include "callguard.h"

#include <algorithm>

namespace mimosatally::internal
{

CallGuard::CallGuard(boost::asio::io_context &io, Time deadline)
    : timer_(io)
    , deadline_(deadline)
    , limit_(deadline)
{
}

void CallGuard::beginAttempt(boost::asio::ip::tcp::socket &socket, Time limit)
{
    socket_ = &socket;
    if (stop_ == CallStop::AttemptTimedOut) {
        stop_ = CallStop::None;
    }
    if (stop_ != CallStop::None) {
        boost::system::error_code ignored;
        socket.close(ignored);
        return;
    }
    limit_ = std::min(limit, deadline_);
    arm();
}

void CallGuard::extendAttempt(Time limit)
{
    limit_ = std::min(limit, deadline_);
    if (socket_ != nullptr) {
        arm();
    }
}

void CallGuard::endAttempt()
{
    socket_ = nullptr;
    ++armed_;
    timer_.cancel();
}

void CallGuard::callerGone()
{
    stopWith(CallStop::CallerGone);
}

CallStop CallGuard::stop() const
{
    return stop_;
}

Time CallGuard::deadline() const
{
    return deadline_;
}

Duration CallGuard::remainingTime(Time now) const
{
    return std::max(deadline_ - now, Duration(0));
}

void CallGuard::arm()
{
    const std::uint64_t number = ++armed_;
    timer_.expires_after(std::max(limit_ - MilliClock::now(), Duration(0)));
    timer_.async_wait([weak = weak_from_this(), number](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self && self->armed_ == number) {
            self->expire();
        }
    });
}

void CallGuard::expire()
{
    const Time now = MilliClock::now();
    if (now < limit_) {
        arm();
        return;
    }
    stopWith(now >= deadline_ ? CallStop::DeadlinePassed : CallStop::AttemptTimedOut);
}

void CallGuard::stopWith(CallStop stop)
{
    if (stop_ == CallStop::CallerGone || stop_ == CallStop::DeadlinePassed) {
        return;
    }
    stop_ = stop;
    if (socket_ != nullptr) {
        boost::system::error_code ignored;
        socket_->close(ignored);
    }
}

} // namespace mimosatally::internal
