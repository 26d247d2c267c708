#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <kj/async-io.h>

namespace mimosatally
{

/// \brief Wraps a connected TCP socket as a stream for Cap'n Proto; switches Nagle's algorithm off.
///
/// Without TCP_NODELAY each call waits about 40 ms for a delayed acknowledgement.
kj::Own<kj::AsyncIoStream> newAsioStream(boost::asio::ip::tcp::socket socket);

} // namespace mimosatally
