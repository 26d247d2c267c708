#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>
#include <string_view>

namespace mimosatally
{

/// \brief How a response states where its body ends (RFC 9112, section 6.3).
enum class BodyFraming {
    NoBody,
    Length,
    Chunked,
    /// \brief Neither a length nor chunks: the body ends with the connection.
    ConnectionEnd,
};

/// \brief How the reading of a body ended.
enum class BodyEnd {
    NotReached,
    /// \brief The length or the last chunk was reached.
    Framing,
    /// \brief The peer closed the connection in an orderly way.
    ConnectionClosed,
    ConnectionReset,
    /// \brief This process closed the connection: the caller left or a deadline passed.
    Stopped,
    /// \brief The peer sent more bytes than a limit of this process allows.
    OverLimit,
    /// \brief The bytes do not follow the protocol, or reading failed in another way.
    Failed,
};

/// \brief Returns how reading ended that failed with \a error.
[[nodiscard]] BodyEnd bodyEndAfter(const boost::system::error_code &error);

/// \brief Returns the framing of the response whose header \a parser has read.
template<class Body>
[[nodiscard]] BodyFraming bodyFraming(const boost::beast::http::response_parser<Body> &parser)
{
    if (parser.need_eof()) {
        return BodyFraming::ConnectionEnd;
    }
    if (parser.chunked()) {
        return BodyFraming::Chunked;
    }
    return parser.content_length().value_or(0) > 0 ? BodyFraming::Length : BodyFraming::NoBody;
}

/// \brief Names for log fields.
[[nodiscard]] std::string_view toString(BodyFraming framing);
[[nodiscard]] std::string_view toString(BodyEnd end);

} // namespace mimosatally
