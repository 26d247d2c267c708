#pragma once

#include <mimosatally/Config>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace mimosatally
{

/// \brief State of one engine as the planner needs it.
struct EngineStatus {
    EndpointId engine;
    EngineRole role = EngineRole::Mixed;
    /// \brief True if the engine takes new work: not leaving, withdrawn, failing or changing its role.
    bool available = true;
    /// \brief Nominal speeds in tokens per second.
    std::int64_t prefillTokensPerSecond = 0;
    std::int64_t decodeTokensPerSecond = 0;
    std::size_t runningRequests = 0;
};

/// \brief Requested work by phase; the prompt tokens are those that were not expected in any cache.
struct PhaseWork {
    Tokens uncachedPrompt;
    Tokens output;
};

/// \brief Demand of a scope.
struct DemandReport {
    /// \brief Work that arrived since the previous report.
    PhaseWork arrived;
    /// \brief Work that is waiting now.
    PhaseWork waiting;
    /// \brief Part of \a arrived from requests whose prefill takes longer than their decode.
    ///
    /// A request runs both phases on one engine, so the planner must know which work belongs together. Without this value the planner
    /// assumes that all requests are alike.
    std::optional<PhaseWork> prefillHeavy;

    /// \brief Adds one request to \a arrived and \a prefillHeavy.
    void addArrival(const PhaseWork &request, std::int64_t prefillTokensPerSecond, std::int64_t decodeTokensPerSecond);
};

/// \brief Speed of an engine in its role as a fraction of its nominal speed, in thousandths.
struct RoleSpeeds {
    int favoured = 1000;
    /// \brief Speed of both phases of a mixed engine, which interfere with each other in one batch.
    int mixed = 850;
    /// \brief Speed of the phase that the role does not favour.
    int other = 500;
};

/// \brief Figures that a role change is based on, in engine seconds per second unless stated otherwise.
struct RoleFigures {
    double prefillDemand = 0;
    double decodeDemand = 0;
    /// \brief Fraction of the demand that can be served in the present roles and after the change; 1 is all of it.
    double servedBefore = 0;
    double servedAfter = 0;
    /// \brief Additional work served over the horizon, in engine seconds.
    double gain = 0;
    /// \brief Engine seconds lost by the change, times RolePolicy::changePrice.
    double price = 0;
};

/// \brief Order to change the role of one engine.
struct RoleChange {
    EndpointId engine;
    EngineRole role = EngineRole::Mixed;
    /// \brief Machine-readable reason: `prefill-short` or `decode-short`, the phase that lacks capacity.
    std::string reason;
    RoleFigures figures;
};

/// \brief Plans the roles of the engines of one scope (model and region).
///
/// A change is planned only if the additional work served over the horizon exceeds the engine time that it costs times
/// RolePolicy::changePrice. Deterministic; nothing is planned on stale input.
class RolePlanner
{
public:
    class Builder;

    /// \brief Adds an engine or replaces its status.
    void reportEngine(const EngineStatus &status, Time now);

    /// \brief Removes a withdrawn or replaced engine, along with its pending change.
    void removeEngine(const EndpointId &engine);

    void reportDemand(const DemandReport &demand, Time now);

    /// \return at most one change, which is then pending until the engine reports the role, is removed, or the change times out.
    std::optional<RoleChange> plan(Time now);

    /// \brief Returns the smoothed demand, in engine seconds per second.
    [[nodiscard]] RoleFigures figures() const;

private:
    struct Engine {
        EngineStatus status;
        Time reportedAt;
        Time changedAt = Time::min();
    };

    struct Pending {
        EndpointId engine;
        EngineRole role;
        Time since;
    };

    /// \brief Number of available engines by role.
    struct Counts {
        double prefill = 0;
        double decode = 0;
        double mixed = 0;

        [[nodiscard]] double &of(EngineRole role);
    };

    /// \brief Demand of one class of requests, in engine seconds per second at nominal speed.
    struct ClassDemand {
        double prefill = 0;
        double decode = 0;
    };

    struct Demand {
        ClassDemand prefillHeavy;
        ClassDemand decodeHeavy;
    };

    struct Option {
        RoleChange change;
        double netGain = 0;
    };

    RolePlanner(RolePolicy policy, RoleSpeeds speeds, Duration changeTime, Duration horizon);

    [[nodiscard]] bool isStale(Time now) const;
    void expirePending(Time now);
    [[nodiscard]] Counts countRoles() const;
    /// \brief Returns the engine time of \a work per second at nominal speed.
    [[nodiscard]] ClassDemand engineSeconds(const PhaseWork &work, double seconds) const;
    void smooth(ClassDemand &demand, const PhaseWork &work, double seconds) const;
    /// \brief Returns the smoothed demand plus the waiting work spread over the horizon.
    [[nodiscard]] Demand demandOverHorizon() const;
    /// \brief Returns the engine time that one second of the demand takes in the role.
    [[nodiscard]] double timeInRole(const ClassDemand &demand, EngineRole role) const;
    /// \brief Returns the fraction of the demand that engines in the given roles can serve; above 1 there is spare capacity.
    [[nodiscard]] double servableFraction(const Counts &counts, const Demand &demand) const;
    [[nodiscard]] bool canServe(const Counts &counts, const Demand &demand, double fraction) const;
    /// \brief Returns the engine time that a change to the role costs, including the cost when the mix of demand swings back.
    [[nodiscard]] double changeCostSeconds(EngineRole to) const;
    [[nodiscard]] const Engine *leastLoadedEngine(EngineRole role, Time now) const;
    [[nodiscard]] std::optional<Option> evaluate(EngineRole from, EngineRole to, const Counts &counts, const Demand &demand, Time now) const;
    [[nodiscard]] std::optional<Option> bestOption(Time now) const;
    /// \brief Returns whether the same change has been the best one for CONFIRMATION_TIME.
    [[nodiscard]] bool isConfirmed(const RoleChange &change, EngineRole from, Time now);

    RolePolicy policy_;
    RoleSpeeds speeds_;
    Duration changeTime_;
    Duration horizon_;
    std::map<EndpointId, Engine> engines_;
    std::optional<Pending> pending_;
    Demand smoothedDemand_;
    PhaseWork waiting_;
    std::optional<Time> demandReportedAt_;
    /// \brief Roles before and after the change that is currently the best one.
    std::optional<std::pair<EngineRole, EngineRole>> candidate_;
    Time candidateSince_;
    Time lastPlanAt_;
};

/// \brief Builds a RolePlanner.
class RolePlanner::Builder
{
public:
    Builder &policy(RolePolicy policy);
    Builder &speeds(RoleSpeeds speeds);
    /// \brief Sets the time that a change takes an engine out of service, including the completion of its running requests.
    Builder &changeTime(Duration time);
    /// \brief Sets the time that the present mix of demand is expected to last.
    Builder &horizon(Duration horizon);
    [[nodiscard]] RolePlanner build() const;

private:
    RolePolicy policy_;
    RoleSpeeds speeds_;
    Duration changeTime_ = Duration(5000);
    Duration horizon_ = Duration(60000);
};

} // namespace mimosatally
