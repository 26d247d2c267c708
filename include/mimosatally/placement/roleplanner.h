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
    /// \brief Whether it takes new work: not leaving, withdrawn, failing or changing its role.
    bool available = true;
    /// \brief Nominal speeds in tokens per second.
    std::int64_t prefillTokensPerSecond = 0;
    std::int64_t decodeTokensPerSecond = 0;
    std::size_t runningRequests = 0;
};

/// \brief Work that callers asked for, with prompt tokens that were expected in no cache.
struct PhaseWork {
    Tokens uncachedPrompt;
    Tokens output;
};

/// \brief Demand of a scope.
struct DemandReport {
    /// \brief Work that arrived since the previous report.
    PhaseWork arrived;
    /// \brief Work that waits now.
    PhaseWork waiting;
    /// \brief Part of \a arrived by requests whose prefill takes longer than their decode.
    ///
    /// A request runs both phases on one engine, so the planner must know which work comes together. Without it the planner takes
    /// all requests to be alike.
    std::optional<PhaseWork> prefillHeavy;

    /// \brief Adds one request to \a arrived and \a prefillHeavy.
    void addArrival(const PhaseWork &request, std::int64_t prefillTokensPerSecond, std::int64_t decodeTokensPerSecond);
};

/// \brief Speed of an engine in its role as a part of its nominal speed, in thousandths.
struct RoleSpeeds {
    int favoured = 1000;
    /// \brief Both phases of a mixed engine: they interfere in one batch.
    int mixed = 850;
    /// \brief The phase that the role does not favour.
    int other = 500;
};

/// \brief Figures that a role change was decided on, in engine seconds per second unless stated otherwise.
struct RoleFigures {
    double prefillDemand = 0;
    double decodeDemand = 0;
    /// \brief Part of the demand that is served in the present roles and after the change; 1 is all of it.
    double servedBefore = 0;
    double servedAfter = 0;
    /// \brief Engine seconds of work gained over the horizon.
    double gain = 0;
    /// \brief Engine seconds lost times the price.
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
/// A change is planned only if the work that it gains over the horizon exceeds the engine time that it costs times
/// RolePolicy::changePrice. Deterministic; nothing is planned on stale input.
class RolePlanner
{
public:
    class Builder;

    /// \brief Adds an engine or replaces what is known about it.
    void reportEngine(const EngineStatus &status, Time now);

    /// \brief Forgets a withdrawn or replaced engine, also in the middle of its change.
    void removeEngine(const EndpointId &engine);

    void reportDemand(const DemandReport &demand, Time now);

    /// \return one change, which then counts as under way until the engine reports the role, is removed, or a timeout passes.
    std::optional<RoleChange> plan(Time now);

    /// \brief Demand as smoothed so far, in engine seconds per second.
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

    /// \brief Available engines by role.
    struct Counts {
        double prefill = 0;
        double decode = 0;
        double mixed = 0;

        [[nodiscard]] double &of(EngineRole role);
    };

    /// \brief Engine seconds per second at nominal speed of one kind of requests.
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
        double advantage = 0;
    };

    RolePlanner(RolePolicy policy, RoleSpeeds speeds, Duration changeTime, Duration horizon);

    [[nodiscard]] bool stale(Time now) const;
    void endPending(Time now);
    [[nodiscard]] Counts countRoles() const;
    /// \brief Engine time of \a work per second at nominal speed.
    [[nodiscard]] ClassDemand engineSeconds(const PhaseWork &work, double seconds) const;
    void smooth(ClassDemand &demand, const PhaseWork &work, double seconds) const;
    /// \brief The mean demand and the waiting work, spread over the horizon.
    [[nodiscard]] Demand demandOverHorizon() const;
    /// \brief Engine time that a second of the demand takes in the role.
    [[nodiscard]] double timeInRole(const ClassDemand &demand, EngineRole role) const;
    /// \brief Part of the demand that engines in the given roles can serve; above 1 there is spare capacity.
    [[nodiscard]] double servable(const Counts &counts, const Demand &demand) const;
    [[nodiscard]] bool canServe(const Counts &counts, const Demand &demand, double part) const;
    /// \brief Engine time that a change to the role costs, with what it costs when the mix swings back.
    [[nodiscard]] double lostSeconds(EngineRole to) const;
    [[nodiscard]] const Engine *cheapestEngine(EngineRole role, Time now) const;
    [[nodiscard]] std::optional<Option> evaluate(EngineRole from, EngineRole to, const Counts &counts, const Demand &demand, Time now) const;
    [[nodiscard]] std::optional<Option> bestOption(Time now) const;
    /// \brief Whether the same change has been the best for long enough.
    [[nodiscard]] bool confirmed(const RoleChange &change, EngineRole from, Time now);

    RolePolicy policy_;
    RoleSpeeds speeds_;
    Duration changeTime_;
    Duration horizon_;
    std::map<EndpointId, Engine> engines_;
    std::optional<Pending> pending_;
    Demand rate_;
    PhaseWork waiting_;
    std::optional<Time> demandAt_;
    /// \brief Roles of the change that is the best at present, and since when.
    std::optional<std::pair<EngineRole, EngineRole>> candidate_;
    Time candidateSince_;
    Time lastPlan_;
};

/// \brief Builds a RolePlanner.
class RolePlanner::Builder
{
public:
    Builder &policy(RolePolicy policy);
    Builder &speeds(RoleSpeeds speeds);
    /// \brief Time that a change takes an engine out of service, including the end of its running requests.
    Builder &changeTime(Duration time);
    /// \brief How long the present mix of demand is expected to last.
    Builder &horizon(Duration horizon);
    [[nodiscard]] RolePlanner build() const;

private:
    RolePolicy policy_;
    RoleSpeeds speeds_;
    Duration changeTime_ = Duration(5000);
    Duration horizon_ = Duration(60000);
};

} // namespace mimosatally
