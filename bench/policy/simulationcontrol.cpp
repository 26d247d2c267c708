#include "simulation.h"

#include <cmath>

namespace mimosatally::bench
{

void Simulation::report(std::size_t engine)
{
    const AgentModel &agent = agents_[engine];
    const QueueLoad queue = agent.load();
    EndpointLoad load;
    load.waitingRequests = queue.waitingRequests;
    load.runningRequests = queue.runningRequests;
    load.waitingTokens = queue.waitingTokens;
    load.runningTokens = queue.runningTokens;
    load.role = agent.role();
    const Duration age = reportAge();
    load.reportAge = age;
    // The report arrives after its age has passed, so that the load in it is outdated by that much.
    send(age, [this, engine, load] {
        knownLoads_[engine].reportedRequests = load.waitingRequests + load.runningRequests;
        knownLoads_[engine].dispatchedSinceReport = 0;
        knownLoads_[engine].role = load.role;
        for (Entry &entry : entries_) {
            entry.router.reportLoad(engineId(engine), load, now_);
        }
    });
}

void Simulation::exchangeServiceTotals()
{
    if (strategy_ != Strategy::Policy) {
        return;
    }
    std::map<CustomerId, std::int64_t> totalService;
    for (const AgentModel &agent : agents_) {
        for (const CustomerService &service : agent.scheduler()->service()) {
            totalService[service.customer] += service.weightedTokens;
        }
    }
    for (std::size_t engine = 0; engine < ENGINES; ++engine) {
        std::vector<CustomerService> remote;
        for (const CustomerService &own : agents_[engine].scheduler()->service()) {
            remote.push_back({own.customer, totalService.at(own.customer) - own.weightedTokens});
        }
        send(EXCHANGE_INTERVAL, [this, engine, remote] {
            agents_[engine].scheduler()->setRemoteService(remote, now_);
        });
    }
}

void Simulation::planRoles()
{
    for (Entry &entry : entries_) {
        if (strategy_ == Strategy::Policy) {
            planByPolicy(entry);
        } else if (strategy_ == Strategy::Greedy) {
            planGreedily(entry.region);
        }
    }
}

void Simulation::planByPolicy(Entry &entry)
{
    const EngineSettings settings;
    for (std::size_t engine = 0; engine < ENGINES; ++engine) {
        if (regionOfEngine(engine) != entry.region || agents_[engine].isWithdrawn()) {
            continue;
        }
        const AgentModel &agent = agents_[engine];
        EngineStatus status;
        status.engine = engineId(engine);
        status.role = agent.role();
        status.available = agent.isAvailable();
        status.prefillTokensPerSecond = static_cast<std::int64_t>(settings.prefillTokensPerSecond);
        status.decodeTokensPerSecond = static_cast<std::int64_t>(settings.decodeTokensPerSecond);
        status.runningRequests = agent.load().runningRequests;
        entry.planner.reportEngine(status, now_);
    }
    entry.planner.reportDemand(std::exchange(entry.arrivedDemand, {}), now_);
    if (const auto change = entry.planner.plan(now_)) {
        startRoleChange(engineIndex(change->engine), change->role);
    }
}

void Simulation::planGreedily(std::size_t region)
{
    const EngineSettings settings;
    // Demand of the last second in engine seconds; recentDemand_ smooths it over about five seconds.
    std::array<double, 2> demand {};
    for (std::size_t i = nextArrival_; i > 0 && trace_.requests[i - 1].at > now_ - Duration(1000); --i) {
        const TraceRequest &request = trace_.requests[i - 1];
        if (request.region == region) {
            demand[0] += static_cast<double>(request.promptTokens) / settings.prefillTokensPerSecond;
            demand[1] += static_cast<double>(request.outputTokens) / settings.decodeTokensPerSecond;
        }
    }
    int engines = 0;
    int prefillEngines = 0;
    for (std::size_t engine = region; engine < ENGINES; engine += REGIONS) {
        if (agents_[engine].isWithdrawn()) {
            continue;
        }
        if (!agents_[engine].isAvailable()) {
            return;
        }
        ++engines;
        prefillEngines += agents_[engine].role() == EngineRole::Prefill ? 1 : 0;
    }
    for (std::size_t phase = 0; phase < 2; ++phase) {
        recentDemand_.at(region).at(phase) += (demand.at(phase) - recentDemand_.at(region).at(phase)) / 5;
    }
    const double totalDemand = recentDemand_.at(region)[0] + recentDemand_.at(region)[1];
    if (engines < 2 || totalDemand <= 0) {
        return;
    }
    const int wantedPrefillEngines = std::clamp(static_cast<int>(std::lround(engines * recentDemand_.at(region)[0] / totalDemand)), 1, engines - 1);
    for (std::size_t engine = region; engine < ENGINES; engine += REGIONS) {
        const bool isPrefill = agents_[engine].role() == EngineRole::Prefill;
        if (!agents_[engine].isWithdrawn() && isPrefill != (prefillEngines < wantedPrefillEngines) && prefillEngines != wantedPrefillEngines) {
            startRoleChange(engine, prefillEngines < wantedPrefillEngines ? EngineRole::Prefill : EngineRole::Decode);
            return;
        }
    }
}

void Simulation::startRoleChange(std::size_t engine, EngineRole role)
{
    ++result_.roleChanges;
    agents_[engine].changeRole(role);
    announceLeaving(engine, true);
    refuseWaiting(engine);
}

void Simulation::withdraw(std::size_t engine)
{
    agents_[engine].withdraw();
    announceLeaving(engine, true);
    refuseWaiting(engine);
    for (Entry &entry : entries_) {
        entry.planner.removeEngine(engineId(engine));
    }
}

void Simulation::announceLeaving(std::size_t engine, bool leaving)
{
    for (Entry &entry : entries_) {
        send(delayBetween(entry.region, engine), [this, engine, leaving, &entry] {
            knownLoads_[engine].available = !leaving;
            entry.router.setLeaving(engineId(engine), leaving);
        });
    }
}

void Simulation::refuseWaiting(std::size_t engine)
{
    for (const std::size_t index : agents_[engine].takeWaiting(now_)) {
        sendRefusal(index, engine, RefusalReason::Leaving);
    }
}

void Simulation::recordTick()
{
    for (std::size_t customer = 0; customer < trace_.contracts.size(); ++customer) {
        const CustomerId &id = trace_.contracts[customer].customer;
        const bool isWaiting = std::any_of(agents_.begin(), agents_.end(), [&](const AgentModel &agent) {
            const auto found = agent.waitingByCustomer().find(id);
            return found != agent.waitingByCustomer().end() && found->second > 0;
        });
        if (!isWaiting) {
            result_.seconds.back()[customer].waitedThroughout = false;
        }
    }
    for (std::size_t region = 0; region < REGIONS; ++region) {
        bool hasIdleEngine = false;
        for (std::size_t engine = region; engine < ENGINES; engine += REGIONS) {
            hasIdleEngine = hasIdleEngine || agents_[engine].canStartImmediately();
        }
        result_.idleTicks.at(region).push_back(hasIdleEngine);
    }
}

} // namespace mimosatally::bench
