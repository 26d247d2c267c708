#include "routing/requestpacer.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::internal;

namespace
{
Time at(int milliseconds)
{
    return Time(Duration(1'000'000 + milliseconds));
}

int takeAll(RequestPacer &pacer, Time now)
{
    int taken = 0;
    for (; pacer.hasPermit(now); ++taken) {
        pacer.take(now);
    }
    return taken;
}
} // namespace

// Guards against a burst after an idle time, which a limit in any window of four seconds does not allow.
TEST_CASE("Permits of more than a lifetime ago are not added up", "[limit]")
{
    RequestPacer pacer(20, 0, at(0));
    CHECK(takeAll(pacer, at(60'000)) <= 21);
    CHECK(takeAll(pacer, at(60'001)) == 0);
    CHECK(takeAll(pacer, at(60'500)) == 10);
}

// Guards against processes that start in step: at a rate of one in many seconds, the first permits of all would come at once.
TEST_CASE("The first permit comes after the given part of an interval", "[limit]")
{
    RequestPacer pacer(0.1, 0.4, at(0));
    CHECK_FALSE(pacer.hasPermit(at(3999)));
    CHECK(pacer.timeToPermit(at(0)) == Duration(4000));
    CHECK(pacer.hasPermit(at(4001)));
    // An unused permit is lost; the next one comes an interval after it.
    CHECK_FALSE(pacer.hasPermit(at(6000)));
    CHECK(pacer.timeToPermit(at(6000)) == Duration(8000));
}

TEST_CASE("Requests without a permit use up later ones, and a change of rate keeps them used", "[limit]")
{
    RequestPacer pacer(10, 0, at(0));
    for (int i = 0; i < 20; ++i) {
        pacer.take(at(0));
    }
    CHECK(pacer.timeToPermit(at(0)) == Duration(2000));
    pacer.setRate(20, at(0));
    CHECK(pacer.timeToPermit(at(0)) == Duration(1000));
    pacer.setRate(5, at(0));
    CHECK(pacer.timeToPermit(at(0)) == Duration(4000));
}

// Guards against a call that loses its place at the decode engine during its prefill, and against places that are kept for later bursts.
TEST_CASE("A permit that is given back is valid unless it was taken long ago", "[limit]")
{
    RequestPacer pacer(1, 0, at(0));
    pacer.take(at(0));
    pacer.giveBack(at(0), at(900));
    CHECK(takeAll(pacer, at(900)) == 1);
    pacer.take(at(1900));
    pacer.giveBack(at(1900), at(4950));
    CHECK(takeAll(pacer, at(4950)) <= 1);
}
