#include <mimosatally/Http>

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

namespace mimosatally
{

namespace http = boost::beast::http;

BodyEnd bodyEndAfter(const boost::system::error_code &error)
{
    // Beast reports a close within a framed body as partial_message.
    if (error == http::error::partial_message || error == http::error::end_of_stream || error == boost::asio::error::eof) {
        return BodyEnd::ConnectionClosed;
    }
    if (error == boost::asio::error::connection_reset || error == boost::asio::error::broken_pipe) {
        return BodyEnd::ConnectionReset;
    }
    if (error == boost::asio::error::operation_aborted || error == boost::asio::error::bad_descriptor) {
        return BodyEnd::Stopped;
    }
    if (error == http::error::buffer_overflow || error == http::error::header_limit || error == http::error::body_limit) {
        return BodyEnd::OverLimit;
    }
    return BodyEnd::Failed;
}

std::string_view toString(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::NoBody:
        return "none";
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunked:
        return "chunked";
    case BodyFraming::ConnectionEnd:
        return "connection-end";
    }
    return "none";
}

std::string_view toString(BodyEnd end)
{
    switch (end) {
    case BodyEnd::NotReached:
        return "not-reached";
    case BodyEnd::Framing:
        return "framing";
    case BodyEnd::ConnectionClosed:
        return "closed";
    case BodyEnd::ConnectionReset:
        return "reset";
    case BodyEnd::Stopped:
        return "stopped";
    case BodyEnd::OverLimit:
        return "over-limit";
    case BodyEnd::Failed:
        return "failed";
    }
    return "failed";
}

} // namespace mimosatally
