#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>

namespace mimosatally::internal
{

/// \brief Parses the chunks that were received together with the one that was just read, as far as the body of \a parser has room for them.
///
/// Otherwise each chunk of some bytes costs a read of its own. It does not wait for bytes that have not arrived: a read in Beast's eager mode does, and would
/// delay what is already parsed. An error is left to the next read, which meets it again.
/// \return the number of bytes parsed, framing included.
std::size_t parseReceivedChunks(boost::beast::http::basic_parser<false> &parser, boost::beast::flat_buffer &buffer);

} // namespace mimosatally::internal
