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

std::size_t OriginRules::PlaceHash::operator()(const RoutePlace &place) const
{
    constexpr std::size_t factor = 31;
    const std::hash<std::string_view> hash;
    return hash(place.host) * factor + hash(place.pathPrefix);
}

std::size_t OriginRules::PlaceHash::operator()(const std::pair<std::string, std::string> &place) const
{
    return operator()(RoutePlace {place.first, place.second});
}

bool OriginRules::PlaceEqual::operator()(const RoutePlace &left, const std::pair<std::string, std::string> &right) const
{
    return left.host == right.first && left.pathPrefix == right.second;
}

bool OriginRules::PlaceEqual::operator()(const std::pair<std::string, std::string> &left, const RoutePlace &right) const
{
    return operator()(right, left);
}

bool OriginRules::PlaceEqual::operator()(const std::pair<std::string, std::string> &left, const std::pair<std::string, std::string> &right) const
{
    return left == right;
}

void OriginRules::recordConfiguration(const ServingConfiguration &configuration, bool follows, Time now)
{
    if (!configurationsSince_ || !follows) {
        configurationsSince_ = now;
    }
    ++configurations_;
    presentRoutes_ = 0;
    for (const Route &route : configuration.routes) {
        if (isResumable(route)) {
            recordRoute(route, now);
        }
    }
    if (presentRoutes_ != routes_.size()) {
        removeOldRoutes(now);
    }
    std::erase_if(goneRoutes_, [&](const GoneRoute &route) {
        return now - route.goneAt > window();
    });
}

void OriginRules::recordRoute(const Route &route, Time now)
{
    auto known = routes_.find(RoutePlace {route.host, route.pathPrefix});
    if (known == routes_.end()) {
        known = routes_.try_emplace({route.host, route.pathPrefix}).first;
        known->second.since = now;
    }
    RouteHistory &history = known->second;
    presentRoutes_ += history.configuration == configurations_ ? 0 : 1;
    history.configuration = configurations_;
    if (history.last == route.services) {
        return;
    }
    history.last = route.services;
    WeightHistory<ServiceId>::Weights weights;
    for (const WeightedService &service : route.services) {
        weights[service.service] += service.weight;
    }
    history.services.record(weights, now, window());
}

void OriginRules::removeOldRoutes(Time now)
{
    std::erase_if(routes_, [&](const auto &item) {
        const bool isGone = item.second.configuration != configurations_;
        if (isGone) {
            goneRoutes_.push_back({item.first.first, item.first.second, now});
        }
        return isGone;
    });
}

void OriginRules::recordOnlyConfiguration()
{
    configurationsSince_ = Time::min();
    for (auto &[place, history] : routes_) {
        history.since = Time::min();
    }
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
    const auto found = routes_.find(RoutePlace {route.host, route.pathPrefix});
    if (!isOld(configurationsSince_) || found == routes_.end() || !isOld(found->second.since)) {
        return {};
    }
    // A request that goes to this route now may have gone to a longer one that is gone.
    const bool wasLonger = std::ranges::any_of(goneRoutes_, [&](const GoneRoute &gone) {
        return gone.host == route.host && gone.pathPrefix.size() > route.pathPrefix.size() && gone.pathPrefix.starts_with(route.pathPrefix)
               && now - gone.goneAt <= window();
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
