#pragma once

#include "agentmodel.h"
#include "trace.h"

#include <mimosatally/Routing>

#include <functional>
#include <map>
#include <random>

namespace mimosatally::bench
{

/// \brief Parameters in which the two simulated fleets differ.
struct Profile {
    std::string name;
    /// \brief One-way delay between data centres of a region.
    Duration regionDelay = Duration(1);
    double changePrice = 1;
};

/// \throws MalformedInputError if the profile is unknown.
Profile profileByName(const std::string &name);

enum class Strategy {
    /// \brief The production Scheduler, Router and RolePlanner.
    Policy,
    /// \brief Fixed roles; requests go in turn to the engines of their dominant phase and to mixed engines.
    StaticRoundRobin,
    /// \brief Mixed engines; each request goes to the engine with the fewest known requests.
    LeastLoaded,
    /// \brief As LeastLoaded among the engines of the dominant phase; roles follow the recent demand, and a change has no price.
    Greedy,
};

struct RequestOutcome {
    Time arrived;
    Time deadline;
    std::optional<Time> started;
    std::optional<Time> finished;
    /// \brief Time of the refusal at the entry.
    std::optional<Time> refused;
    /// \brief Reason of the last refusal by an agent, or `no-endpoint` if no agent refused the request.
    std::string refusalReason = "no-endpoint";
    int attempts = 0;
};

/// \brief Service and backlog of one customer in one second, in weighted tokens.
struct CustomerSecond {
    /// \brief Weight of the requests that started.
    std::int64_t served = 0;
    /// \brief Weight of the requests that arrived.
    std::int64_t arrived = 0;
    /// \brief Weight of the requests that waited at the beginning of the second.
    std::int64_t waitingWeight = 0;
    /// \brief True if the customer had a waiting request in every tick.
    bool waitedThroughout = true;
};

struct RunResult {
    std::vector<RequestOutcome> requests;
    int roleChanges = 0;
    /// \brief Sums over all engines.
    EngineSimulation::Totals engineTotals;
    std::int64_t crossRegionBytes = 0;
    /// \brief By second, then by customer.
    std::vector<std::vector<CustomerSecond>> seconds;
    /// \brief By region, then by tick: true if an engine of the region had a free slot and no queue.
    std::array<std::vector<bool>, REGIONS> idleTicks;
};

/// \brief Length of one step of virtual time.
constexpr Duration TICK = Duration(5);
/// \brief Interval between exchanges of an entry and an agent (docs/design.md, section 5.1).
constexpr Duration EXCHANGE_INTERVAL = Duration(1000);

EndpointId engineId(std::size_t engine);
/// \brief Inverse of engineId().
std::size_t engineIndex(const EndpointId &id);

/// \brief Runs one trace in virtual time under one strategy.
class Simulation
{
public:
    Simulation(const Trace &trace, const Profile &profile, Strategy strategy, std::uint64_t seed);
    RunResult run();

private:
    struct Entry {
        std::size_t region = 0;
        Router router;
        RetryBudget retryBudget;
        RolePlanner planner;
        /// \brief Demand that has arrived since the last role planning.
        DemandReport arrivedDemand;
    };

    /// \brief Load of an engine as the baselines see it: the last report, and the requests dispatched since.
    struct KnownLoad {
        std::size_t reportedRequests = 0;
        std::size_t dispatchedSinceReport = 0;
        EngineRole role = EngineRole::Mixed;
        bool available = true;
    };

    /// \brief Runs \a message after \a delay.
    void send(Duration delay, std::function<void()> message);
    [[nodiscard]] Duration delayBetween(std::size_t region, std::size_t engine) const;

    void route(std::size_t request);
    [[nodiscard]] std::optional<std::size_t> chooseByPolicy(std::size_t request, RouteRequest &routeRequest);
    [[nodiscard]] std::optional<std::size_t> chooseByBaseline(std::size_t request);
    [[nodiscard]] RouteRequest makeRouteRequest(std::size_t request);
    void submit(std::size_t request, std::size_t engine);
    /// \brief Sends an agent's refusal to the entry of the request.
    void sendRefusal(std::size_t request, std::size_t engine, RefusalReason reason);
    /// \brief Handles an agent's refusal at the entry: routes the request again or refuses it.
    void handleRefusal(std::size_t request, std::size_t engine, RefusalReason reason);
    void refuseRequest(std::size_t request);

    void stepAgent(std::size_t engine);
    void report(std::size_t engine);
    void exchangeServiceTotals();
    void planRoles();
    void planGreedily(std::size_t region);
    void planByPolicy(Entry &entry);
    void startRoleChange(std::size_t engine, EngineRole role);
    void withdraw(std::size_t engine);
    /// \brief Notifies all entries that an engine is leaving or is available again.
    void announceLeaving(std::size_t engine, bool leaving);
    /// \brief Refuses the requests that wait for an engine as Leaving, so that their entries route them again.
    void refuseWaiting(std::size_t engine);
    /// \brief Records which customers wait and which regions have an idle engine.
    void recordTick();
    [[nodiscard]] bool isFinished() const;
    [[nodiscard]] Duration reportAge() const;

    const Trace &trace_;
    Profile profile_;
    Strategy strategy_;
    std::mt19937_64 random_;
    Time now_;
    /// \brief Messages in transit, by time of arrival.
    std::multimap<Time, std::function<void()>> messages_;
    std::vector<Entry> entries_;
    std::vector<AgentModel> agents_;
    std::vector<KnownLoad> knownLoads_;
    /// \brief Expected output tokens of each request when it was last routed.
    std::vector<std::int64_t> expectedOutput_;
    std::vector<std::vector<EndpointId>> triedEndpoints_;
    /// \brief Weight of the requests that have neither started nor been refused, by customer.
    std::vector<std::int64_t> waitingWeight_;
    std::size_t nextArrival_ = 0;
    std::size_t nextWithdrawal_ = 0;
    std::size_t nextRoundRobin_ = 0;
    /// \brief Requests that have arrived and are neither finished nor refused.
    std::size_t openRequests_ = 0;
    /// \brief Smoothed demand by region for prefill and decode, in engine seconds per second; used by Strategy::Greedy.
    std::array<std::array<double, 2>, REGIONS> recentDemand_ {};
    RunResult result_;
};

} // namespace mimosatally::bench
