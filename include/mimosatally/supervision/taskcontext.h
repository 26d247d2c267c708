#pragma once

#include <mimosatally/Core>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace mimosatally
{

/// \brief Interruptible sleep and stop request of a child task.
class TaskContext
{
public:
    explicit TaskContext(boost::asio::io_context &io);

    /// \brief Waits for \a duration, or until wake() or stop() is called. A wake() before the call ends the wait at once.
    /// \return true if the task continues; false after stop().
    boost::asio::awaitable<bool> sleep(Duration duration);

    /// \brief Ends the current or the next sleep().
    void wake();

    /// \brief Asks the task to end; each sleep() returns false from now on.
    void stop();

    [[nodiscard]] bool isStopping() const;

private:
    boost::asio::steady_timer timer_;
    bool woken_ = false;
    bool stopping_ = false;
};

} // namespace mimosatally
