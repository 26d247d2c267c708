#pragma once

#include <mimosatally/Core>

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <string>
#include <vector>

namespace mimosatally
{

/// \brief The platform's API, which one gateway at a time calls; an empty address means that there is none.
struct PlatformApiSettings {
    std::string address;
    /// \brief Usage of organisations is reported to the platform.
    bool reportsUsage = false;
    /// \brief The platform is told how many endpoints each service needs.
    bool scalesServices = false;
    /// \brief Calls per second that the platform accepts from all gateways together.
    double callsPerSecond = 50;
    /// \brief The platform and the engines reject calls with an outdated fencing token.
    bool fencesChecked = true;
    /// \brief Length of the window of one usage report.
    Duration usageWindow = Duration(5000);
    /// \brief Largest error of a reported count, relative to the true one.
    double usageTolerance = 0.05;
    /// \brief Time after the end of a window until which its report is due.
    Duration usageDue = Duration(10'000);
};

/// \brief Settings of a gateway process; docs/configuration.md describes the file.
struct GatewaySettings {
    /// \brief File that the settings were read from.
    std::string file;
    ProcessId process;
    DataCentreId dataCentre;
    std::map<DataCentreId, RegionId> regions;
    /// \brief Address for callers.
    std::string listen;
    /// \brief Address on which the load balancer asks whether the process takes new connections.
    std::string readiness;
    /// \brief Address for other gateways.
    std::string peerListen;
    /// \brief Address for datagrams between gateways, which all use the same port; empty for none.
    std::string notices;
    /// \brief Address of the metrics page; empty for none.
    std::string metrics;
    /// \brief Address of the store that holds configuration and endpoints.
    std::string store;
    /// \brief Addresses of other gateways; some may be unreachable or outdated.
    std::vector<std::string> peers;
    /// \brief Time from SIGTERM to the end of the process.
    Duration graceTime = Duration(8000);
    /// \brief Duration of the lease under which one gateway orders engines to change phase.
    Duration orderLease = Duration(3000);
    /// \brief Approximate time between the heartbeats of an endpoint.
    Duration heartbeatInterval = Duration(1200);
    /// \brief Maximum fraction of the requests to a service that are retried, over all gateways.
    double retryRatio = 0.2;
    /// \brief Number of retries in a window that are allowed beyond the ratio, over all gateways.
    std::int64_t retrySlack = 50;
    /// \brief Window over which retries are compared with requests.
    Duration retryWindow = Duration(10'000);
    /// \brief Fraction of a service's engines that are assigned to prefill; fewer if the others would have too few slots for decode.
    double prefillShare = 0.625;
    std::size_t maxConnections = 3000;
    PlatformApiSettings platformApi;
    /// \brief Calls in progress end when a configuration comes into force without their key.
    bool strictRevoke = false;
    /// \brief Maximum fraction of the requests to a service that get an extra attempt because the first one is slow; 0 means none.
    double extraAttemptLimit = 0;
    /// \brief Calls are ordered and refused by ContentionControl also if the configuration has no organisations.
    bool contentionControl = false;
    /// \brief Memory that the process may occupy, in bytes; what answers and requests may hold together is a part of it.
    std::size_t memoryLimit = std::size_t(256) * 1024 * 1024;
    LogLevel logLevel = LogLevel::Info;
};

/// \brief Returns true if a file has the keys `process` and `store`, which mark gateway settings. Nothing else in it is checked.
bool isGatewaySettings(const std::string &toml, const std::string &fileName);

/// \brief Parses gateway settings; unknown keys are ignored, since platforms add some.
/// \throws FindingsError with all findings and their line numbers.
GatewaySettings parseGatewaySettings(const std::string &toml, const std::string &fileName);

} // namespace mimosatally
