#pragma once

#include "agentlink.h"

#include <map>
#include <memory>

namespace mimosatally::internal
{

/// \brief Links to the agents of all configured endpoints.
class Fleet
{
public:
    explicit Fleet(EntryState &entry);

    /// \brief Starts links to new endpoints and stops links to endpoints that were removed or have a new agent address.
    void apply(const ConfigurationState &state);

    /// \return the link, or nullptr if the endpoint is not configured.
    [[nodiscard]] std::shared_ptr<AgentLink> find(const EndpointId &endpoint) const;

    /// \brief Makes every link exchange heartbeats immediately.
    void exchangeNow();
    void exchangeNow(const EndpointId &endpoint);

    /// \brief Marks the endpoint in the router as available or unavailable for new work.
    void refreshAvailability(const EndpointId &endpoint);
    void refreshAvailability();

private:
    struct Member {
        std::shared_ptr<AgentLink> link;
        std::shared_ptr<TaskContext> task;
    };

    void start(const Endpoint &endpoint);
    void stop(const Member &member);

    EntryState &entry_;
    std::map<EndpointId, Member> members_;
};

} // namespace mimosatally::internal
