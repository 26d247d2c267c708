#pragma once

#include "standinoptions.h"

#include <mimosatally/Core>
#include <mimosatally/Http>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>

namespace mimosatally::standin
{

/// \brief Serves until SIGTERM or SIGINT; prints `listening on IP:PORT` once the port is open.
inline int serveUntilSignal(boost::asio::io_context &io, const StandinOptions &options, HttpServer::Handler handler)
{
    HttpLimits limits;
    limits.maxBodyBytes = 64 * 1024 * 1024;
    HttpServer server(io, parseAddress(options.text("listen", "127.0.0.1:0")), limits, std::move(handler));
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](const boost::system::error_code &, int) {
        io.stop();
    });
    std::cout << "listening on " << toString(server.address()) << std::endl;
    io.run();
    return 0;
}

inline HttpResponse jsonResponse(unsigned status, const nlohmann::json &body)
{
    return makeHttpResponse(status, "application/json", body.dump());
}

/// \brief Value of one query parameter of a target such as `/path?after=3`, or the default.
inline long queryNumber(const std::string &target, const std::string &name, long defaultValue)
{
    const auto start = target.find(name + '=');
    return start == std::string::npos ? defaultValue : std::stol(target.substr(start + name.size() + 1));
}

/// \brief Path of a target without its query.
inline std::string pathOf(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

} // namespace mimosatally::standin
