#pragma once

#include <mimosatally/Core>
#include <mimosatally/Http>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <docopt.h>
#include <exception>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace mimosatally::standin
{

using Arguments = std::map<std::string, docopt::value>;

/// \brief Suspends the calling coroutine for \a duration; returns at once if that is 0.
inline boost::asio::awaitable<void> sleepFor(boost::asio::io_context &io, Duration duration)
{
    if (duration > Duration(0)) {
        boost::asio::steady_timer timer(io, duration);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

/// \brief Path of a request target without its query.
inline std::string pathOf(const HttpRequest &request)
{
    const std::string target(request.target());
    return target.substr(0, target.find('?'));
}

/// \brief Value of a query parameter of a request target, or an empty string. Values are not percent-decoded.
inline std::string queryParameter(const HttpRequest &request, const std::string &name)
{
    const std::string target(request.target());
    std::size_t position = target.find('?');
    while (position != std::string::npos) {
        const std::size_t end = target.find('&', position + 1);
        const std::string pair = target.substr(position + 1, end == std::string::npos ? end : end - position - 1);
        if (pair.starts_with(name + '=')) {
            return pair.substr(name.size() + 1);
        }
        position = end;
    }
    return {};
}

/// \brief Serves on 127.0.0.1 until SIGTERM; prints `listening on IP:PORT` when ready.
inline int serve(boost::asio::io_context &io, long port, HttpServer::Handler handler)
{
    const boost::asio::ip::tcp::endpoint address(boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(port));
    HttpLimits limits;
    limits.maxBodyBytes = std::size_t(64) * 1024 * 1024;
    HttpServer server(io, address, limits, std::move(handler));
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](const boost::system::error_code &, int) {
        io.stop();
    });
    std::cout << "listening on " << toString(server.address()) << std::endl;
    io.run();
    return 0;
}

/// \brief Parses the arguments and runs \a body; an exception ends the program with exit code 1.
template<class Body>
int runProgram(const char *usage, int argc, char **argv, Body body)
{
    const Arguments arguments = docopt::docopt(usage, std::vector<std::string>(argv + 1, argv + argc), true);
    try {
        return body(arguments);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}

} // namespace mimosatally::standin
