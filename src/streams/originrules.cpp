#include <mimosatally/Streams>

#include <algorithm>

namespace mimosatally
{

namespace
{
std::map<SoftwareVersion, double> slotsOfService(const RegisteredSlots &slots, const ServiceId &service)
{
    const auto found = slots.find(service);
    return found == slots.end() ? std::map<SoftwareVersion, double>() : found->second;
}
} // namespace

bool isResumable(const Route &route)
{
    return route.form == AnswerForm::Events && route.retryPolicy == RetryPolicy::Idempotent;
}

void OriginRules::setLifetime(Duration lifetime)
{
    lifetime_ = lifetime;
}

Duration OriginRules::window() const
{
    return lifetime_ + VIEW_LIFETIME;
}

void OriginRules::setHeartbeatInterval(Duration interval)
{
    heartbeatInterval_ = interval;
}

Duration OriginRules::neededHistory() const
{
    return window() + heartbeatInterval_ * RegistrationReplay::INTERVALS_UNTIL_WHOLE;
}

void OriginRules::recordEndpoints(const std::map<EndpointId, EndpointRecord> &endpoints, Time now)
{
    const RegisteredSlots slots = slotsOf(endpoints);
    for (const auto &[service, versions] : slots) {
        versions_.try_emplace(service);
    }
    for (auto &[service, history] : versions_) {
        history.record(slotsOfService(slots, service), now, window());
    }
    std::erase_if(versions_, [](const auto &item) {
        return item.second.isEmpty();
    });
}

void OriginRules::recordEarlierSlots(const RegisteredSlots &slots, Time now)
{
    for (const auto &[service, versions] : slots) {
        versions_.try_emplace(service);
    }
    for (auto &[service, history] : versions_) {
        history.recordEarlier(slotsOfService(slots, service), now);
    }
}

void OriginRules::recordConfiguration(const ServingConfiguration &configuration, bool follows, Time now)
{
    if (!configurationsSince_ || !follows) {
        configurationsSince_ = now;
    }
    std::map<RoutePlace, const Route *> present;
    for (const Route &route : configuration.routes) {
        if (isResumable(route)) {
            present[{route.host, route.pathPrefix}] = &route;
        }
    }
    for (const auto &[place, route] : present) {
        RouteHistory &history = routes_[place];
        WeightHistory<ServiceId>::Weights weights;
        for (const WeightedService &service : route->services) {
            weights[service.service] += service.weight;
        }
        history.services.record(weights, now, window());
        history.since = history.since ? history.since : std::optional(now);
    }
    for (auto &[place, history] : routes_) {
        if (history.since && !present.contains(place)) {
            history.since.reset();
            history.goneAt = now;
        }
    }
    forgetRoutes(now);
}

void OriginRules::recordOnlyConfiguration()
{
    configurationsSince_ = Time::min();
    for (auto &[place, history] : routes_) {
        history.since = Time::min();
    }
}

void OriginRules::forgetRoutes(Time now)
{
    std::erase_if(routes_, [&](const auto &item) {
        return !item.second.since && now - item.second.goneAt > window();
    });
}

ServiceId OriginRules::chooseService(const RequestId &root, const Route &route) const
{
    std::map<ServiceId, double> weights;
    for (const WeightedService &service : route.services) {
        weights[service.service] += service.weight;
    }
    return chooseByRendezvous(root.value(), weights).value_or(route.services.back().service);
}

std::optional<SoftwareVersion> OriginRules::chooseVersion(const RequestId &root, const ServiceId &service) const
{
    const auto found = versions_.find(service);
    if (found == versions_.end()) {
        return std::nullopt;
    }
    const std::optional<SoftwareVersion> chosen = chooseByRendezvous(root.value(), found->second.current());
    return chosen && !chosen->empty() ? chosen : std::nullopt;
}

bool OriginRules::isMixed(const ServiceId &service) const
{
    const auto found = versions_.find(service);
    return found != versions_.end() && found->second.current().size() > 1;
}

std::map<ServiceId, WeightRange> OriginRules::possibleServices(const Route &route, Time now) const
{
    const auto isOld = [this, now](const std::optional<Time> &since) {
        return since && (*since == Time::min() || now - *since >= window());
    };
    const RoutePlace place {route.host, route.pathPrefix};
    const auto found = routes_.find(place);
    if (!isOld(configurationsSince_) || found == routes_.end() || !isOld(found->second.since)) {
        return {};
    }
    // A request that goes to this route now may have gone to a longer one that is gone.
    const bool wasLonger = std::ranges::any_of(routes_, [&](const auto &item) {
        return item.first.host == place.host && item.first.pathPrefix.size() > place.pathPrefix.size() && item.first.pathPrefix.starts_with(place.pathPrefix)
               && !item.second.since && now - item.second.goneAt <= window();
    });
    return wasLonger ? std::map<ServiceId, WeightRange>() : found->second.services.ranges(now, window());
}

std::optional<OriginChoice> OriginRules::conclude(const RequestId &root, const Route &route, Time now) const
{
    const std::optional<ServiceId> service = certainChoice(root.value(), possibleServices(route, now));
    if (!service || root.empty()) {
        return std::nullopt;
    }
    const auto history = versions_.find(*service);
    if (history == versions_.end()) {
        return std::nullopt;
    }
    const std::optional<SoftwareVersion> version = certainChoice(root.value(), history->second.ranges(now, window()));
    return version && !version->empty() ? std::optional(OriginChoice {*service, *version}) : std::nullopt;
}

} // namespace mimosatally
