#pragma once

#include "completeness.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace mimosatally
{

/// \brief Splits a stream of server-sent events at event boundaries, so that no partial event is passed on.
///
/// Lines end with CR, LF or CRLF; an empty line ends an event.
class EventFramer
{
public:
    void append(std::string_view data);

    /// \brief Removes and returns all complete events that have arrived; empty if there are none.
    std::string takeCompleteEvents();

    /// \brief Removes and returns what follows the last event of a stream that ended as complete: comments at most.
    std::string takeRemainder();

    /// \brief Drops the partial event at the end of a stream that was cut off. What is appended next continues that stream after its last complete event.
    void resumeAfterCut();

    /// \brief Makes what is appended next continue a stream of which the caller has the events up to \a lastEventId.
    void continueAfter(std::string lastEventId);

    /// \brief Returns what the events say about the end of the stream.
    [[nodiscard]] ContentEnd contentEnd() const;

    /// \brief Returns whether a continued stream began with an event that the stream had before, or that has no id, so it starts again or belongs to another
    /// run. Its events are not returned.
    [[nodiscard]] bool repeatsEvents() const;

    /// \brief Returns the number of events that were taken; events of comments only do not count.
    [[nodiscard]] std::size_t takenEvents() const;

    /// \brief Returns the number of bytes after the last complete event.
    [[nodiscard]] std::size_t partialBytes() const;

    /// \brief Returns the number of bytes that are kept: those after the last complete event, and the ids.
    [[nodiscard]] std::size_t heldBytes() const;

    /// \brief Returns whether an endpoint can be told where to go on: the last event that was taken has an id, and no event before it had the same.
    [[nodiscard]] bool isResumable() const;

    /// \brief Returns the id of the last event that was taken; empty if the events have none.
    [[nodiscard]] const std::string &lastEventId() const;

    /// \brief Returns the first id that was taken since the stream began or was last continued; empty if there was none.
    [[nodiscard]] const std::string &firstEventId() const;

private:
    /// \brief State of the event that is being read.
    struct OpenEvent {
        bool hasFields = false;
        /// \brief The event is the end mark of the OpenAI format, `data: [DONE]`.
        bool isEndMark = false;
        bool hasId = false;
        std::string id;
    };

    void readLine(std::string_view line);
    void finishEvent();

    std::string pending_;
    /// \brief Position in pending_ at which the current line starts.
    std::size_t lineStart_ = 0;
    /// \brief Number of leading bytes of pending_ that were already searched for line ends.
    std::size_t scanned_ = 0;
    /// \brief The last line ended with CR, so an LF that follows belongs to the same line end.
    bool afterCarriageReturn_ = false;
    OpenEvent event_;
    std::size_t takenEvents_ = 0;
    bool endMarkTaken_ = false;
    /// \brief The next id is the first one since the stream was continued.
    bool firstIdAfterCut_ = false;
    bool repeatsEvents_ = false;
    bool lastHasId_ = false;
    /// \brief An id did not increase, so that one id names several events.
    bool ambiguousIds_ = false;
    std::string firstEventId_;
    std::string lastEventId_;
};

} // namespace mimosatally
