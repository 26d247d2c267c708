#include "../../src/gateway/roomwaiters.h"
#include "routerfleet.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <list>

using namespace mimosatally;
using namespace mimosatally::internal;
using namespace mimosatally::test;

// Guards against a free place that goes to a less urgent call, or to one that came later, while a more urgent one waits.
TEST_CASE("A free place wakes the most urgent call that waits, and of equals the one whose target ends first", "[contention]")
{
    boost::asio::io_context io;
    RoomWaiters waiters;
    std::string woken;
    const std::vector<std::pair<std::string, WaitingOrder>> calls = {{"check", {1, at(0)}}, {"late hint", {0, at(20)}}, {"hint", {0, at(10)}}};
    std::list<boost::asio::steady_timer> timers;
    std::list<RoomWaiters::Entry> entries;
    for (const auto &[name, order] : calls) {
        timers.emplace_back(io, std::chrono::hours(1)).async_wait([&woken, text = name](const boost::system::error_code &error) {
            woken += error ? text + " " : "";
        });
        entries.emplace_back(waiters, MODEL, order, timers.back());
    }
    CHECK(waiters.ahead(MODEL, {1, at(0)}) == 2);
    CHECK(waiters.ahead(MODEL, {0, at(10)}) == 0);
    CHECK(waiters.ahead(PLAIN, {1, at(0)}) == 0);
    waiters.wakeFirst(MODEL);
    io.poll();
    CHECK(woken == "hint ");
    entries.pop_back();
    waiters.wakeFirst(MODEL);
    io.restart();
    io.poll();
    CHECK(woken == "hint late hint ");
    waiters.wakeAll();
    io.restart();
    io.poll();
    CHECK(woken == "hint late hint check ");
}
