#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>

namespace mimosatally
{

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// \brief Response with a body and its content type.
HttpResponse makeHttpResponse(unsigned status, std::string_view contentType, std::string body);

/// \brief Request with a body and its content type; an empty body sets no content type.
HttpRequest makeHttpRequest(boost::beast::http::verb method, std::string_view target, std::string_view contentType = {}, std::string body = {});

/// \brief Value of a header, or an empty string.
std::string headerValue(const boost::beast::http::fields &fields, std::string_view name);

/// \brief Parses `ip:port` or `[ipv6]:port`. \throws MalformedInputError
boost::asio::ip::tcp::endpoint parseAddress(std::string_view text);

/// \brief Formats as `ip:port`.
std::string toString(const boost::asio::ip::tcp::endpoint &address);

} // namespace mimosatally
