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

    /// \brief Starts links to new endpoints and ends those of endpoints that are gone or have moved.
    void apply(const ConfigurationState &state);

    /// \return the link, or nullptr.
    [[nodiscard]] std::shared_ptr<AgentLink> find(const EndpointId &endpoint) const;

    /// \brief Makes each link exchange at once.
    void exchangeNow();
    void exchangeNow(const EndpointId &endpoint);

    /// \brief Tells the router whether the endpoint may get new work.
    void refreshAvailability(const EndpointId &endpoint);
    void refreshAvailability();

private:
    struct Member {
        std::shared_ptr<AgentLink> link;
        std::shared_ptr<TaskContext> task;
    };

    void start(const Endpoint &endpoint);
    void end(const Member &member);

    EntryState &entry_;
    std::map<EndpointId, Member> members_;
};

} // namespace mimosatally::internal
