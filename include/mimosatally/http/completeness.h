#pragma once

#include "bodyend.h"

#include <string_view>

namespace mimosatally
{

/// \brief What the content of a body says about its own end.
enum class ContentEnd {
    /// \brief The content has no end of its own, for instance the bytes of a service's answer.
    Opaque,
    /// \brief The content's own end was reached: a document that could be parsed, or the last event that the format promises.
    Reached,
    /// \brief The content breaks off within an event, a line or a document.
    Within,
    /// \brief An event stream ended between two events.
    BetweenEvents,
    /// \brief An event stream ended before its first event.
    BeforeFirstEvent,
};

/// \brief Whether an answer is whole.
enum class Completeness {
    Whole,
    /// \brief Something is missing.
    CutOff,
    /// \brief Neither framing nor content shows whether something is missing. The end of the peer's process closes a connection just as the end of an
    /// answer does. The answer counts as whole if the process that sent it answers a request that was sent after the end. An accepted connection shows
    /// nothing, since the system accepts connections for a process until its listening socket is closed.
    Unproven,
};

/// \brief Returns what framing, content and the way in which reading ended show about an answer.
///
/// This is the one rule for all readers of answers:
/// - A framed body is whole if its framing was reached and its content does not break off within an event.
/// - A body that ends with its connection is whole if the peer closed it in an orderly way and the content's own end was reached; without an end
///   of its own it is unproven.
/// - Every other answer is cut off: after a reset, a time-out, a close within a framed body, or before the first event of an unframed stream.
[[nodiscard]] Completeness completenessOf(BodyFraming framing, BodyEnd end, ContentEnd content);

/// \brief Name for log fields.
[[nodiscard]] std::string_view toString(ContentEnd content);

} // namespace mimosatally
