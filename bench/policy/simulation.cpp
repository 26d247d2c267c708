#include "simulation.h"

namespace mimosatally::bench
{

namespace
{
const ModelId MODEL("model");
const std::string ENGINE_PREFIX = "engine-";
constexpr int SLOTS = 8;
/// \brief One-way delay between regions (docs/design.md, section 1.2).
constexpr Duration CROSS_REGION_DELAY = Duration(12);
/// \brief Age of an engine's load report on arrival, outside the intervals of Trace::reportDelays.
constexpr Duration REPORT_AGE = Duration(500);
constexpr Duration CACHE_EVENT_DELAY = Duration(2000);
/// \brief One in this many cache events is lost.
constexpr std::uint64_t CACHE_EVENTS_PER_LOSS = 10;
/// \brief Bytes per prompt token in a request body.
constexpr std::int64_t BYTES_PER_TOKEN = 4;
/// \brief Expected time for running requests to end before a role change; added to the duration of the change itself.
constexpr Duration DRAIN_TIME = Duration(2000);
/// \brief Time after the last arrival within which open requests may finish.
constexpr Duration MAX_COMPLETION_TIME = Duration(60000);

RegionId regionId(std::size_t region)
{
    return RegionId("region-" + std::to_string(region));
}

DataCentreId dataCentreId(std::size_t region, std::size_t number)
{
    return DataCentreId("region-" + std::to_string(region) + "-" + std::to_string(number));
}

std::vector<Endpoint> makeFleet(const EngineSettings &settings)
{
    std::vector<Endpoint> fleet;
    for (std::size_t engine = 0; engine < ENGINES; ++engine) {
        Endpoint endpoint;
        endpoint.id = engineId(engine);
        endpoint.region = regionId(regionOfEngine(engine));
        endpoint.dataCentre = dataCentreId(regionOfEngine(engine), engine / REGIONS);
        endpoint.models = {MODEL};
        endpoint.maxConcurrentRequests = SLOTS;
        endpoint.prefillTokensPerSecond = static_cast<std::int64_t>(settings.prefillTokensPerSecond);
        endpoint.decodeTokensPerSecond = static_cast<std::int64_t>(settings.decodeTokensPerSecond);
        endpoint.cacheBlocks = static_cast<std::int64_t>(settings.cacheBlocks);
        fleet.push_back(endpoint);
    }
    return fleet;
}

EngineRole initialRole(Strategy strategy, std::size_t engine)
{
    if (strategy == Strategy::Policy || strategy == Strategy::LeastLoaded) {
        return EngineRole::Mixed;
    }
    // Each region gets both phases; the remaining engines are mixed.
    constexpr std::array<EngineRole, REGIONS> ROLES = {EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed};
    return ROLES.at(engine / REGIONS);
}

bool isPrefillHeavy(const TraceRequest &request, const EngineSettings &settings)
{
    return static_cast<double>(request.promptTokens) / settings.prefillTokensPerSecond
           > static_cast<double>(request.outputTokens) / settings.decodeTokensPerSecond;
}
} // namespace

EndpointId engineId(std::size_t engine)
{
    return EndpointId(ENGINE_PREFIX + std::to_string(engine));
}

std::size_t engineIndex(const EndpointId &id)
{
    return std::stoul(id.value().substr(ENGINE_PREFIX.size()));
}

Profile profileByName(const std::string &name)
{
    if (name == "parkland") {
        return {name, Duration(1), 1.0};
    }
    if (name == "mrema") {
        // The delay of 0.5 ms is rounded up to the resolution of the clock type, 1 ms.
        return {name, Duration(1), 3.0};
    }
    throw MalformedInputError("unknown profile: " + name);
}

Simulation::Simulation(const Trace &trace, const Profile &profile, Strategy strategy, std::uint64_t seed)
    : trace_(trace)
    , profile_(profile)
    , strategy_(strategy)
    , random_(seed)
    , knownLoads_(ENGINES)
    , expectedOutput_(trace.requests.size(), 0)
    , triedEndpoints_(trace.requests.size())
    , waitingWeight_(trace.contracts.size(), 0)
{
    const EngineSettings settings;
    const std::vector<Endpoint> fleet = makeFleet(settings);
    const EndpointCapacity capacity {SLOTS, fleet.front().prefillTokensPerSecond, fleet.front().decodeTokensPerSecond};
    for (std::size_t region = 0; region < REGIONS; ++region) {
        Router router = Router::Builder().location(regionId(region), dataCentreId(region, 0)).seed(seed * REGIONS + region).build();
        router.setEndpoints(fleet, now_);
        RolePlanner planner = RolePlanner::Builder().policy({profile.changePrice}).speeds(settings.speeds).changeTime(settings.changeTime + DRAIN_TIME).build();
        entries_.push_back({region, std::move(router), {}, std::move(planner), {}});
    }
    for (std::size_t engine = 0; engine < ENGINES; ++engine) {
        std::optional<Scheduler> scheduler;
        if (strategy == Strategy::Policy) {
            scheduler = Scheduler::Builder().capacity(capacity).contracts(trace.contracts).tokenCosts({}).build();
        }
        knownLoads_[engine].role = initialRole(strategy, engine);
        for (const InitialRole &initial : trace.roles) {
            if (initial.engine == engine && strategy == Strategy::Policy) {
                knownLoads_[engine].role = initial.role;
            }
        }
        agents_.emplace_back(settings, knownLoads_[engine].role, SLOTS, std::move(scheduler));
    }
    for (const TraceRequest &request : trace.requests) {
        RequestOutcome outcome;
        outcome.arrived = request.at;
        outcome.deadline = request.at + trace.contracts[request.customer].longestWait;
        result_.requests.push_back(outcome);
    }
}

void Simulation::send(Duration delay, std::function<void()> message)
{
    messages_.emplace(now_ + delay, std::move(message));
}

Duration Simulation::delayBetween(std::size_t region, std::size_t engine) const
{
    return regionOfEngine(engine) == region ? profile_.regionDelay : CROSS_REGION_DELAY;
}

Duration Simulation::reportAge() const
{
    for (const ReportDelay &delay : trace_.reportDelays) {
        if (now_ >= delay.from && now_ < delay.to) {
            return delay.age;
        }
    }
    return REPORT_AGE;
}

RouteRequest Simulation::makeRouteRequest(std::size_t index)
{
    const TraceRequest &request = trace_.requests[index];
    RouteRequest routeRequest;
    routeRequest.id = requestId(index);
    routeRequest.customer = trace_.contracts[request.customer].customer;
    routeRequest.model = MODEL;
    routeRequest.promptTokens = Tokens(request.promptTokens);
    routeRequest.expectedOutputTokens = entries_[request.region].router.expectedOutput(routeRequest.customer, MODEL);
    routeRequest.cacheBlockHashes = blockHashes(request, index);
    routeRequest.startDeadline = result_.requests[index].deadline;
    routeRequest.bodyBytes = Bytes(request.promptTokens * BYTES_PER_TOKEN);
    routeRequest.excluded = triedEndpoints_[index];
    return routeRequest;
}

std::optional<std::size_t> Simulation::chooseByPolicy(std::size_t index, RouteRequest &routeRequest)
{
    Entry &entry = entries_[trace_.requests[index].region];
    const RouteDecision decision = entry.router.choose(routeRequest, now_);
    if (result_.requests[index].attempts == 0) {
        const EngineSettings settings;
        entry.arrivedDemand.addArrival({routeRequest.promptTokens - decision.cachedTokens, routeRequest.expectedOutputTokens},
                                       static_cast<std::int64_t>(settings.prefillTokensPerSecond),
                                       static_cast<std::int64_t>(settings.decodeTokensPerSecond));
        entry.retryBudget.recordRequest(routeRequest.customer, now_);
    }
    if (!decision.endpoint) {
        return std::nullopt;
    }
    entry.router.recordDispatch(*decision.endpoint, routeRequest, now_);
    return engineIndex(*decision.endpoint);
}

std::optional<std::size_t> Simulation::chooseByBaseline(std::size_t index)
{
    const TraceRequest &request = trace_.requests[index];
    const EngineRole otherPhaseRole = isPrefillHeavy(request, EngineSettings()) ? EngineRole::Decode : EngineRole::Prefill;
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < ENGINES; ++i) {
        // The search starts after the last chosen engine, which gives round robin and breaks ties between equal loads.
        const std::size_t engine = (nextRoundRobin_ + i) % ENGINES;
        if (!knownLoads_[engine].available || knownLoads_[engine].role == otherPhaseRole) {
            continue;
        }
        const auto loadOf = [&](std::size_t candidate) {
            return knownLoads_[candidate].reportedRequests + knownLoads_[candidate].dispatchedSinceReport;
        };
        if (!best || (strategy_ != Strategy::StaticRoundRobin && loadOf(engine) < loadOf(*best))) {
            best = engine;
        }
    }
    if (best) {
        nextRoundRobin_ = *best + 1;
        ++knownLoads_[*best].dispatchedSinceReport;
    }
    return best;
}

void Simulation::route(std::size_t index)
{
    RouteRequest routeRequest = makeRouteRequest(index);
    const bool byPolicy = strategy_ == Strategy::Policy;
    const auto engine = byPolicy ? chooseByPolicy(index, routeRequest) : chooseByBaseline(index);
    if (!engine) {
        refuseRequest(index);
        return;
    }
    const std::size_t region = trace_.requests[index].region;
    if (regionOfEngine(*engine) != region) {
        result_.crossRegionBytes += routeRequest.bodyBytes.count();
    }
    ++result_.requests[index].attempts;
    expectedOutput_[index] = routeRequest.expectedOutputTokens.count();
    triedEndpoints_[index].push_back(engineId(*engine));
    send(delayBetween(region, *engine), [this, index, engine] {
        submit(index, *engine);
    });
}

void Simulation::submit(std::size_t index, std::size_t engine)
{
    const TraceRequest &request = trace_.requests[index];
    EngineJob job {index, request.promptTokens, request.outputTokens, blockHashes(request, index)};
    const TokenUsage expected {Tokens(request.promptTokens), Tokens(expectedOutput_[index])};
    const QueuedRequest queued {requestId(index), trace_.contracts[request.customer].customer, expected, result_.requests[index].deadline};
    if (const auto reason = agents_[engine].enqueue(job, queued, now_)) {
        sendRefusal(index, engine, *reason);
    }
}

void Simulation::sendRefusal(std::size_t index, std::size_t engine, RefusalReason reason)
{
    send(delayBetween(trace_.requests[index].region, engine), [this, index, engine, reason] {
        handleRefusal(index, engine, reason);
    });
}

void Simulation::handleRefusal(std::size_t index, std::size_t engine, RefusalReason reason)
{
    result_.requests[index].refusalReason = mimosatally::toString(reason);
    Entry &entry = entries_[trace_.requests[index].region];
    entry.router.recordResult(engineId(engine), requestId(index), AttemptResult::NotRun, Tokens(0), now_);
    const CustomerId &customer = trace_.contracts[trace_.requests[index].customer].customer;
    // A refusal by a leaving endpoint is not a failed attempt, so the next attempt does not count against the retry budget.
    const bool shouldRetry = reason == RefusalReason::Leaving || (strategy_ == Strategy::Policy && entry.retryBudget.tryRetry(customer, now_));
    if (shouldRetry && now_ <= result_.requests[index].deadline) {
        route(index);
    } else {
        refuseRequest(index);
    }
}

void Simulation::refuseRequest(std::size_t index)
{
    result_.requests[index].refused = now_;
    waitingWeight_[trace_.requests[index].customer] -= weightOf(trace_.requests[index]);
    --openRequests_;
}

void Simulation::stepAgent(std::size_t engine)
{
    const AgentModel::Step step = agents_[engine].step(TICK, now_);
    for (const std::size_t index : step.started) {
        result_.requests[index].started = now_;
        const TraceRequest &request = trace_.requests[index];
        result_.seconds.back()[request.customer].served += weightOf(request);
        waitingWeight_[request.customer] -= weightOf(request);
    }
    for (const std::size_t index : step.finished) {
        const std::size_t region = trace_.requests[index].region;
        send(TICK + delayBetween(region, engine), [this, index, engine, region] {
            result_.requests[index].finished = now_;
            --openRequests_;
            const Tokens output(trace_.requests[index].outputTokens);
            entries_[region].router.recordResult(engineId(engine), requestId(index), AttemptResult::Answered, output, now_);
        });
    }
    for (const auto &[index, reason] : step.refused) {
        sendRefusal(index, engine, reason);
    }
    if (!step.stored.empty() || !step.evicted.empty()) {
        send(CACHE_EVENT_DELAY, [this, engine, stored = step.stored, evicted = step.evicted] {
            if (random_() % CACHE_EVENTS_PER_LOSS == 0) {
                return;
            }
            for (Entry &entry : entries_) {
                entry.router.reportCache(engineId(engine), stored, evicted, now_);
            }
        });
    }
    if (step.roleChangeCompleted) {
        announceLeaving(engine, false);
    }
}

bool Simulation::isFinished() const
{
    const bool allArrived = nextArrival_ == trace_.requests.size();
    return allArrived && (openRequests_ == 0 || now_ > trace_.end() + MAX_COMPLETION_TIME);
}

RunResult Simulation::run()
{
    for (std::int64_t tick = 0; !isFinished(); ++tick) {
        now_ = Time(TICK * tick);
        if (now_.time_since_epoch() % std::chrono::seconds(1) == Duration(0)) {
            result_.seconds.emplace_back(trace_.contracts.size());
            for (std::size_t customer = 0; customer < waitingWeight_.size(); ++customer) {
                result_.seconds.back()[customer].waitingWeight = waitingWeight_[customer];
            }
        }
        while (nextWithdrawal_ < trace_.withdrawals.size() && trace_.withdrawals[nextWithdrawal_].at <= now_) {
            withdraw(trace_.withdrawals[nextWithdrawal_++].engine);
        }
        while (!messages_.empty() && messages_.begin()->first <= now_) {
            const auto message = std::move(messages_.begin()->second);
            messages_.erase(messages_.begin());
            message();
        }
        while (nextArrival_ < trace_.requests.size() && trace_.requests[nextArrival_].at <= now_) {
            ++openRequests_;
            const TraceRequest &request = trace_.requests[nextArrival_];
            waitingWeight_[request.customer] += weightOf(request);
            result_.seconds.back()[request.customer].arrived += weightOf(request);
            route(nextArrival_++);
        }
        for (std::size_t engine = 0; engine < ENGINES; ++engine) {
            stepAgent(engine);
        }
        recordTick();
        if (now_.time_since_epoch() % EXCHANGE_INTERVAL == Duration(0)) {
            for (std::size_t engine = 0; engine < ENGINES; ++engine) {
                report(engine);
            }
            exchangeServiceTotals();
            planRoles();
        }
    }
    for (const AgentModel &agent : agents_) {
        result_.engineTotals.promptTokens += agent.totals().promptTokens;
        result_.engineTotals.cachedTokens += agent.totals().cachedTokens;
        result_.engineTotals.busySeconds += agent.totals().busySeconds;
        result_.engineTotals.changingSeconds += agent.totals().changingSeconds;
        result_.engineTotals.smallBatchSeconds += agent.totals().smallBatchSeconds;
    }
    return std::move(result_);
}

} // namespace mimosatally::bench
