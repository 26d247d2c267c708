#include <catch2/catch.hpp>

#include <mimosatally/Placement>

using namespace mimosatally;

namespace
{
Time at(std::int64_t milliseconds)
{
    return Time(Duration(milliseconds));
}

EngineStatus engine(const std::string &id, EngineRole role = EngineRole::Mixed)
{
    return EngineStatus {EndpointId(id), role, true, 1000, 1000, 0};
}

RolePlanner makePlanner(double price = 1)
{
    return RolePlanner::Builder().policy({price}).changeTime(Duration(5000)).build();
}

/// \brief Reports \a engines and a constant demand (engine seconds per second) each second, until a change or the end.
std::optional<RoleChange> run(RolePlanner &planner, const std::vector<EngineStatus> &engines, double prefill, double decode, int from = 0, int to = 60)
{
    for (int second = from; second < to; ++second) {
        for (const EngineStatus &status : engines) {
            planner.reportEngine(status, at(second * 1000));
        }
        DemandReport demand;
        demand.addArrival({Tokens(static_cast<std::int64_t>(prefill * 1000)), Tokens(0)}, 1000, 1000);
        demand.addArrival({Tokens(0), Tokens(static_cast<std::int64_t>(decode * 1000))}, 1000, 1000);
        planner.reportDemand(demand, at(second * 1000));
        if (const auto change = planner.plan(at(second * 1000))) {
            return change;
        }
    }
    return std::nullopt;
}

/// \brief Fleets in which an earlier mix of demand has left one engine in the wrong role.
const std::vector<EngineStatus> LEFT_IN_DECODE = {engine("a", EngineRole::Decode), engine("b"), engine("c"), engine("d")};
const std::vector<EngineStatus> LEFT_IN_PREFILL = {engine("a", EngineRole::Prefill), engine("b"), engine("c"), engine("d")};
const std::vector<EngineStatus> FOUR_MIXED = {engine("a"), engine("b"), engine("c"), engine("d")};
} // namespace

// Guards against changes that spare capacity or mixed batches make unnecessary.
TEST_CASE("No role changes while the present roles meet the demand", "[placement]")
{
    RolePlanner planner = makePlanner();
    CHECK_FALSE(run(planner, FOUR_MIXED, 3.0, 0.2));
}

// Guards against work that stays unserved although a role change would serve it, and against a change without figures.
TEST_CASE("A lasting shortage changes one role", "[placement]")
{
    RolePlanner planner = makePlanner();
    const auto change = run(planner, LEFT_IN_DECODE, 6.0, 0.2);
    REQUIRE(change);
    CHECK(change->engine == EndpointId("a"));
    CHECK(change->role == EngineRole::Mixed);
    CHECK(change->reason == "prefill-short");
    CHECK(change->figures.gain > change->figures.price);
    CHECK(change->figures.servedAfter > change->figures.servedBefore);
    RolePlanner other = makePlanner();
    CHECK(run(other, LEFT_IN_PREFILL, 0.2, 6.0)->role == EngineRole::Mixed);
}

// Guards against a planner that never uses the higher speed of a single-phase role even if the mix of demand is stable.
TEST_CASE("Under a stable request mix an engine is changed to a single-phase role", "[placement]")
{
    RolePlanner planner = RolePlanner::Builder().policy({1}).changeTime(Duration(5000)).horizon(Duration(300'000)).build();
    const auto change = run(planner, FOUR_MIXED, 6.0, 0.2);
    REQUIRE(change);
    CHECK(change->role == EngineRole::Prefill);
}

// Guards against a price without effect.
TEST_CASE("A higher price prevents a change", "[placement]")
{
    RolePlanner planner = makePlanner(5);
    CHECK_FALSE(run(planner, LEFT_IN_DECODE, 6.0, 0.2));
}

// Guards against two engines out of service at once, and against a change that blocks all others indefinitely.
TEST_CASE("No other change is planned until the present one ends, fails or its engine is withdrawn", "[placement]")
{
    RolePlanner planner = makePlanner();
    const std::vector<EngineStatus> two = {engine("a", EngineRole::Decode), engine("b", EngineRole::Decode), engine("c"), engine("d")};
    const auto first = run(planner, two, 6.0, 0.2, 0, 30);
    REQUIRE(first);
    CHECK(first->engine == EndpointId("a"));
    CHECK_FALSE(run(planner, two, 6.0, 0.2, 30, 34));
    planner.removeEngine(EndpointId("a"));
    const std::vector<EngineStatus> three = {engine("b", EngineRole::Decode), engine("c"), engine("d")};
    const auto next = run(planner, three, 6.0, 0.2, 34, 60);
    REQUIRE(next);
    CHECK(next->engine == EndpointId("b"));
    // The second change never ends; after its timeout another one may start.
    CHECK(run(planner, three, 6.0, 0.2, 60, 120));
}

// Guards against a fleet that cannot serve one of the phases.
TEST_CASE("Each phase keeps at least one engine", "[placement]")
{
    RolePlanner planner = makePlanner();
    CHECK_FALSE(run(planner, {engine("a", EngineRole::Prefill), engine("b")}, 6.0, 0.01));
    RolePlanner other = makePlanner();
    CHECK_FALSE(run(other, {engine("a", EngineRole::Decode), engine("b")}, 0.01, 6.0));
}

// Guards against decisions based on outdated reports.
TEST_CASE("Nothing is planned on stale input", "[placement]")
{
    RolePlanner planner = makePlanner();
    run(planner, FOUR_MIXED, 6.0, 0.2, 0, 2);
    for (int second = 2; second < 40; ++second) {
        planner.reportDemand({{Tokens(6000), Tokens(200)}, {}, PhaseWork {Tokens(6000), Tokens(0)}}, at(second * 1000));
        CHECK((second <= 4 || !planner.plan(at(second * 1000))));
    }
}

// Guards against a gain that assumes that the two phases of one request run on different engines.
TEST_CASE("Requests that need both phases equally change no role", "[placement]")
{
    RolePlanner planner = makePlanner();
    for (int second = 0; second < 60; ++second) {
        for (const EngineStatus &status : FOUR_MIXED) {
            planner.reportEngine(status, at(second * 1000));
        }
        planner.reportDemand({{Tokens(5900), Tokens(5900)}, {}, std::nullopt}, at(second * 1000));
        CHECK_FALSE(planner.plan(at(second * 1000)));
    }
}

// Guards against role changes triggered by a burst of a few seconds.
TEST_CASE("A short burst changes no role", "[placement]")
{
    RolePlanner planner = makePlanner();
    run(planner, LEFT_IN_DECODE, 2.0, 0.2, 0, 30);
    CHECK_FALSE(run(planner, LEFT_IN_DECODE, 7.0, 0.2, 30, 33));
    CHECK_FALSE(run(planner, LEFT_IN_DECODE, 2.0, 0.2, 33, 60));
}
