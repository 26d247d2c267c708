#pragma once

#include <mimosatally/Config>

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace mimosatally
{

/// \brief Availability of an endpoint for new work, with the reason if it is not available.
enum class EndpointAvailability {
    Usable,
    /// \brief Not in the configuration.
    NotConfigured,
    /// \brief An operator drained or withdrew its instance.
    WithdrawnByOperator,
    /// \brief No agent incarnation is connected.
    NotConnected,
    /// \brief The connected incarnation has announced that it is leaving.
    Leaving,
    /// \brief The last answer of the connected agent is older than EndpointDirectory::MAX_OBSERVATION_AGE, or than MAX_SILENCE if the
    /// endpoint is listed as live.
    Silent,
};

/// \brief Returns the name that the status page shows, for example `not-connected`.
std::string_view toString(EndpointAvailability availability);

/// \brief Endpoint in one row of the platform's instance list.
struct ListedEndpoint {
    EndpointId endpoint;
    bool leaving = false;
};

/// \brief Determines endpoint availability from the configuration, the instance list and direct observation of agents.
///
/// Direct observation takes precedence. The instance list has no incarnations and lags behind, so it is consulted only for a
/// connected agent whose last answer is older than MAX_OBSERVATION_AGE, and it keeps such an endpoint usable only up to
/// MAX_SILENCE. It never makes a leaving or disconnected incarnation usable.
class EndpointDirectory
{
public:
    /// \brief Age up to which an answer alone makes an endpoint usable; three exchange intervals of one second.
    static constexpr Duration MAX_OBSERVATION_AGE = Duration(3000);
    /// \brief Age of the last answer above which an endpoint is not usable even if the list shows it as live.
    static constexpr Duration MAX_SILENCE = Duration(10000);

    void applyConfiguration(const ConfigurationState &state);

    /// \brief Replaces the instance list. An endpoint that is not in it counts as not live.
    void applyList(const std::vector<ListedEndpoint> &listed);

    /// \brief Records the answer of an agent. An answer of an incarnation that was replaced by a newer one is ignored.
    /// \param leaving final for the incarnation once true.
    void observeAnswer(const EndpointId &endpoint, const IncarnationId &incarnation, bool leaving, Time now);

    /// \brief Records that an agent refused work because it is leaving. Final for the incarnation, even if it was not observed before.
    void observeLeaving(const EndpointId &endpoint, const IncarnationId &incarnation);

    /// \brief Records that the connection to an incarnation ended. Ignored if a newer incarnation was observed.
    void observeConnectionLost(const EndpointId &endpoint, const IncarnationId &incarnation);

    [[nodiscard]] EndpointAvailability availability(const EndpointId &endpoint, Time now) const;

    /// \brief Returns the endpoints that may get new work.
    [[nodiscard]] std::vector<EndpointId> usable(Time now) const;

    /// \brief Returns the newest incarnation that was observed, connected or not.
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
        /// \brief Replaced incarnations, newest last; at most MAX_PREDECESSORS.
        std::vector<IncarnationId> predecessors;
        bool connected = false;
        bool leaving = false;
        Time lastAnswer;
    };

    static bool isPredecessor(const Observation &observation, const IncarnationId &incarnation);
    static void replaceIncarnation(Observation &observation, const IncarnationId &incarnation);
    [[nodiscard]] ListState listState(const EndpointId &endpoint) const;

    /// \brief Configured endpoints; true if the instance is active, false if an operator drained or withdrew it.
    std::map<EndpointId, bool> configured_;
    std::map<EndpointId, ListState> listed_;
    std::map<EndpointId, Observation> observed_;
};

} // namespace mimosatally
