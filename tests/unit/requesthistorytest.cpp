#include <catch2/catch.hpp>

#include "agent/requesthistory.h"

using namespace mimosatally;
using mimosatally::internal::IdFilter;
using mimosatally::internal::RequestHistory;

namespace
{
RequestId idOf(int number)
{
    return RequestId("request-" + std::to_string(number));
}
} // namespace

// Guards against reporting "never started" for a request that ran long ago.
TEST_CASE("A request that ran is never reported as not run", "[agent]")
{
    RequestHistory history;
    for (int i = 0; i < 100000; ++i) {
        history.recordRun(idOf(i));
    }
    int falseNegatives = 0;
    int falsePositives = 0;
    for (int i = 0; i < 100000; ++i) {
        falseNegatives += history.mayHaveRun(idOf(i)) ? 0 : 1;
        falsePositives += history.mayHaveRun(idOf(1000000 + i)) ? 1 : 0;
    }
    CHECK(falseNegatives == 0);
    CHECK(falsePositives < 100);
}

// Guards against a submit that arrives after its cancel and runs, although it was reported to the caller as never started.
TEST_CASE("A cancelled request stays cancelled, and a full filter takes no further ids", "[agent]")
{
    RequestHistory history;
    int recorded = 0;
    while (history.recordCancelled(idOf(recorded))) {
        ++recorded;
    }
    CHECK(recorded > 400000);
    int falseNegatives = 0;
    for (int i = 0; i < recorded; ++i) {
        falseNegatives += history.isCancelled(idOf(i)) ? 0 : 1;
    }
    CHECK(falseNegatives == 0);
    CHECK(history.recordCancelled(idOf(0)));
}

// Guards against a filter that fills up unnoticed and then reports every id as contained.
TEST_CASE("An id filter reports when it is full, at about one false positive in 100", "[agent]")
{
    IdFilter filter(1 << 16);
    int inserted = 0;
    while (!filter.isFull()) {
        filter.insert(idOf(inserted++));
    }
    int falsePositives = 0;
    for (int i = 0; i < 10000; ++i) {
        falsePositives += filter.mayContain(idOf(1000000 + i)) ? 1 : 0;
    }
    CHECK(falsePositives > 20);
    CHECK(falsePositives < 200);
}
