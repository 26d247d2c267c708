#include <catch2/catch.hpp>
#include <ctime>
#include <mimosatally/Usage>
#include <platform/usagecodec.h>

using namespace mimosatally;

namespace
{
constexpr std::int64_t WINDOW_MS = 5000;

/// \brief A reporter at a true time, with counts that the test sets.
class Holder
{
public:
    UsageAction next(std::int64_t unixMs)
    {
        now = unixMs;
        return reporter.next(view());
    }

    /// \brief Acquires a lease and carries out claim and read.
    void begin(std::int64_t token, std::int64_t unixMs, const std::optional<UsageRecord> &record, std::int64_t era = 0, std::int64_t eraSince = 0)
    {
        now = unixMs;
        reporter.acquire({token, Time(Duration(unixMs)), StoreEra(era), Time(Duration(eraSince))});
        REQUIRE(std::holds_alternative<UsageEpochClaim>(next(unixMs)));
        reporter.recordAppended();
        REQUIRE(std::holds_alternative<UsageRead>(next(unixMs)));
        reporter.recordRead(record, view());
    }

    UsageWrite expectWrite(std::int64_t unixMs)
    {
        const UsageAction action = next(unixMs);
        REQUIRE(std::holds_alternative<UsageWrite>(action));
        return std::get<UsageWrite>(action);
    }

    UsageReport expectSend(std::int64_t unixMs)
    {
        const UsageAction action = next(unixMs);
        REQUIRE(std::holds_alternative<UsageSend>(action));
        return std::get<UsageSend>(action).report;
    }

    bool waits(std::int64_t unixMs)
    {
        return std::holds_alternative<UsageWait>(next(unixMs));
    }

    UsageView view()
    {
        return {Time(Duration(now)),
                now,
                [this](UsageWindow window) {
                    return totals[window.count()];
                },
                heard};
    }

    UsageReporter reporter {{}};
    std::map<std::int64_t, WindowTotals> totals;
    std::optional<UsageWindow> heard;
    std::int64_t now = 0;
};

UsageReport report(std::int64_t window, std::int64_t count)
{
    return {UsageWindow(window), {{OrganisationId("a"), count}}};
}

UsageRecord record(std::vector<UsageReport> reports, std::int64_t next, std::optional<UsageWindow> settled = std::nullopt, std::int64_t era = 0)
{
    return {StoreEra(era), UsageWindow(next), settled, std::move(reports)};
}

/// \brief Reports of as many windows as a record holds, each with the same number of organisations.
UsageRecord largeRecord(int organisations)
{
    UsageRecord result;
    for (std::size_t window = 0; window < UsageRecord::MAX_REPORTS; ++window) {
        UsageReport &next = result.reports.emplace_back();
        next.window = UsageWindow(100 + static_cast<std::int64_t>(window));
        for (int i = 0; i < organisations; ++i) {
            next.counts.emplace("organisation-" + std::to_string(i), i);
        }
    }
    result.next = result.reports.back().window + UsageWindow(1);
    result.settled = result.reports.back().window;
    return result;
}

/// \brief Least processor time, in seconds, of 50 decisions of a holder that has nothing to do and knows reports of \a organisations.
double timeOfWaiting(int organisations)
{
    Holder holder;
    holder.begin(1, 108 * WINDOW_MS, largeRecord(organisations));
    double least = 1;
    for (int i = 0; i < 5; ++i) {
        const std::clock_t begun = std::clock();
        for (int decision = 0; decision < 50; ++decision) {
            CHECK(holder.waits(108 * WINDOW_MS + 1));
        }
        least = std::min(least, static_cast<double>(std::clock() - begun) / CLOCKS_PER_SEC);
    }
    return least;
}
} // namespace

// Guards against windows that are left out at the first start, and against reports that no later holder could repeat.
TEST_CASE("The first holder begins with the running window and writes before it sends", "[usage]")
{
    Holder holder;
    holder.begin(1, 100 * WINDOW_MS + 10, std::nullopt);
    CHECK(holder.waits(101 * WINDOW_MS - 1));
    // The counts of a process that is silent are awaited for 5 s.
    holder.totals[100].unclosed = {ProcessId("p")};
    holder.totals[101].unclosed = {ProcessId("p")};
    CHECK(holder.waits(101 * WINDOW_MS + 4999));
    const UsageWrite write = holder.expectWrite(102 * WINDOW_MS);
    REQUIRE(write.record.reports.size() == 1);
    CHECK(write.record.reports[0] == UsageReport {UsageWindow(100), {}});
    CHECK(write.unclosed.at(UsageWindow(100)) == std::vector<ProcessId> {ProcessId("p")});
    CHECK(write.record.next == UsageWindow(101));
    // The counts do not change while the append is repeated, nor does its number.
    holder.totals[100].counts[OrganisationId("a")] = 3;
    holder.reporter.recordStoreFailure(Time(Duration(holder.now)), 0);
    CHECK(holder.waits(holder.now + 49));
    const UsageWrite repeated = holder.expectWrite(holder.now + 50);
    CHECK(repeated.record == write.record);
    CHECK(repeated.sequence == write.sequence);
    holder.reporter.recordAppended();
    CHECK(holder.reporter.lastWritten() == UsageWindow(100));
    holder.totals[101].unclosed.clear();
    // Window 101 ended meanwhile; its report is written before that of window 100 is sent, but does not replace it.
    CHECK(holder.expectWrite(holder.now).record.reports.size() == 2);
    holder.reporter.recordAppended();
    CHECK(holder.expectSend(holder.now).window == UsageWindow(100));
}

// Guards against other counts than an earlier holder may have sent.
TEST_CASE("A new holder repeats what was written and not accepted, in order, with the same counts", "[usage]")
{
    Holder holder;
    holder.totals[50].counts[OrganisationId("a")] = 99;
    holder.begin(2, 52 * WINDOW_MS + 10, record({report(49, 1), report(50, 2), report(51, 3)}, 52, UsageWindow(49)));
    CHECK(holder.expectSend(holder.now) == report(50, 2));
    holder.reporter.recordSendFailure(Time(Duration(holder.now)), 0);
    CHECK(holder.waits(holder.now + 49));
    CHECK(holder.expectSend(holder.now + 50) == report(50, 2));
    holder.reporter.recordAccepted(UsageWindow(50));
    CHECK(holder.expectSend(holder.now) == report(51, 3));
    holder.reporter.lose();
    CHECK(holder.waits(holder.now));
    CHECK_FALSE(holder.reporter.token());
}

// Guards against a second report of a window that was written, sent and lost when the store returned from an older copy.
TEST_CASE("Windows that the store may have lost are not reported by a process that does not know them", "[usage][restore]")
{
    Holder holder;
    holder.heard = UsageWindow(55);
    holder.begin(1, 54 * WINDOW_MS, record({report(50, 2)}, 51, UsageWindow(50)), 1, 53 * WINDOW_MS + 100);
    const UsageWrite first = holder.expectWrite(57 * WINDOW_MS);
    CHECK(first.record.reports.back().window == UsageWindow(56));

    Holder unaware;
    // The report of window 50 can be a late append that was rejected before the restore, after another one had been sent.
    unaware.begin(1, 54 * WINDOW_MS, record({report(50, 2)}, 51), 1, 53 * WINDOW_MS + 100);
    const std::vector<UsageGap> gaps = unaware.reporter.takeMissed();
    REQUIRE(gaps.size() == 1);
    CHECK(gaps[0].first == UsageWindow(51));
    CHECK(gaps[0].count == 2);
    CHECK(gaps[0].maybeReported);
    const UsageWrite write = unaware.expectWrite(54 * WINDOW_MS);
    CHECK(write.record.reports.back().window == UsageWindow(53));
    CHECK(write.record.reports.size() == 1);
    CHECK(write.record.era == StoreEra(1));

    // The next holder takes over the decision, since the record is of the same era.
    Holder successor;
    successor.begin(2, 54 * WINDOW_MS + 100, write.record, 1, 54 * WINDOW_MS);
    CHECK(successor.expectSend(successor.now).window == UsageWindow(53));
}

// Guards against missed windows at each restore of the store.
TEST_CASE("The holder at the restore writes and sends its reports again", "[usage][restore]")
{
    Holder holder;
    holder.begin(1, 50 * WINDOW_MS, std::nullopt);
    holder.expectWrite(51 * WINDOW_MS);
    holder.reporter.recordAppended();
    holder.begin((1LL << 32) + 1, 51 * WINDOW_MS + 3500, std::nullopt, 1, 51 * WINDOW_MS + 100);
    CHECK(holder.reporter.takeMissed().empty());
    CHECK(holder.expectWrite(holder.now).record.reports.front().window == UsageWindow(50));

    // A holder that had not read what its predecessor wrote does not know it.
    Holder uninformed;
    uninformed.reporter.acquire({1, Time(Duration(50 * WINDOW_MS)), StoreEra(), Time()});
    REQUIRE(std::holds_alternative<UsageEpochClaim>(uninformed.next(51 * WINDOW_MS)));
    uninformed.begin((1LL << 32) + 1, 51 * WINDOW_MS + 3500, record({report(48, 2)}, 49), 1, 51 * WINDOW_MS + 100);
    REQUIRE(uninformed.reporter.takeMissed().size() == 1);
    CHECK(uninformed.expectWrite(52 * WINDOW_MS).record.reports.front().window == UsageWindow(51));
}

// Guards against an append without answer that takes effect in place of a later one with its number.
TEST_CASE("An append that may still take effect keeps its number, or ends the use of the token", "[usage]")
{
    Holder holder;
    holder.begin(1, 50 * WINDOW_MS, std::nullopt);
    const UsageWrite write = holder.expectWrite(51 * WINDOW_MS);
    holder.reporter.recordStoreFailure(Time(Duration(holder.now)), 0);
    holder.reporter.lose();
    holder.reporter.acquire({1, Time(Duration(holder.now)), StoreEra(), Time()});
    CHECK(holder.expectWrite(holder.now + 100).record == write.record);
    CHECK_FALSE(holder.reporter.recordOutOfSequence(0));
    CHECK_FALSE(holder.reporter.recordOutOfSequence(std::nullopt));
    CHECK(holder.reporter.recordOutOfSequence(4));
    CHECK(std::holds_alternative<UsageRead>(holder.next(holder.now)));
}

// Guards against reports that are repeated without end while the platform is down.
TEST_CASE("A window is given up 30 s after its report was due", "[usage]")
{
    Holder holder;
    holder.begin(1, 50 * WINDOW_MS, std::nullopt);
    holder.expectWrite(51 * WINDOW_MS);
    holder.reporter.recordAppended();
    for (std::int64_t window = 51; window < 58; ++window) {
        holder.expectWrite((window + 1) * WINDOW_MS);
        holder.reporter.recordAppended();
    }
    CHECK(holder.expectSend(59 * WINDOW_MS - 1).window == UsageWindow(50));
    CHECK(holder.expectWrite(59 * WINDOW_MS).record.reports.front().window == UsageWindow(51));
    holder.reporter.recordAppended();
    CHECK(holder.expectSend(holder.now).window == UsageWindow(51));
    const std::vector<UsageGap> gaps = holder.reporter.takeMissed();
    REQUIRE(gaps.size() == 1);
    CHECK(gaps[0].first == UsageWindow(50));
    CHECK_FALSE(gaps[0].maybeReported);
}

// Guards against reports that change on their way through the store, and against a crash on what others write there.
TEST_CASE("Usage records are read as they were written", "[usage][platform]")
{
    const UsageRecord written = record({report(353'445'120, 412), {UsageWindow(353'445'121), {}}}, 353'445'122, UsageWindow(353'445'119), 5);
    CHECK(platform::decodeUsageRecord(platform::encodeUsageRecord(written)) == written);
    CHECK(platform::encodeUsageReport(report(353'445'120, 412)) == R"({"counts":{"a":412},"window":353445120})");
    for (const char *text : {"", "[]", "{}", R"({"era":0,"next":1,"reports":[{"window":"x"}]})", R"({"era":0,"next":1,"reports":[{"window":1,"counts":3}]})"}) {
        CHECK_THROWS_AS(platform::decodeUsageRecord(text), MalformedInputError);
    }
}

// Guards against a record of many organisations that is written or read at once, which stops the event loop.
TEST_CASE("Usage records are written and read in small steps", "[usage][platform]")
{
    const UsageRecord written = largeRecord(1'200);
    std::size_t checkpoints = 0;
    const Checkpoint count = [&checkpoints] {
        ++checkpoints;
    };
    const std::string text = platform::encodeUsageRecord(written, count);
    CHECK(text == platform::encodeUsageRecord(written));
    CHECK(checkpoints >= written.reports.size());
    checkpoints = 0;
    CHECK(platform::decodeUsageRecord(text, count) == written);
    CHECK(checkpoints >= text.size() / 1'024);
}

// Guards against a holder that copies all reports several times a second while nothing is to be written.
TEST_CASE("The time for a decision does not grow with the organisations while nothing is to be done", "[usage]")
{
    CHECK(timeOfWaiting(2'000) < 20 * timeOfWaiting(2));
}
