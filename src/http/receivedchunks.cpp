#include "receivedchunks.h"

#include <boost/beast/http/error.hpp>

namespace mimosatally::internal
{

std::size_t parseReceivedChunks(boost::beast::http::basic_parser<false> &parser, boost::beast::flat_buffer &buffer)
{
    if (buffer.size() == 0 || parser.is_done() || !parser.chunked()) {
        return 0;
    }
    boost::system::error_code ignored;
    parser.eager(true);
    const std::size_t parsed = parser.put(buffer.data(), ignored);
    parser.eager(false);
    buffer.consume(parsed);
    return parsed;
}

} // namespace mimosatally::internal
