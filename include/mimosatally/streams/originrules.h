#pragma once

#include <mimosatally/Serving>
#include <mimosatally/streams/registeredslots.h>
#include <mimosatally/streams/weighthistory.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mimosatally
{

/// \brief Service and software version that begin a stream.
struct OriginChoice {
    ServiceId service;
    SoftwareVersion version;

    bool operator==(const OriginChoice &) const = default;
};

/// \brief Decides by which service and software version a stream of a resumable route begins, and concludes later which ones began it.
///
/// Performs no I/O. The choice is a function of the id of the request that begins the stream, of the split of its route and of the registered slots of each
/// version, so a process that knows nothing of a stream computes it again. What it knows of these may be older or newer than what the process knew that began
/// the stream: a conclusion holds only if all states of the last lifetime of an origin, and of the time by which a view may be old, agree.
class OriginRules
{
public:
    /// \brief Oldest view of the registered endpoints by which a stream is begun. Processes that conclude count states as possible for that much longer.
    static constexpr Duration VIEW_LIFETIME = Duration(30'000);

    /// \brief Sets how long before now a stream that is taken up can have begun.
    void setLifetime(Duration lifetime);

    /// \brief Sets the time between the heartbeats of an endpoint.
    void setHeartbeatInterval(Duration interval);

    /// \brief Returns for how long states count as possible.
    [[nodiscard]] Duration window() const;

    /// \brief Returns the time of which the endpoints' records have to be known: the window, and the time until records that begin in the middle show all
    /// endpoints.
    [[nodiscard]] Duration neededHistory() const;

    /// \brief Records the registered endpoints from \a now on.
    void recordEndpoints(const std::map<EndpointId, EndpointRecord> &endpoints, Time now);

    /// \brief Records the slots of endpoints that were registered at some time before \a now.
    void recordEarlierSlots(const RegisteredSlots &slots, Time now);

    /// \brief Records the configuration in force from \a now on. \param follows no version between this one and the last recorded one was missed.
    void recordConfiguration(const ServingConfiguration &configuration, bool follows, Time now);

    /// \brief Records that the configuration in force is the only one that there ever was.
    void recordOnlyConfiguration();

    /// \brief Returns the service at which a stream of \a route begins.
    [[nodiscard]] ServiceId chooseService(const RequestId &root, const Route &route) const;

    /// \brief Returns the version with which a stream of \a service begins; empty if there is none, or if the endpoint states none.
    [[nodiscard]] std::optional<SoftwareVersion> chooseVersion(const RequestId &root, const ServiceId &service) const;

    /// \brief Returns whether several versions of \a service are registered.
    [[nodiscard]] bool isMixed(const ServiceId &service) const;

    /// \brief Returns the service and version that began a stream; empty if the possible states disagree. The caller ensures that all states of the endpoints
    /// of the last window() are recorded.
    [[nodiscard]] std::optional<OriginChoice> conclude(const RequestId &root, const Route &route, Time now) const;

private:
    /// \brief Place of a route; a request goes to the one with the longest prefix of its path.
    struct RoutePlace {
        std::string_view host;
        std::string_view pathPrefix;

        bool operator==(const RoutePlace &) const = default;
    };

    struct PlaceHash {
        using is_transparent = void;
        std::size_t operator()(const RoutePlace &place) const;
        std::size_t operator()(const std::pair<std::string, std::string> &place) const;
    };

    struct PlaceEqual {
        using is_transparent = void;
        bool operator()(const RoutePlace &left, const std::pair<std::string, std::string> &right) const;
        bool operator()(const std::pair<std::string, std::string> &left, const RoutePlace &right) const;
        bool operator()(const std::pair<std::string, std::string> &left, const std::pair<std::string, std::string> &right) const;
    };

    /// \brief Route that is in force.
    struct RouteHistory {
        WeightHistory<ServiceId> services;
        /// \brief Services at the last record.
        std::vector<WeightedService> last;
        Time since;
        /// \brief Number of the last configuration that has the route.
        std::uint64_t configuration = 0;
    };

    /// \brief Route that was in force within the window.
    struct GoneRoute {
        std::string host;
        std::string pathPrefix;
        Time goneAt;
    };

    /// \brief Returns the services that may have begun a stream of \a route, with their weights; empty if that is not known.
    [[nodiscard]] std::map<ServiceId, WeightRange> possibleServices(const Route &route, Time now) const;
    void recordRoute(const Route &route, Time now);
    void removeOldRoutes(Time now);

    std::map<ServiceId, WeightHistory<SoftwareVersion>> versions_;
    /// \brief A configuration can have thousands of routes, which are looked up in one turn of the event loop when it is put in force.
    std::unordered_map<std::pair<std::string, std::string>, RouteHistory, PlaceHash, PlaceEqual> routes_;
    std::vector<GoneRoute> goneRoutes_;
    std::uint64_t configurations_ = 0;
    /// \brief Routes of the last configuration that are in routes_.
    std::size_t presentRoutes_ = 0;
    /// \brief All configurations from this time on are recorded; empty before the first one.
    std::optional<Time> configurationsSince_;
    Duration lifetime_ = Duration(0);
    Duration heartbeatInterval_ = Duration(0);
};

/// \brief Returns whether streams of \a route can be taken up, so that their origin has to be known later.
[[nodiscard]] bool isResumable(const Route &route);

} // namespace mimosatally
