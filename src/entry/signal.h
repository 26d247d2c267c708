#pragma once

#include <mimosatally/Core>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>

namespace mimosatally::internal
{

/// \brief Wakes all waiting coroutines; each of them waits with its own deadline.
class Signal
{
public:
    explicit Signal(boost::asio::io_context &io);

    /// \brief Waits for the next notify(), at most until \a until.
    boost::asio::awaitable<void> wait(Time until);

    void notify();

    [[nodiscard]] bool hasWaiters() const;

private:
    boost::asio::io_context &io_;
    std::list<boost::asio::steady_timer *> waiters_;
};

} // namespace mimosatally::internal
