#include "contentionloop.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
ContentionLoop uncontrolled(LoopLoad load)
{
    load.controlled = false;
    return ContentionLoop(load);
}
} // namespace

// Guards against hints that are refused or late behind checks, against refused callers that come back in vain, and against calls that are held. Loads:
// bursts of 1.5, 2 and 4 times the capacity for 3 s, and of 1.5 and 2 times while 14% of the engines are gone for 4.8 s.
TEST_CASE("In a burst, urgent calls are served and refused callers find room when they come back", "[contention]")
{
    const auto [burst, gone] = GENERATE(std::pair(1.5, 0.0), std::pair(2.0, 0.0), std::pair(4.0, 0.0), std::pair(1.5, 0.14), std::pair(2.0, 0.14));
    const LoopLoad load {.burst = burst, .gone = gone};
    const ContentionLoop before = uncontrolled(load);
    const ContentionLoop after(load);
    INFO("returned and served " << before.all().returnedShare() << " -> " << after.all().returnedShare() << ", checks served " << before.checks.share()
                                << " -> " << after.checks.share() << ", on time " << before.checks.onTime << " -> " << after.checks.onTime << ", hints served "
                                << before.hints.share() << " -> " << after.hints.share());
    CHECK(after.checks.onTime >= before.checks.onTime);
    CHECK(after.hints.onTime >= before.hints.onTime);
    CHECK(after.hints.share() + 0.05 >= after.checks.share());
    CHECK(after.largeChecks.share() >= after.checks.share() / 2);
    CHECK(after.largeChecks.refusals * after.checks.offered <= 2 * after.checks.refusals * after.largeChecks.offered);
    CHECK(after.idleRefusals == 0);
    CHECK(after.longestRetryAfter <= Duration(2000) / 3);
    CHECK(after.longestWait <= Duration(250) + Duration(25));
}

// Guards against small organisations that are refused because a large one sends more than the engines can take. Load: one organisation with 99% of the
// calls, in a burst of 2 and 4 times the capacity.
TEST_CASE("The calls of an organisation above its share are refused first, and it is not starved", "[contention]")
{
    const double burst = GENERATE(2.0, 4.0);
    const ContentionLoop loop({.burst = burst, .largest = 0.99});
    INFO("first " << loop.first.share() << ", others " << loop.others.share() << " of " << loop.others.offered);
    CHECK(loop.others.share() >= 0.95);
    CHECK(loop.first.share() >= (loop.checks.share() + loop.hints.share()) / 8);
    CHECK(loop.idleRefusals == 0);
}

// Guards against a share that chance decides where organisations have few calls each, and against memory that grows with the organisations. Load: a burst
// of twice the capacity by 10,000 organisations.
TEST_CASE("Ten thousand organisations are served as often as few", "[contention]")
{
    const ContentionLoop few({.organisations = 8});
    const ContentionLoop many({.organisations = 10'000});
    CHECK(many.checks.share() >= few.checks.share() - 0.05);
    CHECK(many.hints.share() >= 0.95);
}
