#include "dutysimulation.h"

#include <catch2/catch.hpp>

using namespace duties;

namespace
{
constexpr std::int64_t WINDOWS = 10'000;

Faults manyFaults()
{
    Faults faults;
    faults.kill = 0.0004;
    faults.freeze = 0.0004;
    faults.storeCut = 0.0004;
    faults.storeOutage = 0.0002;
    faults.restore = 0.0002;
    faults.reassign = 0.0005;
    faults.lostCall = 0.05;
    faults.lateCall = 0.05;
    faults.lostAnswer = 0.05;
    faults.busyAnswer = 0.1;
    return faults;
}

double reportedShare(const DutySimulation &simulation)
{
    return static_cast<double>(simulation.accepted.size()) / static_cast<double>(WINDOWS);
}

void checkRules(const DutySimulation &simulation)
{
    CHECK(simulation.differingReports == 0);
    CHECK(simulation.sharedTokens == 0);
    CHECK(simulation.lowerTokens == 0);
    CHECK(simulation.alternations == 0);
    CHECK(simulation.callsAfterRejection == 0);
}
} // namespace

// Guards against two reports with different counts for a window, a token of two processes, a lower token after a higher one, and a lease that alternates.
TEST_CASE("Usage reports keep the rules of the platform under all faults together", "[random][duties]")
{
    const bool fencesChecked = GENERATE(true, false);
    const std::uint64_t seed = GENERATE(3, 5, 9, 14);
    DutySimulation simulation(seed, manyFaults(), fencesChecked);
    simulation.run(WINDOWS);
    checkRules(simulation);
    CHECK(simulation.holderChanges > 100);
    CHECK(simulation.restores > 100);
    WARN("share of windows reported: " << reportedShare(simulation) << ", holder changes " << simulation.holderChanges << ", restores " << simulation.restores);
}

// Guards against a reporter that keeps the rules by reporting nothing.
TEST_CASE("All windows are reported while only single processes end", "[random][duties]")
{
    Faults faults;
    faults.kill = 0.0001;
    DutySimulation simulation(4, faults, true);
    simulation.run(WINDOWS);
    checkRules(simulation);
    CHECK(reportedShare(simulation) > 0.999);
}
