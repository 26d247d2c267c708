#include <catch2/catch.hpp>

#include "leasesimulation.h"

using namespace schedules;

namespace
{
constexpr Bounds DEFAULT_BOUNDS {20261205, 5000, 400};

Result runLeases(LeaseFault fault, bool checksFencing, const Bounds &bounds, std::size_t *effects = nullptr)
{
    return check(bounds, [&](const std::vector<std::uint32_t> &schedule) {
        LeaseSimulation simulation(fault, checksFencing);
        for (const std::uint32_t stepSeed : schedule) {
            simulation.step(stepSeed);
        }
        if (effects) {
            *effects += simulation.effects();
        }
    });
}
} // namespace

// Guards against conflicting orders at an endpoint and against orders of a process that has lost its lease.
TEST_CASE("Leases and fenced orders hold under random faults", "[authority]")
{
    const bool checksFencing = GENERATE(false, true);
    const Bounds bounds = overridden(DEFAULT_BOUNDS);
    std::size_t effects = 0;
    const Result result = runLeases(LeaseFault::None, checksFencing, bounds, &effects);
    INFO(result.description);
    CHECK(result.holds);
    WARN("seed " << bounds.seed << ", " << bounds.schedules << " schedules of " << bounds.steps << " steps, " << effects << " orders took effect");
    // Schedules in which no order takes effect would prove nothing.
    CHECK(effects > static_cast<std::size_t>(bounds.schedules) / 2);
}

// Guards against invariants that cannot fail: each rule that the simulation breaks must be detected.
TEST_CASE("The invariants of leases and orders detect each broken rule", "[authority]")
{
    const auto fault = GENERATE(LeaseFault::AuthorityReadSkipped,
                                LeaseFault::GateLosesState,
                                LeaseFault::ReadBackSkipped,
                                LeaseFault::ReadBackTooEarly,
                                LeaseFault::WriteOutlivesOrder,
                                LeaseFault::ExpiryIgnored,
                                LeaseFault::IncarnationIgnored);
    const Result result = runLeases(fault, false, DEFAULT_BOUNDS);
    INFO("fault " << static_cast<int>(fault));
    CHECK_FALSE(result.holds);
    CHECK_THAT(result.description, Catch::Contains("violated: "));
}
