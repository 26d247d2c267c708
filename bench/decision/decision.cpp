#include <mimosatally/Queueing>
#include <mimosatally/Routing>

#include <benchmark/benchmark.h>

namespace
{
using namespace mimosatally;

const ModelId MODEL("model");
constexpr std::int64_t REGIONS = 6;
constexpr std::int64_t DATA_CENTRES = 14;
constexpr std::int64_t REQUESTS = 4096;
constexpr std::int64_t PREFIXES = 512;
constexpr int BLOCKS_PER_PROMPT = 4;

Time at(std::int64_t milliseconds)
{
    return Time(Duration(milliseconds));
}

std::vector<Endpoint> makeFleet(std::int64_t count)
{
    std::vector<Endpoint> fleet;
    for (std::int64_t i = 0; i < count; ++i) {
        Endpoint endpoint;
        endpoint.id = EndpointId("endpoint-" + std::to_string(i));
        endpoint.dataCentre = DataCentreId("dc-" + std::to_string(i % DATA_CENTRES));
        endpoint.region = RegionId("region-" + std::to_string(i % DATA_CENTRES % REGIONS));
        endpoint.models = {MODEL};
        fleet.push_back(endpoint);
    }
    return fleet;
}

std::vector<RouteRequest> makeRequests()
{
    std::vector<RouteRequest> requests;
    for (std::int64_t i = 0; i < REQUESTS; ++i) {
        RouteRequest request;
        request.id = RequestId(std::to_string(i));
        request.customer = CustomerId("customer-" + std::to_string(i % 100));
        request.model = MODEL;
        request.promptTokens = Tokens(9000);
        request.expectedOutputTokens = Tokens(100);
        for (int block = 0; block < BLOCKS_PER_PROMPT; ++block) {
            request.cacheBlockHashes.push_back(static_cast<std::uint64_t>((i % PREFIXES) * BLOCKS_PER_PROMPT + block + 1));
        }
        request.startDeadline = at(1'000'000'000);
        requests.push_back(request);
    }
    return requests;
}

/// \brief Routes one request per iteration: choice, dispatch and result, with a load report after every eighth request.
void routeRequest(benchmark::State &state)
{
    Router router = Router::Builder().location(RegionId("region-0"), DataCentreId("dc-0")).seed(1).build();
    const std::vector<Endpoint> fleet = makeFleet(state.range(0));
    router.setEndpoints(fleet, at(0));
    const std::vector<RouteRequest> requests = makeRequests();
    EndpointLoad load;
    load.runningRequests = 4;
    load.runningTokens = Tokens(20'000);
    std::size_t index = 0;
    for ([[maybe_unused]] auto _ : state) {
        const RouteRequest &request = requests[index % requests.size()];
        const Time now = at(static_cast<std::int64_t>(index));
        const RouteDecision decision = router.choose(request, now);
        router.recordDispatch(*decision.endpoint, request, now);
        router.recordResult(*decision.endpoint, request.id, AttemptResult::Answered, Tokens(100), now);
        if (index % 8 == 0) {
            router.reportLoad(fleet[index / 8 % fleet.size()].id, load, now);
        }
        ++index;
    }
}

/// \brief Only the choice, on a router that has recorded prefixes and dispatches.
void chooseEndpoint(benchmark::State &state)
{
    Router router = Router::Builder().location(RegionId("region-0"), DataCentreId("dc-0")).seed(1).build();
    router.setEndpoints(makeFleet(state.range(0)), at(0));
    const std::vector<RouteRequest> requests = makeRequests();
    for (const RouteRequest &request : requests) {
        const RouteDecision decision = router.choose(request, at(0));
        router.recordDispatch(*decision.endpoint, request, at(0));
        router.recordResult(*decision.endpoint, request.id, AttemptResult::Answered, Tokens(100), at(0));
    }
    std::size_t index = 0;
    for ([[maybe_unused]] auto _ : state) {
        benchmark::DoNotOptimize(router.choose(requests[index++ % requests.size()], at(1)));
    }
}

/// \brief One request per iteration through a queue in which every customer has waiting requests: enqueue, dispatch and complete.
void scheduleRequest(benchmark::State &state)
{
    const std::int64_t customers = state.range(0);
    std::vector<Contract> contracts;
    for (std::int64_t i = 0; i < customers; ++i) {
        contracts.push_back(Contract {CustomerId("customer-" + std::to_string(i)), 1'000'000 / customers, static_cast<int>(i % 3), Duration(1), {}});
    }
    Scheduler scheduler = Scheduler::Builder().capacity({8, 8000, 600}).contracts(contracts).tokenCosts({}).build();
    std::int64_t next = 0;
    const auto enqueue = [&](Time now) {
        const CustomerId &customer = contracts[static_cast<std::size_t>(next % customers)].customer;
        const RequestId id(std::to_string(next++));
        benchmark::DoNotOptimize(scheduler.enqueue({id, customer, {Tokens(500 + next % 1000), Tokens(next % 200)}, now + Duration(1'000'000'000)}, now));
    };
    for (std::int64_t i = 0; i < 2 * customers; ++i) {
        enqueue(at(0));
    }
    std::int64_t now = 0;
    for ([[maybe_unused]] auto _ : state) {
        enqueue(at(++now));
        const auto id = scheduler.dispatchNext(at(now));
        scheduler.complete(*id, {Tokens(800), Tokens(100)}, at(now));
    }
}

BENCHMARK(chooseEndpoint)->Arg(8)->Arg(80)->Arg(800)->Arg(3800);
BENCHMARK(routeRequest)->Arg(8)->Arg(80)->Arg(800)->Arg(3800);
BENCHMARK(scheduleRequest)->Arg(3)->Arg(120)->Arg(1200);
} // namespace

BENCHMARK_MAIN();
