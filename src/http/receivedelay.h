#pragma once

#include <mimosatally/Core>

#include <boost/asio/ip/tcp.hpp>

namespace mimosatally::internal
{

/// \brief Returns the time since the system received the last data on \a socket, whether they have been read or not. Zero if it is not known, and if it is so
/// short that it shows only the delay of an event loop that runs.
[[nodiscard]] Duration receiveDelay(boost::asio::ip::tcp::socket &socket);

} // namespace mimosatally::internal
