#include <mimosatally/Usage>

#include <catch2/catch.hpp>

#include <ctime>

using namespace mimosatally;

namespace
{
const OrganisationId HUKA("huka270");
const OrganisationId PUHU("puhu251");
const UsageWindow WINDOW(353'445'120);
const UsageWindow NEXT = WINDOW + UsageWindow(1);
const UsageWindow AFTER = WINDOW + UsageWindow(2);

UsageNotice notice(const std::string &process, UsageWindow window, UsageCounts counts, std::optional<std::int64_t> closedTotal = std::nullopt)
{
    return {ProcessId(process), window, 1, closedTotal.has_value(), std::move(counts), closedTotal};
}

UsageLedger ledgerAt(UsageWindow current)
{
    UsageLedger ledger(ProcessId("self"));
    ledger.advance(current);
    return ledger;
}

/// \brief Least processor time of several sums of a window in which each of \a processes has counted 200 organisations, in seconds.
double timeOfTotals(int processes)
{
    UsageLedger ledger = ledgerAt(WINDOW);
    UsageCounts counts;
    for (int i = 0; i < 200; ++i) {
        counts.emplace("organisation-" + std::to_string(i), 1);
    }
    for (int i = 0; i < processes; ++i) {
        ledger.record(notice(std::to_string(i), WINDOW, counts, 200));
    }
    double least = 1;
    for (int i = 0; i < 30; ++i) {
        const std::clock_t begun = std::clock();
        CHECK(ledger.totals(WINDOW).counts.size() == 200);
        least = std::min(least, static_cast<double>(std::clock() - begun) / CLOCKS_PER_SEC);
    }
    return least;
}
} // namespace

// Guards against a report without the counts of a process, with counts twice, or before a process that is known has told its last counts.
TEST_CASE("The ledger adds up the newest counts of all processes and names those that have not closed the window", "[usage]")
{
    UsageLedger ledger = ledgerAt(WINDOW);
    CHECK(ledger.count(WINDOW, HUKA));
    ledger.record(notice("a", WINDOW, {{HUKA, 5}}));
    ledger.record(notice("a", WINDOW, {{HUKA, 7}, {PUHU, 1}}));
    // A datagram that was overtaken, one that came twice, and one of this process.
    ledger.record(notice("a", WINDOW, {{HUKA, 5}}));
    ledger.record(notice("b", WINDOW - UsageWindow(1), {}));
    ledger.record(notice("self", WINDOW, {{HUKA, 100}}));
    CHECK(ledger.totals(WINDOW).counts == UsageCounts {{HUKA, 8}, {PUHU, 1}});
    CHECK(ledger.totals(WINDOW).unclosed == std::vector {ProcessId("a"), ProcessId("b"), ProcessId("self")});

    // Two datagrams hold the last notice of a; the second one comes later.
    ledger.record(notice("a", WINDOW, {{HUKA, 9}}, 12));
    CHECK(ledger.totals(WINDOW).unclosed.front() == ProcessId("a"));
    ledger.record(notice("a", WINDOW, {{PUHU, 3}}, 12));
    ledger.record(notice("b", WINDOW, {}, 0));
    ledger.advance(NEXT);
    CHECK(ledger.totals(WINDOW).counts == UsageCounts {{HUKA, 10}, {PUHU, 3}});
    CHECK(ledger.totals(WINDOW).unclosed.empty());
    // A notice that states no sum is whole.
    ledger.record({ProcessId("c"), WINDOW, 1, true, {{HUKA, 1}}, std::nullopt});
    CHECK(ledger.totals(WINDOW).unclosed.empty());
}

// Guards against counts that are added to a window that others take for closed, against a clock that opens a closed window again, and against a last
// notice that is lost with one datagram.
TEST_CASE("A process counts in windows that it has not closed, and tells a closed one several times", "[usage]")
{
    UsageLedger ledger(ProcessId("self"));
    CHECK_FALSE(ledger.count(WINDOW, HUKA));
    ledger.advance(WINDOW);
    CHECK(ledger.count(WINDOW, HUKA));
    CHECK(ledger.count(NEXT, HUKA));
    CHECK(ledger.takeNotices(false).size() == 2);
    CHECK(ledger.takeNotices(false).empty());
    CHECK(ledger.takeNotices(true).size() == 2);
    ledger.advance(NEXT);
    ledger.advance(WINDOW);
    CHECK_FALSE(ledger.count(WINDOW, HUKA));
    CHECK_FALSE(ledger.count(NEXT + UsageWindow(3), HUKA));
    for (int i = 0; i < UsageLedger::CLOSED_NOTICES; ++i) {
        const std::vector<UsageNotice> notices = ledger.takeNotices(false);
        REQUIRE(notices.size() == 1);
        CHECK(notices[0].closed);
        CHECK(notices[0].closedTotal == 1);
        CHECK(notices[0].sequence == static_cast<std::uint64_t>(i) + 3);
    }
    CHECK(ledger.takeNotices(false).empty());
    // A process that ends is not waited for, neither in its last window nor in the next one.
    ledger.leave();
    CHECK(ledger.totals(NEXT).unclosed.empty());
    CHECK(ledger.totals(AFTER).unclosed.empty());
    CHECK_FALSE(ledger.count(AFTER, HUKA));
}

// Guards against memory that grows with forged or old notices, counts that go down, and forged notices that keep the counts of this process out.
TEST_CASE("Notices cannot make the ledger grow without bound", "[usage]")
{
    UsageLedger ledger = ledgerAt(WINDOW);
    for (const UsageWindow window : {UsageWindow(0), UsageWindow(-1), WINDOW - UsageWindow(UsageLedger::MAX_WINDOWS), WINDOW + UsageWindow(3)}) {
        ledger.record(notice("a", window, {{HUKA, 1}}));
    }
    CHECK(ledger.ignoredNotices() == 4);
    ledger.record(notice("a", WINDOW, {{HUKA, -5}, {PUHU, UsageLedger::MAX_COUNT + 1}}));
    CHECK(ledger.totals(WINDOW).counts.empty());
    for (std::size_t i = 0; i < UsageLedger::MAX_PROCESSES + 10; ++i) {
        UsageCounts counts;
        for (int organisation = 0; organisation < 300; ++organisation) {
            counts[OrganisationId(std::to_string(organisation))] = 1;
        }
        ledger.record(notice("p" + std::to_string(i), WINDOW, std::move(counts)));
    }
    CHECK(ledger.totals(WINDOW).unclosed.size() == UsageLedger::MAX_PROCESSES + 1);
    std::int64_t sum = 0;
    for (const auto &[organisation, count] : ledger.totals(WINDOW).counts) {
        sum += count;
    }
    CHECK(sum == static_cast<std::int64_t>(UsageLedger::MAX_COUNTS));
    CHECK(ledger.count(WINDOW, HUKA));
    CHECK(ledger.totals(WINDOW).counts.at(HUKA) == 1);
    // Windows that are dropped give their room back.
    ledger.advance(WINDOW + UsageWindow(UsageLedger::MAX_WINDOWS));
    CHECK(ledger.totals(WINDOW).counts.empty());
    ledger.record(notice("a", WINDOW + UsageWindow(UsageLedger::MAX_WINDOWS), {{HUKA, 4}}));
    CHECK(ledger.totals(WINDOW + UsageWindow(UsageLedger::MAX_WINDOWS)).counts.at(HUKA) == 4);

    // A time of day that is hours ahead at the start must not make all runs late until then.
    ledger.advance(WINDOW + UsageWindow(1000));
    ledger.advance(WINDOW);
    CHECK(ledger.count(WINDOW, HUKA));
    CHECK(ledger.totals(WINDOW).counts == UsageCounts {{HUKA, 1}});

    CHECK_FALSE(ledger.lastWritten());
    ledger.recordWritten(NEXT);
    ledger.recordWritten(WINDOW);
    CHECK(ledger.lastWritten() == NEXT);
}

// Guards against a sum over the counts of all processes each time that the holder of the lease asks for a window, which stops its event loop.
TEST_CASE("The time for the sum of a window does not grow with the number of counts", "[usage]")
{
    CHECK(timeOfTotals(200) < 10 * timeOfTotals(2));
}

// Guards against sums that differ from the counts after notices that are repeated, rejected in part or for windows that are dropped.
TEST_CASE("The sum of a window is that of the newest counts in any order of notices", "[usage]")
{
    UsageLedger ledger = ledgerAt(WINDOW);
    for (int i = 0; i < 50; ++i) {
        const UsageWindow window = WINDOW + UsageWindow(i % 3);
        ledger.record(notice("p" + std::to_string(i % 7), window, {{HUKA, 1 + i % 5}, {PUHU, i % 2 == 0 ? -1 : 2}}));
        CHECK(ledger.count(window, HUKA));
    }
    UsageLedger other = ledgerAt(WINDOW);
    for (int i = 49; i >= 0; --i) {
        const UsageWindow window = WINDOW + UsageWindow(i % 3);
        other.record(notice("p" + std::to_string(i % 7), window, {{PUHU, i % 2 == 0 ? -1 : 2}, {HUKA, 1 + i % 5}}));
        CHECK(other.count(window, HUKA));
    }
    for (const UsageWindow window : {WINDOW, NEXT, AFTER}) {
        CHECK(ledger.totals(window).counts == other.totals(window).counts);
    }
    ledger.advance(NEXT + UsageWindow(UsageLedger::MAX_WINDOWS));
    CHECK(ledger.totals(NEXT).counts.empty());
    CHECK_FALSE(ledger.totals(AFTER).counts.empty());
}
