#pragma once

#include "serverconnection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/parser.hpp>

namespace mimosatally::internal
{

using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

/// \brief Reads a request whose first bytes are in the buffer of \a connection. A caller that asks for it gets an interim answer before its body is read.
/// \param time within which the request has to be received.
/// \return `timeout` if it was not, and `no_buffer_space` if the connection has to free its bytes.
boost::asio::awaitable<boost::system::error_code> readRequest(ServerConnection &connection, RequestParser &parser, Duration time);

} // namespace mimosatally::internal
