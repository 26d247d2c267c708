#include <mimosatally/Core>
#include <mimosatally/Http>

#include <charconv>

namespace mimosatally
{

namespace http = boost::beast::http;

HttpResponse makeHttpResponse(unsigned status, std::string_view contentType, std::string body)
{
    HttpResponse response(static_cast<http::status>(status), 11);
    response.set(http::field::content_type, boost::beast::string_view(contentType.data(), contentType.size()));
    response.body() = std::move(body);
    return response;
}

HttpRequest makeHttpRequest(http::verb method, std::string_view target, std::string_view contentType, std::string body)
{
    HttpRequest request(method, boost::beast::string_view(target.data(), target.size()), 11);
    if (!contentType.empty()) {
        request.set(http::field::content_type, boost::beast::string_view(contentType.data(), contentType.size()));
    }
    request.body() = std::move(body);
    return request;
}

std::string headerValue(const http::fields &fields, std::string_view name)
{
    const auto found = fields.find(boost::beast::string_view(name.data(), name.size()));
    return found == fields.end() ? std::string() : std::string(found->value());
}

boost::asio::ip::tcp::endpoint parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    unsigned short port = 0;
    boost::system::error_code error;
    boost::asio::ip::address address;
    bool valid = colon != std::string_view::npos;
    if (valid) {
        const std::string_view portText = text.substr(colon + 1);
        const auto parsed = std::from_chars(portText.data(), portText.data() + portText.size(), port);
        std::string host(text.substr(0, colon));
        if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
            host = host.substr(1, host.size() - 2);
        }
        address = boost::asio::ip::make_address(host, error);
        valid = !error && parsed.ec == std::errc() && parsed.ptr == portText.data() + portText.size();
    }
    if (!valid) {
        throw MalformedInputError('"' + std::string(text) + "\" is not an address of the form IP:PORT");
    }
    return {address, port};
}

std::string toString(const boost::asio::ip::tcp::endpoint &address)
{
    const std::string host = address.address().to_string();
    const std::string port = std::to_string(address.port());
    return address.address().is_v6() ? '[' + host + "]:" + port : host + ':' + port;
}

} // namespace mimosatally
