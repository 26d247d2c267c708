#include <mimosatally/serving/configurationcheck.h>
#include <mimosatally/serving/keytable.h>

#include <map>
#include <set>

namespace mimosatally
{

namespace
{
/// \brief Attempts that a gateway makes for one call at the most.
constexpr int MAX_USED_ATTEMPTS = 4;

std::string placeOf(const char *list, std::size_t index)
{
    return std::string("/") + list + '/' + std::to_string(index);
}

/// \brief Collects the findings of one configuration.
class Check
{
public:
    explicit Check(const ServingConfiguration &configuration)
        : configuration_(configuration)
    {
    }

    std::vector<ConfigurationFinding> run()
    {
        checkRoutes();
        checkServices();
        checkOrganisations();
        checkLimits();
        return std::move(findings_);
    }

private:
    void error(std::string place, std::string message)
    {
        findings_.push_back({FindingSeverity::Error, std::move(place), std::move(message)});
    }

    void warn(std::string place, std::string message)
    {
        findings_.push_back({FindingSeverity::Warning, std::move(place), std::move(message)});
    }

    void checkRoutes()
    {
        std::map<std::pair<std::string, std::string>, std::size_t> matchers;
        std::map<RouteId, std::size_t> names;
        for (std::size_t i = 0; i < configuration_.routes.size(); ++i) {
            const Route &route = configuration_.routes[i];
            const std::string place = placeOf("routes", i);
            checkRoute(route, place);
            const auto [matcher, isNew] = matchers.try_emplace({route.host, route.pathPrefix}, i);
            if (!isNew) {
                // The route table keeps the last route of a host and prefix.
                warn(placeOf("routes", matcher->second), "can never match: " + place + " has the same host and prefix and replaces it");
                matcher->second = i;
            }
            if (!names.try_emplace(route.id, i).second) {
                warn(place, "has the name of " + placeOf("routes", names[route.id]) + ": " + route.id.value());
            }
        }
    }

    void checkRoute(const Route &route, const std::string &place)
    {
        if (route.pathPrefix.empty() || route.pathPrefix.front() != '/' || route.pathPrefix.back() != '/') {
            error(place, "can never match: the prefix does not begin and end with a slash: " + route.pathPrefix);
        }
        int weights = 0;
        for (const WeightedService &part : route.services) {
            used_.insert(part.service);
            if (!configuration_.services.contains(part.service)) {
                error(place, "names the service " + part.service.value() + ", which does not exist");
            }
            if (part.weight < 0) {
                error(place, "gives the service " + part.service.value() + " a negative weight");
            } else if (part.weight == 0) {
                warn(place, "never sends calls to " + part.service.value() + ": its weight is 0");
            }
            weights += std::max(part.weight, 0);
        }
        if (weights == 0) {
            error(place, "has no service with a weight above 0");
        }
        if (route.timeout <= Duration(0)) {
            warn(place, "has no timeout");
        } else if (route.latencyTarget > route.timeout) {
            warn(place,
                 "has a latency target of " + std::to_string(route.latencyTarget.count()) + " ms, beyond its timeout of "
                     + std::to_string(route.timeout.count()) + " ms");
        }
        if (route.maxAttempts > MAX_USED_ATTEMPTS) {
            warn(place, "allows " + std::to_string(route.maxAttempts) + " attempts, of which a gateway uses at most " + std::to_string(MAX_USED_ATTEMPTS));
        }
        if (route.maxAttempts > 1 && route.retryPolicy == RetryPolicy::AtMostOnce) {
            warn(place, "allows several attempts, but its calls must not run twice: only attempts that were not run are repeated");
        }
    }

    void checkServices()
    {
        for (const auto &[id, service] : configuration_.services) {
            const std::string place = "/services/" + id.value();
            if (!used_.contains(id)) {
                warn(place, "gets no calls: no route names it");
            }
            if (service.maxConnections < 1) {
                error(place, "accepts no connections");
            }
            if (service.scaling && service.scaling->minReplicas > service.scaling->maxReplicas) {
                error(place, "has a minimum of replicas above the maximum");
            }
            if (service.engine && service.engine->slots > service.maxConnections) {
                warn(place, "has more slots (" + std::to_string(service.engine->slots) + ") than connections (" + std::to_string(service.maxConnections) + ')');
            }
        }
    }

    void checkOrganisations()
    {
        if (!configuration_.organisations) {
            return;
        }
        if (configuration_.organisations->empty()) {
            warn("/tenants", "is empty: every call to a route that is not public is refused");
        }
        std::map<OrganisationId, std::size_t> names;
        std::map<KeyDigest, std::size_t> owners;
        for (std::size_t i = 0; i < configuration_.organisations->size(); ++i) {
            const Organisation &organisation = (*configuration_.organisations)[i];
            const std::string place = placeOf("tenants", i);
            if (!names.try_emplace(organisation.id, i).second) {
                error(place, "has the name of " + placeOf("tenants", names[organisation.id]) + ": " + organisation.id.value());
            }
            if (organisation.keys.empty()) {
                warn(place, "has no keys: no call can be its own");
            }
            for (const KeyDigest &key : organisation.keys) {
                const auto [owner, isNew] = owners.try_emplace(key, i);
                if (!isNew) {
                    error(place, "has a key of " + placeOf("tenants", owner->second) + " (digest " + digestPrefix(key) + "...), which belongs to the first");
                }
            }
        }
    }

    void checkLimits()
    {
        const CallerLimits &limits = configuration_.limits;
        if (limits.maxHeaderBytes == 0) {
            error("/limits", "allows no header bytes, so every request is refused");
        }
        if (limits.headerTimeout <= Duration(0) || limits.idleTimeout <= Duration(0)) {
            error("/limits", "has a timeout of 0");
        }
    }

    const ServingConfiguration &configuration_;
    std::set<ServiceId> used_;
    std::vector<ConfigurationFinding> findings_;
};
} // namespace

std::vector<ConfigurationFinding> checkServingConfiguration(const ServingConfiguration &configuration)
{
    return Check(configuration).run();
}

} // namespace mimosatally
