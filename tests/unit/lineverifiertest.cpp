#include <catch2/catch.hpp>

#include <mimosatally/Audit>

#include <sstream>

using namespace mimosatally;

namespace
{
/// \brief Log lines of one gateway, with valid checkpoint digests.
class GatewayLines
{
public:
    explicit GatewayLines(std::string process)
        : process_(std::move(process))
    {
        add("MT1001 ProcessStarted", "version=1");
    }

    void add(const std::string &event, const std::string &fields)
    {
        lines.push_back("2026-05-02T04:54:21.068647 info " + event + " process=" + process_ + ' ' + fields);
        chain_.add(lines.back());
    }

    void addCheckpoint()
    {
        const std::string digest = chain_.digest();
        lines.push_back("2026-05-02T04:54:22.068647 info MT1006 LogCheckpoint process=" + process_ + " lines=" + std::to_string(chain_.lines())
                        + " digest=" + digest);
        chain_.beginSection(digest);
    }

    /// \brief Adds a call that is answered by its first endpoint.
    void addCall(const std::string &id)
    {
        add("MT5001 GatewayCallPlaced", "request=" + id + " route=r repeat=once attempt=1 reason=\"a b=c\"");
        add("MT5002 GatewayCallAnswered", "request=" + id + " status=200");
    }

    std::vector<std::string> lines;

private:
    std::string process_;
    LineChain chain_;
};

LineReport verify(const std::vector<std::string> &lines)
{
    LineVerifier verifier("file");
    for (const std::string &line : lines) {
        verifier.add(line);
    }
    return verifier.report();
}

GatewayLines writeTwoSections()
{
    GatewayLines log("g1");
    log.addCall("c1");
    log.addCheckpoint();
    log.addCall("c2");
    log.addCall("c3");
    log.addCheckpoint();
    return log;
}
} // namespace

TEST_CASE("Lines that a gateway wrote are verified without findings", "[audit]")
{
    const LineReport report = verify(writeTwoSections().lines);
    CHECK(report.findings.empty());
    CHECK(report.openEnds.empty());
    CHECK(report.answered == 3);
    CHECK(report.checkpoints == 2);
}

// Guards against changes to written log lines that go undetected.
TEST_CASE("A line that was altered, removed, added or moved is a finding of its section alone", "[audit]")
{
    const std::vector<std::string> lines = writeTwoSections().lines;
    std::vector<std::string> altered = lines;
    altered[2].replace(altered[2].find("200"), 3, "500");
    std::vector<std::string> removed = lines;
    removed.erase(removed.begin() + 1);
    std::vector<std::string> added = lines;
    added.insert(added.begin() + 2, added[2]);
    std::vector<std::string> moved = lines;
    std::swap(moved[1], moved[2]);
    for (const auto &changed : {altered, removed, moved}) {
        CHECK(verify(changed).findings.size() == 1);
    }
    // A second answer to the call and the wrong digest.
    CHECK(verify(added).findings.size() == 2);
}

// Guards against a checkpoint that was recomputed after lines of its section were changed.
TEST_CASE("A recomputed checkpoint contradicts the next one", "[audit]")
{
    GatewayLines forged("g1");
    forged.addCall("c9");
    forged.addCheckpoint();
    std::vector<std::string> lines = writeTwoSections().lines;
    std::copy(forged.lines.begin(), forged.lines.end(), lines.begin());
    const LineReport report = verify(lines);
    REQUIRE(report.findings.size() == 1);
    CHECK(report.findings[0].location.line == static_cast<int>(lines.size()));
}

// Guards against calls that count as open, or as ended twice, because their answer could not be written, and against a denied run of a caller that has gone.
TEST_CASE("Calls whose answer could not be written have ended, and a caller that has gone is not told that a run did not happen", "[audit]")
{
    GatewayLines gateway("g1");
    gateway.add("MT5001 GatewayCallPlaced", "request=a route=r repeat=once attempt=1 reason=x");
    gateway.add("MT5008 GatewayCallUndelivered", "request=a route=r error=x");
    gateway.addCall("b");
    gateway.add("MT5008 GatewayCallUndelivered", "request=b route=r error=x");
    gateway.add("MT5001 GatewayCallPlaced", "request=c route=r repeat=once attempt=1 reason=x");
    gateway.add("MT5005 GatewayAttemptFailed", "request=c may_have_run=true");
    gateway.add("MT5006 GatewayCallerGone", "request=c after_ms=3 runs=1 status=502");
    gateway.addCheckpoint();
    const LineReport sound = verify(gateway.lines);
    CHECK(sound.findings.empty());
    CHECK(sound.openEnds.empty());
    gateway.add("MT5001 GatewayCallPlaced", "request=d route=r repeat=once attempt=1 reason=x");
    gateway.add("MT5005 GatewayAttemptFailed", "request=d may_have_run=true");
    gateway.add("MT5006 GatewayCallerGone", "request=d after_ms=3 runs=1 status=503");
    gateway.addCheckpoint();
    CHECK(verify(gateway.lines).findings.size() == 1);
}

// Guards against a call that is refused as not run although it may have run, and against a second run of a call that may run once only,
// such as a payment.
TEST_CASE("Decisions on a call that contradict each other are findings", "[audit]")
{
    GatewayLines log("g1");
    log.add("MT5001 GatewayCallPlaced", "request=c1 repeat=once attempt=1");
    log.add("MT5005 GatewayAttemptFailed", "request=c1 may_have_run=true error=\"read: end of \\\"stream\\\"\"");
    log.add("MT5001 GatewayCallPlaced", "request=c1 repeat=once attempt=2");
    log.add("MT5003 GatewayCallRefused", "request=c1 reason=deadline");
    log.add("MT5001 GatewayCallPlaced", "request=c2 repeat=idempotent attempt=1");
    log.add("MT5005 GatewayAttemptFailed", "request=c2 may_have_run=true");
    log.add("MT5001 GatewayCallPlaced", "request=c2 repeat=idempotent attempt=2");
    log.add("MT5002 GatewayCallAnswered", "request=c2 status=200");
    log.addCheckpoint();
    const LineReport report = verify(log.lines);
    REQUIRE(report.findings.size() == 2);
    CHECK(report.findings[0].location.line == 4);
    CHECK(report.findings[1].location.line == 5);
}

TEST_CASE("The last lines of a killed process and calls without an outcome are open ends", "[audit]")
{
    GatewayLines log("g1");
    log.addCheckpoint();
    log.add("MT5001 GatewayCallPlaced", "request=c1 repeat=once attempt=1");
    GatewayLines other("g2");
    other.addCall("c1");
    other.addCheckpoint();
    std::vector<std::string> lines = log.lines;
    lines.insert(lines.end(), other.lines.begin(), other.lines.end());
    const LineReport report = verify(lines);
    CHECK(report.findings.empty());
    CHECK(report.openEnds.size() == 2);
    CHECK(report.processes == 2);
}

// Guards against false findings in a file that the log collector started in the middle of a section.
TEST_CASE("A file without the start of a process is checked from its first checkpoint on", "[audit]")
{
    std::vector<std::string> lines = writeTwoSections().lines;
    lines.erase(lines.begin(), lines.begin() + 2);
    LineReport report = verify(lines);
    CHECK(report.findings.empty());
    CHECK(report.openEnds.size() == 1);
    lines.erase(lines.begin() + 3);
    CHECK(verify(lines).findings.size() == 1);
}

TEST_CASE("Dropped lines are counted and not included in the digest", "[audit]")
{
    GatewayLines log("g1");
    log.addCall("c1");
    log.lines.emplace_back("log lines dropped: 7");
    log.addCheckpoint();
    const LineReport report = verify(log.lines);
    CHECK(report.findings.empty());
    CHECK(report.dropped == 7);
}

// Guards against a finding that sends the reader to a later placement instead of the line with the first outcome.
TEST_CASE("A second outcome of a call is reported with the line of the first one", "[lines]")
{
    GatewayLines log("g1");
    log.addCall("r1");
    log.addCall("r1");
    const LineReport report = verify(log.lines);
    REQUIRE(report.findings.size() == 1);
    CHECK(report.findings[0].message == "call r1 already ended at line 3");
}
