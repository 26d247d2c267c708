#include "eventframer.h"

#include <algorithm>
#include <utility>

namespace mimosatally::internal
{

namespace
{
constexpr std::string_view END_OF_EVENT = "\n\n";
constexpr std::string_view END_OF_EVENT_CRLF = "\r\n\r\n";
constexpr std::string_view ID_FIELD = "id:";

/// \brief Returns the position after the last complete event of \a data; 0 if there is none.
std::size_t endOfLastEvent(std::string_view data)
{
    const std::size_t plain = data.rfind(END_OF_EVENT);
    const std::size_t crlf = data.rfind(END_OF_EVENT_CRLF);
    std::size_t end = plain == std::string_view::npos ? 0 : plain + END_OF_EVENT.size();
    if (crlf != std::string_view::npos) {
        end = std::max(end, crlf + END_OF_EVENT_CRLF.size());
    }
    return end;
}
} // namespace

void EventFramer::append(std::string_view data)
{
    pending_.append(data);
}

std::string EventFramer::takeCompleteEvents()
{
    // The separator may begin in the bytes that were searched before.
    const std::size_t overlap = END_OF_EVENT_CRLF.size() - 1;
    const std::size_t searchStart = scanned_ > overlap ? scanned_ - overlap : 0;
    const std::size_t end = endOfLastEvent(std::string_view(pending_).substr(searchStart));
    if (end == 0) {
        scanned_ = pending_.size();
        return {};
    }
    std::string events = pending_.substr(0, searchStart + end);
    pending_.erase(0, searchStart + end);
    scanned_ = pending_.size();
    recordLastEventId(events);
    return events;
}

std::string EventFramer::takeRemainder()
{
    scanned_ = 0;
    return std::exchange(pending_, {});
}

void EventFramer::dropPartialEvent()
{
    pending_.clear();
    scanned_ = 0;
}

std::size_t EventFramer::partialBytes() const
{
    return pending_.size();
}

const std::string &EventFramer::lastEventId() const
{
    return lastEventId_;
}

void EventFramer::recordLastEventId(std::string_view events)
{
    std::size_t idField = events.rfind(ID_FIELD);
    while (idField != std::string_view::npos && idField != 0 && events[idField - 1] != '\n') {
        idField = events.rfind(ID_FIELD, idField - 1);
    }
    if (idField == std::string_view::npos) {
        return;
    }
    std::string_view value = events.substr(idField + ID_FIELD.size());
    value = value.substr(0, value.find_first_of("\r\n"));
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    lastEventId_ = std::string(value);
}

} // namespace mimosatally::internal
