#pragma once

#include <mimosatally/Core>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace mimosatally
{

/// \brief Lets a child task wait, be woken and learn that it has to end.
class TaskContext
{
public:
    explicit TaskContext(boost::asio::io_context &io);

    /// \brief Waits for \a length, until wake() or until stop(). A wake() before the call ends the wait at once.
    /// \return whether the task goes on; false after stop().
    boost::asio::awaitable<bool> sleep(Duration length);

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
