#pragma once

#include <mimosatally/Core>
#include <mimosatally/Http>

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

namespace mimosatally
{

/// \brief One instance as shown by the platform's list, which lags behind the actual state.
struct ListedInstance {
    InstanceId instance;
    RegionId region;
    DataCentreId dataCentre;
    /// \brief `entry` or `agent`.
    std::string role;
    EndpointId endpoint;
    bool leaving = false;
    std::string address;
};

/// \brief Client of the platform's instance list, in the HTTP service discovery format of Prometheus.
class InstanceListClient
{
public:
    InstanceListClient(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint server);

    /// \throws UnreachableError, MalformedInputError
    boost::asio::awaitable<std::vector<ListedInstance>> fetch(Duration timeout);

private:
    HttpClient client_;
};

} // namespace mimosatally
