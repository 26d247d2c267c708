#pragma once

#include <string>
#include <string_view>

namespace mimosatally::internal
{

/// \brief Cuts a stream of server-sent events at the ends of events, so that no part of an event is passed on.
class EventFramer
{
public:
    /// \brief Adds bytes as they arrive.
    void append(std::string_view data);

    /// \brief Takes all whole events that have arrived; empty if there is none.
    std::string takeWholeEvents();

    /// \brief Takes what is left of a stream that ended as complete.
    std::string takeRest();

    /// \brief Drops a part of an event whose stream broke off.
    void dropPartialEvent();

    /// \brief Id of the last event that was taken; empty if events have none.
    [[nodiscard]] const std::string &lastEventId() const;

private:
    void noteEventIds(std::string_view events);

    std::string pending_;
    /// \brief Bytes of pending_ that are known to hold no end of an event.
    std::size_t scanned_ = 0;
    std::string lastEventId_;
};

} // namespace mimosatally::internal
