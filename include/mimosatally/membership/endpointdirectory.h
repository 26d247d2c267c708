#pragma once

#include <mimosatally/Config>

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace mimosatally
{

/// \brief Why an endpoint may or may not get new work.
enum class EndpointAvailability {
    Usable,
    /// \brief Not in the configuration.
    NotConfigured,
    /// \brief An operator drained or withdrew its instance.
    WithdrawnByOperator,
    /// \brief No agent incarnation is connected.
    NotConnected,
    /// \brief The connected incarnation has said that it is leaving.
    Leaving,
    /// \brief The connected agent was silent for too long, and nothing else shows it as live.
    Silent,
};

/// \brief Name in the status page, for example `not-connected`.
std::string_view toString(EndpointAvailability availability);

/// \brief One row of the platform's instance list, as far as it concerns endpoints.
struct ListedEndpoint {
    EndpointId endpoint;
    bool leaving = false;
};

/// \brief Combines the configuration, the lagging instance list and direct observation of agents.
///
/// Direct observation goes first. The list has no incarnations and is late, so it is asked only about a connected agent
/// whose last answer is older than FRESH_OBSERVATION, and it can only keep such an endpoint usable until
/// LONGEST_SILENCE. It never makes a leaving or an unconnected incarnation usable.
class EndpointDirectory
{
public:
    /// \brief Exchanges come every second; after three missed ones an observation is no longer fresh.
    static constexpr Duration FRESH_OBSERVATION = Duration(3000);
    /// \brief After so long a silence an endpoint is not used, whatever the list shows.
    static constexpr Duration LONGEST_SILENCE = Duration(10000);

    void applyConfiguration(const ConfigurationState &state);

    /// \brief Replaces what the list shows. An endpoint that it does not contain counts as not live.
    void applyList(const std::vector<ListedEndpoint> &listed);

    /// \brief An agent answered. An answer of an incarnation that was replaced by a newer one is ignored.
    /// \param leaving final for the incarnation once true.
    void observeAnswer(const EndpointId &endpoint, const IncarnationId &incarnation, bool leaving, Time now);

    /// \brief An agent refused work because it is leaving. Final for the incarnation, even if it is heard of for the first time.
    void observeLeaving(const EndpointId &endpoint, const IncarnationId &incarnation);

    /// \brief The connection to an incarnation ended; nothing happens if a newer incarnation is connected.
    void observeConnectionLost(const EndpointId &endpoint, const IncarnationId &incarnation);

    [[nodiscard]] EndpointAvailability availability(const EndpointId &endpoint, Time now) const;

    /// \brief Endpoints that may get new work.
    [[nodiscard]] std::vector<EndpointId> usable(Time now) const;

    /// \brief The newest incarnation that was observed, connected or not.
    [[nodiscard]] std::optional<IncarnationId> incarnation(const EndpointId &endpoint) const;

    [[nodiscard]] std::optional<Time> lastAnswer(const EndpointId &endpoint) const;

private:
    enum class ListState {
        NotListed,
        Live,
        Leaving,
    };

    struct Observation {
        IncarnationId incarnation;
        /// \brief Predecessors of the incarnation, newest last; bounded by MAX_PREDECESSORS.
        std::vector<IncarnationId> predecessors;
        bool connected = false;
        bool leaving = false;
        Time lastAnswer;
    };

    static bool isPredecessor(const Observation &observation, const IncarnationId &incarnation);
    static void replaceIncarnation(Observation &observation, const IncarnationId &incarnation);
    [[nodiscard]] ListState listState(const EndpointId &endpoint) const;

    /// \brief Configured endpoints, with whether an operator keeps them in use.
    std::map<EndpointId, bool> configured_;
    std::map<EndpointId, ListState> listed_;
    std::map<EndpointId, Observation> observed_;
};

} // namespace mimosatally
