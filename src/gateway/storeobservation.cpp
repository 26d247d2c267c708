#include "storeobservation.h"

#include <algorithm>

namespace mimosatally::internal
{

StoreObservation::StoreObservation(boost::asio::io_context &io)
    : timer_(io)
{
}

void StoreObservation::setReadNow(std::function<void()> readNow)
{
    readNow_ = std::move(readNow);
}

void StoreObservation::setReadEnded(std::function<void()> readEnded)
{
    readEnded_ = std::move(readEnded);
}

void StoreObservation::beginRead(Time now)
{
    current_ = {current_.number + 1, now};
    reading_ = true;
}

Time StoreObservation::sentAt() const
{
    return current_.sent;
}

void StoreObservation::recordSeenToEnd()
{
    if (current_.sent >= completeFrom_) {
        newest_ = current_;
    }
}

void StoreObservation::endRead(bool answered)
{
    reading_ = false;
    answered_ = answered;
    if (readEnded_) {
        readEnded_();
    }
}

void StoreObservation::recordRestore(Time completeFrom)
{
    completeFrom_ = std::max(completeFrom_, completeFrom);
}

StoreObservation::Mark StoreObservation::mark() const
{
    return Mark(current_.number);
}

bool StoreObservation::isNewerThan(const Mark &mark) const
{
    return newest_ && newest_->number > mark.readsBegun_;
}

std::optional<Time> StoreObservation::asOf() const
{
    return newest_ ? std::optional(newest_->sent) : std::nullopt;
}

Time StoreObservation::nextRequestedRead(Time now) const
{
    const Duration interval = answered_ ? MIN_INTERVAL : MIN_INTERVAL_AFTER_FAILURE;
    const Time afterLast = current_.number == 0 ? now : current_.sent + interval;
    return std::max({now, afterLast, completeFrom_});
}

void StoreObservation::request(const Mark &mark)
{
    const bool underWay = reading_ && current_.number > mark.readsBegun_ && current_.sent >= completeFrom_;
    if (requested_ || underWay || !readNow_) {
        return;
    }
    requested_ = true;
    const Time now = MilliClock::now();
    timer_.expires_after(nextRequestedRead(now) - now);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            // Only the destructor cancels the timer.
            return;
        }
        requested_ = false;
        if (readNow_) {
            readNow_();
        }
    });
}

} // namespace mimosatally::internal
