#include <catch2/catch.hpp>

#include "claimworld.h"

using namespace schedules;

namespace
{
constexpr Bounds DEFAULT_BOUNDS {20261204, 5000, 400};

Result runClaims(ClaimFault fault, const Bounds &bounds, std::size_t *executions = nullptr)
{
    return check(bounds, [&](const std::vector<std::uint32_t> &schedule) {
        ClaimWorld world(fault);
        for (const std::uint32_t number : schedule) {
            world.step(number);
        }
        world.finish();
        if (executions) {
            *executions += world.executions();
        }
    });
}
} // namespace

// Guards against a claimed call that runs twice, and against a "not run" about a call that ran or runs later.
TEST_CASE("Claims hold under random faults", "[claims]")
{
    const Bounds bounds = overridden(DEFAULT_BOUNDS);
    std::size_t executions = 0;
    const Result result = runClaims(ClaimFault::None, bounds, &executions);
    INFO(result.description);
    CHECK(result.holds);
    WARN("seed " << bounds.seed << ", " << bounds.schedules << " schedules of " << bounds.steps << " steps, " << executions << " calls ran");
    // A schedule that never runs a call would show nothing.
    CHECK(executions > static_cast<std::size_t>(bounds.schedules) / 2);
}

// Guards against invariants that cannot fail: each broken rule in a fake must be found.
TEST_CASE("The invariants of claims find each broken rule", "[claims]")
{
    const auto fault = GENERATE(ClaimFault::GateForgets,
                                ClaimFault::GateIgnoresIncarnation,
                                ClaimFault::VoidWithoutWord,
                                ClaimFault::LoserSubmits,
                                ClaimFault::SubmitAfterNotRun,
                                ClaimFault::NotRunWithoutWord,
                                ClaimFault::VoidAfterSubmit);
    const Result result = runClaims(fault, DEFAULT_BOUNDS);
    INFO("fault " << static_cast<int>(fault));
    CHECK_FALSE(result.holds);
    CHECK_THAT(result.description, Catch::Contains("violated: ") || Catch::Contains("contradict"));
}
