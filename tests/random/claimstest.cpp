#include <catch2/catch.hpp>

#include "claimsimulation.h"

using namespace schedules;

namespace
{
constexpr Bounds DEFAULT_BOUNDS {20261204, 5000, 400};

Result runClaims(ClaimFault fault, const Bounds &bounds, std::size_t *executions = nullptr)
{
    return check(bounds, [&](const std::vector<std::uint32_t> &schedule) {
        ClaimSimulation simulation(fault);
        for (const std::uint32_t stepSeed : schedule) {
            simulation.step(stepSeed);
        }
        simulation.finish();
        if (executions) {
            *executions += simulation.executions();
        }
    });
}
} // namespace

// Guards against a claimed call that runs twice, and against a report "not run" for a call that ran or runs later.
TEST_CASE("Claims hold under random faults", "[claims]")
{
    const Bounds bounds = overridden(DEFAULT_BOUNDS);
    std::size_t executions = 0;
    const Result result = runClaims(ClaimFault::None, bounds, &executions);
    INFO(result.description);
    CHECK(result.holds);
    WARN("seed " << bounds.seed << ", " << bounds.schedules << " schedules of " << bounds.steps << " steps, " << executions << " calls ran");
    // Schedules in which no call runs would prove nothing.
    CHECK(executions > static_cast<std::size_t>(bounds.schedules) / 2);
}

// Guards against invariants that cannot fail: each rule that the simulation breaks must be detected.
TEST_CASE("The invariants of claims detect each broken rule", "[claims]")
{
    const auto fault = GENERATE(ClaimFault::GateLosesState,
                                ClaimFault::GateIgnoresIncarnation,
                                ClaimFault::VoidWithoutConfirmation,
                                ClaimFault::LoserSubmits,
                                ClaimFault::SubmitAfterNotRun,
                                ClaimFault::NotRunWithoutConfirmation,
                                ClaimFault::VoidAfterSubmit);
    const Result result = runClaims(fault, DEFAULT_BOUNDS);
    INFO("fault " << static_cast<int>(fault));
    CHECK_FALSE(result.holds);
    CHECK_THAT(result.description, Catch::Contains("violated: ") || Catch::Contains("contradict"));
}
