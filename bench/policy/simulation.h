#pragma once

#include "agentmodel.h"
#include "trace.h"

#include <mimosatally/Routing>

#include <functional>
#include <map>
#include <random>

namespace mimosatally::bench
{

/// \brief What distinguishes the two fleets.
struct Profile {
    std::string name;
    /// \brief One-way delay between data centres of a region.
    Duration regionDelay = Duration(1);
    double changePrice = 1;
};

/// \throws MalformedInputError if the profile is unknown.
Profile profileByName(const std::string &name);

enum class Strategy {
    /// \brief The shipped Scheduler, Router and RolePlanner.
    Policy,
    /// \brief Fixed roles; requests go in turn to the engines that favour their phase or are mixed.
    StaticRoundRobin,
    /// \brief Mixed engines; requests go to the engine with the fewest known requests.
    LeastLoaded,
    /// \brief As LeastLoaded among the engines of the phase; roles follow the present demand without a price.
    Greedy,
};

struct RequestOutcome {
    Time arrived;
    Time deadline;
    std::optional<Time> started;
    std::optional<Time> finished;
    /// \brief When the caller got a refusal, and the time to come back that it named.
    std::optional<Time> refused;
    /// \brief Reason of the last refusal by an agent, or `no-endpoint` from the router.
    std::string refusalReason = "no-endpoint";
    int attempts = 0;
};

/// \brief Served weighted tokens and waiting work of one customer in one second.
struct CustomerSecond {
    std::int64_t served = 0;
    /// \brief Weight of the requests that arrived.
    std::int64_t arrived = 0;
    /// \brief Weight that waits at the begin of the second.
    std::int64_t waitingWeight = 0;
    bool waitedThroughout = true;
};

struct RunResult {
    std::vector<RequestOutcome> requests;
    int roleChanges = 0;
    /// \brief Sums over all engines.
    EngineModel::Totals engines;
    std::int64_t crossRegionBytes = 0;
    /// \brief By second, then by customer.
    std::vector<std::vector<CustomerSecond>> seconds;
    /// \brief By region: ticks at which an engine of the region had a free slot and no queue.
    std::array<std::vector<bool>, REGIONS> idle;
};

/// \brief Length of one step of virtual time.
constexpr Duration TICK = Duration(5);
/// \brief Time between the exchanges of an entry and an agent (docs/design.md, section 5.1).
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
        RetryBudget retries;
        RolePlanner planner;
        DemandReport arrived;
    };

    /// \brief What a baseline knows about an engine: the last report and its own dispatches since.
    struct KnownLoad {
        std::size_t reported = 0;
        std::size_t sinceReport = 0;
        EngineRole role = EngineRole::Mixed;
        bool available = true;
    };

    void send(Duration delay, std::function<void()> message);
    [[nodiscard]] Duration delayBetween(std::size_t region, std::size_t engine) const;

    void route(std::size_t request);
    [[nodiscard]] std::optional<std::size_t> chooseByPolicy(std::size_t request, RouteRequest &routed);
    [[nodiscard]] std::optional<std::size_t> chooseByBaseline(std::size_t request);
    [[nodiscard]] RouteRequest routeRequest(std::size_t request);
    void submit(std::size_t request, std::size_t engine);
    void refuseAtAgent(std::size_t request, std::size_t engine, RefusalReason reason);
    void notRun(std::size_t request, std::size_t engine, RefusalReason reason);
    void refuse(std::size_t request);

    void stepAgent(std::size_t engine);
    void report(std::size_t engine);
    void exchangeService();
    void planRoles();
    void planGreedily(std::size_t region);
    void planByPolicy(Entry &entry);
    void startChange(std::size_t engine, EngineRole role);
    void withdraw(std::size_t engine);
    void setLeavingEverywhere(std::size_t engine, bool leaving);
    void returnWaiting(std::size_t engine);
    void account();
    [[nodiscard]] bool finished() const;
    [[nodiscard]] Duration reportAge() const;

    const Trace &trace_;
    Profile profile_;
    Strategy strategy_;
    std::mt19937_64 random_;
    Time now_;
    std::multimap<Time, std::function<void()>> messages_;
    std::vector<Entry> entries_;
    std::vector<AgentModel> agents_;
    std::vector<KnownLoad> known_;
    /// \brief Expected output of each request when it was last routed.
    std::vector<std::int64_t> expectedOutput_;
    std::vector<std::vector<EndpointId>> tried_;
    /// \brief Weight of the requests that have neither started nor been refused, by customer.
    std::vector<std::int64_t> waitingWeight_;
    std::size_t nextArrival_ = 0;
    std::size_t nextWithdrawal_ = 0;
    std::size_t nextInTurn_ = 0;
    std::size_t open_ = 0;
    std::array<std::array<double, 2>, REGIONS> recentDemand_ {};
    RunResult result_;
};

} // namespace mimosatally::bench
