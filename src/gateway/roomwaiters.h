#pragma once

#include <mimosatally/Core>

#include <boost/asio/steady_timer.hpp>
#include <compare>
#include <map>

namespace mimosatally::internal
{

/// \brief Place of a call among those that wait: by its rank, then by the time that its latency target leaves.
///
/// The deadline does not count: a call that comes back after a refusal has less time until its deadline but is late in any case, and would take the
/// place of a call that can be on time.
struct WaitingOrder {
    int rank = 0;
    Time target;

    auto operator<=>(const WaitingOrder &) const = default;
};

/// \brief Calls of this process that wait for a slot of their service, each on a timer of its own that is cancelled to wake it.
class RoomWaiters
{
    using Queue = std::multimap<WaitingOrder, boost::asio::steady_timer *>;

public:
    /// \brief Keeps a call among those that wait, as long as it exists.
    class Entry
    {
    public:
        Entry(RoomWaiters &waiters, const ServiceId &service, WaitingOrder order, boost::asio::steady_timer &timer)
            : queue_(waiters.queues_[service])
            , position_(queue_.emplace(order, &timer))
        {
        }

        ~Entry()
        {
            queue_.erase(position_);
        }

        Entry(const Entry &) = delete;
        Entry &operator=(const Entry &) = delete;

    private:
        Queue &queue_;
        Queue::iterator position_;
    };

    /// \brief Returns the number of calls that wait and go before one with \a order.
    [[nodiscard]] std::size_t ahead(const ServiceId &service, WaitingOrder order) const
    {
        const auto found = queues_.find(service);
        return found == queues_.end() ? 0 : static_cast<std::size_t>(std::distance(found->second.begin(), found->second.lower_bound(order)));
    }

    /// \brief Wakes the first call that waits, after a place has become free.
    void wakeFirst(const ServiceId &service)
    {
        const auto found = queues_.find(service);
        if (found != queues_.end() && !found->second.empty()) {
            found->second.begin()->second->cancel();
        }
    }

    /// \brief Wakes all calls, after endpoints or the configuration have changed.
    void wakeAll()
    {
        for (const auto &[service, queue] : queues_) {
            for (const auto &[order, timer] : queue) {
                timer->cancel();
            }
        }
    }

private:
    /// \brief Entries refer to the queues, so these are kept; there are as many as services had calls that waited.
    std::map<ServiceId, Queue> queues_;
};

} // namespace mimosatally::internal
