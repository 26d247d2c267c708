#include <mimosatally/Supervision>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosatally
{

TaskContext::TaskContext(boost::asio::io_context &io)
    : timer_(io)
{
}

boost::asio::awaitable<bool> TaskContext::sleep(Duration duration)
{
    if (!woken_ && !stopping_) {
        timer_.expires_after(duration);
        boost::system::error_code ignored;
        co_await timer_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    woken_ = false;
    co_return !stopping_;
}

void TaskContext::wake()
{
    woken_ = true;
    timer_.cancel();
}

void TaskContext::stop()
{
    stopping_ = true;
    timer_.cancel();
}

bool TaskContext::isStopping() const
{
    return stopping_;
}

} // namespace mimosatally
