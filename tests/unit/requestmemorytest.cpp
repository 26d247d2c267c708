#include <catch2/catch.hpp>

#include "agent/requestmemory.h"

using namespace mimosatally;
using mimosatally::internal::IdFilter;
using mimosatally::internal::RequestMemory;

namespace
{
RequestId idOf(int number)
{
    return RequestId("request-" + std::to_string(number));
}
} // namespace

// Guards against the word "never started" about a request that ran long ago.
TEST_CASE("A request that ran is never forgotten", "[agent]")
{
    RequestMemory memory;
    for (int i = 0; i < 100000; ++i) {
        memory.recordRun(idOf(i));
    }
    int forgotten = 0;
    int wronglyRemembered = 0;
    for (int i = 0; i < 100000; ++i) {
        forgotten += memory.mayHaveRun(idOf(i)) ? 0 : 1;
        wronglyRemembered += memory.mayHaveRun(idOf(1000000 + i)) ? 1 : 0;
    }
    CHECK(forgotten == 0);
    CHECK(wronglyRemembered < 100);
}

// Guards against a submit that arrives after its cancel and runs although the caller was told that it has not.
TEST_CASE("A renounced request stays renounced, and no word is given once the memory is used up", "[agent]")
{
    RequestMemory memory;
    int renounced = 0;
    while (memory.renounce(idOf(renounced))) {
        ++renounced;
    }
    CHECK(renounced > 400000);
    int forgotten = 0;
    for (int i = 0; i < renounced; ++i) {
        forgotten += memory.isRenounced(idOf(i)) ? 0 : 1;
    }
    CHECK(forgotten == 0);
    CHECK(memory.renounce(idOf(0)));
}

// Guards against a filter that fills up and then takes every id as seen without anyone knowing.
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
