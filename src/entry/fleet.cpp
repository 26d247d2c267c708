#include "fleet.h"

#include "entrystate.h"

namespace mimosatally::internal
{

namespace
{
boost::asio::awaitable<void> runLink(std::shared_ptr<AgentLink> link, TaskContext &context)
{
    co_await link->run(context);
}
} // namespace

Fleet::Fleet(EntryState &entry)
    : entry_(entry)
{
}

void Fleet::apply(const ConfigurationState &state)
{
    for (auto member = members_.begin(); member != members_.end();) {
        const Endpoint *endpoint = state.findEndpoint(member->first);
        if (endpoint == nullptr || endpoint->agentAddress != member->second.link->endpoint().agentAddress) {
            stop(member->second);
            member = members_.erase(member);
        } else {
            ++member;
        }
    }
    for (const Endpoint &endpoint : state.configuration.endpoints) {
        const auto found = members_.find(endpoint.id);
        if (found == members_.end()) {
            start(endpoint);
        } else {
            found->second.link->setEndpoint(endpoint);
        }
    }
}

void Fleet::start(const Endpoint &endpoint)
{
    Member &member = members_[endpoint.id];
    member.link = std::make_shared<AgentLink>(entry_, endpoint);
    member.task = entry_.supervisor.start(
        "agent " + endpoint.id.value(),
        [link = member.link](TaskContext &context) {
            return runLink(link, context);
        },
        [link = member.link] {
            link->disconnect();
        });
}

void Fleet::stop(const Member &member)
{
    member.task->stop();
    member.link->disconnect();
}

std::shared_ptr<AgentLink> Fleet::find(const EndpointId &endpoint) const
{
    const auto found = members_.find(endpoint);
    return found == members_.end() ? nullptr : found->second.link;
}

void Fleet::exchangeNow()
{
    for (const auto &[id, member] : members_) {
        member.task->wake();
    }
}

void Fleet::exchangeNow(const EndpointId &endpoint)
{
    const auto found = members_.find(endpoint);
    if (found != members_.end()) {
        found->second.task->wake();
    }
}

void Fleet::refreshAvailability(const EndpointId &endpoint)
{
    const bool usable = entry_.endpointDirectory.availability(endpoint, MilliClock::now()) == EndpointAvailability::Usable;
    entry_.router.setLeaving(endpoint, !usable);
}

void Fleet::refreshAvailability()
{
    const Time now = MilliClock::now();
    for (const auto &[id, member] : members_) {
        refreshAvailability(id);
        if (entry_.endpointDirectory.availability(id, now) == EndpointAvailability::Silent) {
            member.link->reportUnresponsive();
        }
    }
}

} // namespace mimosatally::internal
