#include <catch2/catch.hpp>

#include <mimosatally/Routing>

#include <map>

using namespace mimosatally;

namespace
{
Endpoint engine(const std::string &id, const std::string &region, const std::string &dataCentre)
{
    Endpoint endpoint;
    endpoint.id = EndpointId(id);
    endpoint.region = RegionId(region);
    endpoint.dataCentre = DataCentreId(dataCentre);
    endpoint.models = {ModelId("m")};
    return endpoint;
}

Time at(std::int64_t milliseconds)
{
    return Time(Duration(milliseconds));
}

RouteRequest request(const std::string &id, std::vector<std::uint64_t> blocks = {})
{
    RouteRequest result;
    result.id = RequestId(id);
    result.customer = CustomerId("c");
    result.model = ModelId("m");
    result.promptTokens = Tokens(8000);
    result.expectedOutputTokens = Tokens(10);
    result.cacheBlockHashes = std::move(blocks);
    result.startDeadline = at(1'000'000);
    result.bodyBytes = Bytes(700);
    return result;
}

EndpointLoad busyLoad(std::int64_t waitingTokens)
{
    EndpointLoad load;
    load.waitingRequests = 20;
    load.runningRequests = 8;
    load.waitingTokens = Tokens(waitingTokens);
    return load;
}

Router makeRouter(const std::vector<Endpoint> &endpoints, std::uint64_t seed = 1)
{
    Router router = Router::Builder().location(RegionId("r1"), DataCentreId("r1-a")).seed(seed).build();
    router.setEndpoints(endpoints, at(0));
    return router;
}

std::map<std::string, int> countChoices(Router &router, int count, Time now)
{
    std::map<std::string, int> result;
    for (int i = 0; i < count; ++i) {
        const RouteDecision decision = router.choose(request("x"), now);
        ++result[decision.endpoint ? decision.endpoint->value() : "none"];
    }
    return result;
}
} // namespace

// Guards against requests that accumulate at one endpoint between two load reports.
TEST_CASE("Own dispatches count until a report contains them", "[router]")
{
    Router router = makeRouter({engine("a", "r1", "r1-a"), engine("b", "r1", "r1-a")});
    std::map<std::string, int> dispatched;
    for (int i = 0; i < 40; ++i) {
        const RouteRequest next = request("x" + std::to_string(i));
        const RouteDecision decision = router.choose(next, at(10));
        router.recordDispatch(*decision.endpoint, next, at(10));
        ++dispatched[decision.endpoint->value()];
    }
    CHECK(dispatched["a"] == Approx(20).margin(2));
}

// Guards against an endpoint that gets no more requests because of one old report.
TEST_CASE("Load reports decay", "[router]")
{
    Router router = makeRouter({engine("a", "r1", "r1-a"), engine("b", "r1", "r1-a")});
    router.reportLoad(EndpointId("a"), busyLoad(40'000), at(0));
    CHECK(countChoices(router, 20, at(0)).count("a") == 0);
    CHECK(countChoices(router, 40, at(60'000)).count("a") == 1);
}

// Guards against loss of prefix affinity when cache events are missing, and against affinity to an overloaded endpoint.
TEST_CASE("Requests go to the endpoint with their cached prefix unless the wait costs more", "[router]")
{
    Router router = makeRouter({engine("a", "r1", "r1-a"), engine("b", "r1", "r1-a")});
    router.reportCache(EndpointId("b"), {13}, {}, at(0));
    const RouteDecision decision = router.choose(request("x", {11, 12, 13}), at(1));
    CHECK(decision.endpoint == EndpointId("b"));
    CHECK(decision.reason == "prefix-affinity");
    CHECK(decision.cachedTokens == Tokens(6000));
    router.reportLoad(EndpointId("b"), busyLoad(200'000), at(2));
    CHECK(router.choose(request("y", {11, 12, 13}), at(3)).endpoint == EndpointId("a"));
    router.reportLoad(EndpointId("b"), EndpointLoad(), at(4));
    router.reportCache(EndpointId("b"), {}, {13}, at(4));
    CHECK(router.choose(request("z", {11, 12, 13}), at(5)).cachedTokens == Tokens(0));
}

// Guards against all routers choosing the same endpoint on the same report, and against choices that cannot be reproduced.
TEST_CASE("Near-equal endpoints are chosen at random by seed", "[router]")
{
    const std::vector<Endpoint> fleet = {engine("a", "r1", "r1-a"), engine("b", "r1", "r1-a"), engine("c", "r1", "r1-a")};
    Router first = makeRouter(fleet, 7);
    Router second = makeRouter(fleet, 7);
    const auto counts = countChoices(first, 60, at(0));
    CHECK(counts.size() == 3);
    CHECK(counts == countChoices(second, 60, at(0)));
}

// Guards against paid cross-region traffic that is not needed to meet a contract.
TEST_CASE("Other regions serve only requests whose contract the local region would violate", "[router]")
{
    Router router = makeRouter({engine("near", "r1", "r1-a"), engine("far", "r2", "r2-a")});
    router.reportLoad(EndpointId("near"), busyLoad(400'000), at(0));
    RouteRequest urgent = request("x");
    urgent.startDeadline = at(2000);
    CHECK(router.choose(urgent, at(1)).endpoint == EndpointId("near"));
    router.recordDispatch(EndpointId("near"), urgent, at(1));
    router.recordResult(EndpointId("near"), urgent.id, AttemptResult::NotRun, Tokens(0), at(2));
    const RouteDecision decision = router.choose(urgent, at(2));
    CHECK(decision.endpoint == EndpointId("far"));
    CHECK(decision.crossRegion);
    CHECK(decision.reason == "other-region");
    router.recordDispatch(EndpointId("far"), urgent, at(2));
    CHECK(router.crossRegionBytes() == Bytes(700));
    RouteRequest relaxed = request("y");
    CHECK(router.choose(relaxed, at(3)).endpoint == EndpointId("near"));
}

// Guards against unnecessary traffic to another data centre.
TEST_CASE("The own data centre is preferred within the region", "[router]")
{
    Router router = makeRouter({engine("own", "r1", "r1-a"), engine("other", "r1", "r1-b")});
    router.reportLoad(EndpointId("other"), busyLoad(1000), at(0));
    CHECK(countChoices(router, 20, at(1)).count("other") == 0);
    router.reportLoad(EndpointId("own"), busyLoad(100'000), at(2));
    CHECK(countChoices(router, 20, at(3)).count("own") == 0);
}

// Guards against requests to failing endpoints, and against a burst at the end of an ejection.
TEST_CASE("Failing endpoints are ejected and ramp up slowly", "[router]")
{
    Router router = makeRouter({engine("a", "r1", "r1-a"), engine("b", "r1", "r1-a")});
    for (int i = 0; i < 2; ++i) {
        router.recordDispatch(EndpointId("a"), request("x" + std::to_string(i)), at(0));
        router.recordResult(EndpointId("a"), RequestId("x" + std::to_string(i)), AttemptResult::Failed, Tokens(0), at(1));
    }
    CHECK(countChoices(router, 50, at(500)).count("a") == 0);
    const int rampingUp = countChoices(router, 400, at(2001))["a"];
    CHECK(rampingUp > 0);
    CHECK(rampingUp < 100);
    CHECK(countChoices(router, 400, at(20'000))["a"] > 150);
}

// Guards against new work for a leaving, excluded or unhealthy endpoint, and against a retry time when no retry can succeed.
TEST_CASE("Leaving, excluded and unhealthy endpoints get no requests", "[router]")
{
    Router router = makeRouter({engine("a", "r1", "r1-a"), engine("b", "r1", "r1-a")});
    router.setLeaving(EndpointId("a"), true);
    CHECK(countChoices(router, 20, at(0)).count("a") == 0);
    RouteRequest tried = request("x");
    tried.excluded = {EndpointId("b")};
    const RouteDecision none = router.choose(tried, at(0));
    CHECK_FALSE(none.endpoint);
    CHECK_FALSE(none.retryAfter);
    router.setLeaving(EndpointId("a"), false);
    EndpointLoad unhealthy;
    unhealthy.healthy = false;
    router.reportLoad(EndpointId("b"), unhealthy, at(1));
    CHECK(countChoices(router, 20, at(2)).count("b") == 0);
    router.setEndpoints({engine("b", "r1", "r1-a")}, at(3));
    CHECK_FALSE(router.choose(request("y"), at(4)).endpoint);
    tried.model = ModelId("unknown");
    CHECK(router.choose(tried, at(4)).reason == "no-endpoint");
}

// Guards against long prompts on decode engines and long outputs on prefill engines.
TEST_CASE("Engines get the requests of the phase that their role favours", "[router]")
{
    Endpoint prefill = engine("p", "r1", "r1-a");
    prefill.role = EngineRole::Prefill;
    Endpoint decode = engine("d", "r1", "r1-a");
    decode.role = EngineRole::Decode;
    Router router = makeRouter({prefill, decode});
    CHECK(router.choose(request("long"), at(0)).endpoint == EndpointId("p"));
    RouteRequest shortPrompt = request("short");
    shortPrompt.promptTokens = Tokens(200);
    shortPrompt.expectedOutputTokens = Tokens(300);
    CHECK(router.choose(shortPrompt, at(0)).endpoint == EndpointId("d"));
}

// Guards against expected outputs that ignore the outputs of a customer's earlier requests.
TEST_CASE("The expected output is estimated from past answers", "[router]")
{
    Router router = makeRouter({engine("a", "r1", "r1-a")});
    for (int i = 0; i < 50; ++i) {
        const RouteRequest next = request("x" + std::to_string(i));
        router.recordDispatch(EndpointId("a"), next, at(i));
        router.recordResult(EndpointId("a"), next.id, AttemptResult::Answered, Tokens(40), at(i));
    }
    CHECK(router.expectedOutput(CustomerId("c"), ModelId("m")) == Tokens(40));
    CHECK(router.expectedOutput(CustomerId("other"), ModelId("m")) == Tokens(128));
}

// Guards against retries that amplify an overload.
TEST_CASE("Retries are bounded to a tenth of the requests and a constant", "[router]")
{
    RetryBudget budget;
    const CustomerId customer("c");
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.recordRequest(customer, at(i));
        retries += budget.tryRetry(customer, at(i)) ? 1 : 0;
    }
    CHECK(retries == Approx(100).margin(4));
}
