#include <mimosatally/Http>

#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

namespace mimosatally
{

namespace
{
constexpr std::string_view ID_FIELD = "id:";
constexpr std::string_view DATA_FIELD = "data:";
constexpr std::string_view END_MARK = "[DONE]";

/// \brief Returns the value of a field without the space that may precede it.
std::string_view fieldValue(std::string_view line, std::string_view field)
{
    std::string_view value = line.substr(field.size());
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    return value;
}

std::optional<std::uint64_t> parseId(std::string_view id)
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(id.data(), id.data() + id.size(), value);
    return parsed.ec == std::errc() && parsed.ptr == id.data() + id.size() ? std::optional(value) : std::nullopt;
}

/// \brief Returns whether an event with id \a next cannot follow one with id \a last. Ids of a stream increase; ids that are no numbers are only compared.
bool repeats(std::string_view last, std::string_view next)
{
    const std::optional<std::uint64_t> lastNumber = parseId(last);
    const std::optional<std::uint64_t> nextNumber = parseId(next);
    return lastNumber && nextNumber ? *nextNumber <= *lastNumber : last == next;
}
} // namespace

void EventFramer::append(std::string_view data)
{
    pending_.append(data);
}

std::string EventFramer::takeCompleteEvents()
{
    std::size_t boundary = 0;
    for (std::size_t end = pending_.find_first_of("\r\n", scanned_); end != std::string::npos; end = pending_.find_first_of("\r\n", scanned_)) {
        const bool secondHalf = afterCarriageReturn_ && end == lineStart_ && pending_[end] == '\n';
        const bool endsEvent = end == lineStart_ && (!secondHalf || boundary == end);
        if (!secondHalf) {
            readLine(std::string_view(pending_).substr(lineStart_, end - lineStart_));
        }
        afterCarriageReturn_ = pending_[end] == '\r';
        lineStart_ = end + 1;
        scanned_ = lineStart_;
        if (endsEvent && !repeatsEvents_) {
            boundary = lineStart_;
        }
    }
    scanned_ = pending_.size();
    std::string events = pending_.substr(0, boundary);
    pending_.erase(0, boundary);
    lineStart_ -= boundary;
    scanned_ -= boundary;
    return events;
}

void EventFramer::readLine(std::string_view line)
{
    if (line.empty()) {
        finishEvent();
        return;
    }
    if (line.starts_with(':')) {
        return;
    }
    event_.hasFields = true;
    if (line.starts_with(ID_FIELD)) {
        event_.hasId = true;
        event_.id = std::string(fieldValue(line, ID_FIELD));
    } else if (line.starts_with(DATA_FIELD)) {
        event_.isEndMark = fieldValue(line, DATA_FIELD) == END_MARK;
    }
}

void EventFramer::finishEvent()
{
    const OpenEvent event = std::exchange(event_, OpenEvent());
    if (event.hasFields && firstIdAfterCut_) {
        firstIdAfterCut_ = false;
        repeatsEvents_ = !lastEventId_.empty() && !event.isEndMark && (!event.hasId || repeats(lastEventId_, event.id));
    }
    if (repeatsEvents_ || !event.hasFields) {
        return;
    }
    lastHasId_ = event.hasId && !event.id.empty();
    ambiguousIds_ = ambiguousIds_ || (lastHasId_ && !lastEventId_.empty() && repeats(lastEventId_, event.id));
    if (event.hasId) {
        firstEventId_ = firstEventId_.empty() ? event.id : firstEventId_;
        lastEventId_ = event.id;
    }
    ++takenEvents_;
    endMarkTaken_ = event.isEndMark;
}

std::string EventFramer::takeRemainder()
{
    lineStart_ = 0;
    scanned_ = 0;
    return std::exchange(pending_, {});
}

void EventFramer::resumeAfterCut()
{
    takeRemainder();
    event_ = OpenEvent();
    afterCarriageReturn_ = false;
    repeatsEvents_ = false;
    firstIdAfterCut_ = true;
    firstEventId_.clear();
}

void EventFramer::continueAfter(std::string lastEventId)
{
    lastEventId_ = std::move(lastEventId);
    firstIdAfterCut_ = true;
}

ContentEnd EventFramer::contentEnd() const
{
    if (event_.hasFields || lineStart_ < pending_.size()) {
        return ContentEnd::Within;
    }
    if (takenEvents_ == 0) {
        return ContentEnd::BeforeFirstEvent;
    }
    return endMarkTaken_ ? ContentEnd::Reached : ContentEnd::BetweenEvents;
}

bool EventFramer::repeatsEvents() const
{
    return repeatsEvents_;
}

std::size_t EventFramer::takenEvents() const
{
    return takenEvents_;
}

std::size_t EventFramer::partialBytes() const
{
    return pending_.size();
}

std::size_t EventFramer::heldBytes() const
{
    return pending_.size() + event_.id.size() + firstEventId_.size() + lastEventId_.size();
}

bool EventFramer::isResumable() const
{
    return lastHasId_ && !ambiguousIds_;
}

const std::string &EventFramer::lastEventId() const
{
    return lastEventId_;
}

const std::string &EventFramer::firstEventId() const
{
    return firstEventId_;
}

} // namespace mimosatally
