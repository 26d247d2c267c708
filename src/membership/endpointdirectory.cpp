#include <mimosatally/Membership>

#include <algorithm>

namespace mimosatally
{

namespace
{
/// \brief Messages of incarnations from before the last few restarts are no longer in transit.
constexpr std::size_t MAX_PREDECESSORS = 8;
} // namespace

std::string_view toString(EndpointAvailability availability)
{
    switch (availability) {
    case EndpointAvailability::Usable:
        return "usable";
    case EndpointAvailability::NotConfigured:
        return "not-configured";
    case EndpointAvailability::WithdrawnByOperator:
        return "withdrawn-by-operator";
    case EndpointAvailability::NotConnected:
        return "not-connected";
    case EndpointAvailability::Leaving:
        return "leaving";
    case EndpointAvailability::Silent:
        return "silent";
    }
    return "unknown";
}

void EndpointDirectory::applyConfiguration(const ConfigurationState &state)
{
    configured_.clear();
    for (const Endpoint &endpoint : state.configuration.endpoints) {
        configured_[endpoint.id] = state.stateOf(endpoint.instance) == InstanceState::Active;
    }
    std::erase_if(observed_, [this](const auto &item) {
        return !configured_.contains(item.first);
    });
}

void EndpointDirectory::applyList(const std::vector<ListedEndpoint> &listed)
{
    listed_.clear();
    for (const ListedEndpoint &item : listed) {
        listed_[item.endpoint] = item.leaving ? ListState::Leaving : ListState::Live;
    }
}

void EndpointDirectory::observeAnswer(const EndpointId &endpoint, const IncarnationId &incarnation, bool leaving, Time now)
{
    if (!configured_.contains(endpoint)) {
        return;
    }
    Observation &observation = observed_[endpoint];
    if (isPredecessor(observation, incarnation)) {
        return;
    }
    if (observation.incarnation != incarnation) {
        replaceIncarnation(observation, incarnation);
    }
    observation.connected = true;
    observation.leaving = observation.leaving || leaving;
    observation.lastAnswer = now;
}

void EndpointDirectory::observeLeaving(const EndpointId &endpoint, const IncarnationId &incarnation)
{
    if (!configured_.contains(endpoint)) {
        return;
    }
    Observation &observation = observed_[endpoint];
    if (isPredecessor(observation, incarnation)) {
        return;
    }
    if (observation.incarnation != incarnation) {
        replaceIncarnation(observation, incarnation);
        observation.connected = false;
    }
    observation.leaving = true;
}

void EndpointDirectory::observeConnectionLost(const EndpointId &endpoint, const IncarnationId &incarnation)
{
    const auto found = observed_.find(endpoint);
    if (found != observed_.end() && found->second.incarnation == incarnation) {
        found->second.connected = false;
    }
}

EndpointAvailability EndpointDirectory::availability(const EndpointId &endpoint, Time now) const
{
    const auto configured = configured_.find(endpoint);
    if (configured == configured_.end()) {
        return EndpointAvailability::NotConfigured;
    }
    if (!configured->second) {
        return EndpointAvailability::WithdrawnByOperator;
    }
    const auto observed = observed_.find(endpoint);
    if (observed == observed_.end() || !observed->second.connected) {
        return EndpointAvailability::NotConnected;
    }
    if (observed->second.leaving) {
        return EndpointAvailability::Leaving;
    }
    const Duration silence = now - observed->second.lastAnswer;
    if (silence <= MAX_OBSERVATION_AGE || (silence <= MAX_SILENCE && listState(endpoint) == ListState::Live)) {
        return EndpointAvailability::Usable;
    }
    return EndpointAvailability::Silent;
}

std::vector<EndpointId> EndpointDirectory::usable(Time now) const
{
    std::vector<EndpointId> result;
    for (const auto &[endpoint, active] : configured_) {
        if (availability(endpoint, now) == EndpointAvailability::Usable) {
            result.push_back(endpoint);
        }
    }
    return result;
}

std::optional<IncarnationId> EndpointDirectory::incarnation(const EndpointId &endpoint) const
{
    const auto found = observed_.find(endpoint);
    return found == observed_.end() ? std::nullopt : std::optional(found->second.incarnation);
}

std::optional<Time> EndpointDirectory::lastAnswer(const EndpointId &endpoint) const
{
    const auto found = observed_.find(endpoint);
    return found == observed_.end() ? std::nullopt : std::optional(found->second.lastAnswer);
}

bool EndpointDirectory::isPredecessor(const Observation &observation, const IncarnationId &incarnation)
{
    return std::ranges::find(observation.predecessors, incarnation) != observation.predecessors.end();
}

void EndpointDirectory::replaceIncarnation(Observation &observation, const IncarnationId &incarnation)
{
    if (!observation.incarnation.empty()) {
        observation.predecessors.push_back(observation.incarnation);
    }
    if (observation.predecessors.size() > MAX_PREDECESSORS) {
        observation.predecessors.erase(observation.predecessors.begin());
    }
    observation.incarnation = incarnation;
    observation.leaving = false;
}

EndpointDirectory::ListState EndpointDirectory::listState(const EndpointId &endpoint) const
{
    const auto found = listed_.find(endpoint);
    return found == listed_.end() ? ListState::NotListed : found->second;
}

} // namespace mimosatally
