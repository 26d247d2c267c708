#include "signal.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosatally::internal
{

Signal::Signal(boost::asio::io_context &io)
    : io_(io)
{
}

boost::asio::awaitable<void> Signal::wait(Time until)
{
    boost::asio::steady_timer timer(io_);
    timer.expires_at(boost::asio::steady_timer::time_point(until.time_since_epoch()));
    const auto position = waiters_.insert(waiters_.end(), &timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    waiters_.erase(position);
}

void Signal::notify()
{
    for (boost::asio::steady_timer *timer : waiters_) {
        timer->cancel();
    }
}

bool Signal::hasWaiters() const
{
    return !waiters_.empty();
}

} // namespace mimosatally::internal
