#pragma once

#include <string>
#include <string_view>

namespace mimosatally::internal
{

/// \brief Splits a stream of server-sent events at event boundaries, so that no partial event is passed on.
class EventFramer
{
public:
    void append(std::string_view data);

    /// \brief Removes and returns all complete events that have arrived; empty if there are none.
    std::string takeCompleteEvents();

    /// \brief Removes and returns the remaining bytes of a stream that ended as complete.
    std::string takeRemainder();

    /// \brief Drops the partial event at the end of a stream that was cut off.
    void dropPartialEvent();

    /// \brief Returns the number of bytes of the partial event at the end of the stream.
    [[nodiscard]] std::size_t partialBytes() const;

    /// \brief Returns the id of the last event that was taken; empty if the events have none.
    [[nodiscard]] const std::string &lastEventId() const;

private:
    void recordLastEventId(std::string_view events);

    std::string pending_;
    /// \brief Number of leading bytes of pending_ that were already searched for the end of an event.
    std::size_t scanned_ = 0;
    std::string lastEventId_;
};

} // namespace mimosatally::internal
