#include "logsession.h"

#include <mimosatally/Audit>

#include <fstream>
#include <iostream>
#include <sstream>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
/// \brief Keeps a response within the client's limit of 16 MiB, as a batch has up to 64 KiB.
constexpr int MAX_RECORDS_PER_READ = 100;
constexpr Duration REQUEST_TIMEOUT(10'000);

awaitable<int> exportStream(boost::asio::io_context &io, const Arguments &arguments)
{
    const std::string path = stringArgument(arguments, "--out");
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    LogClient client(io, parseAddress(stringArgument(arguments, "--log")));
    Offset next;
    std::size_t count = 0;
    bool reachedEnd = false;
    while (!reachedEnd) {
        const LogReadResult result = co_await client.read("audit", next, MAX_RECORDS_PER_READ, REQUEST_TIMEOUT);
        if (result.hasGap) {
            std::cerr << "records " << next.count() << " to " << result.records.front().offset.count() - 1 << " were removed by the log's retention\n";
        }
        for (const LogRecord &record : result.records) {
            file << record.payload << '\n';
            next = record.offset + Offset(1);
            ++count;
        }
        reachedEnd = result.records.empty();
    }
    file.close();
    if (!file) {
        throw UsageError(path + " cannot be written; check the path and the space on the disk");
    }
    std::cout << count << " batches written to " << path << '\n';
    co_return ExitCode::Success;
}

void printFindings(const char *kind, const std::vector<Finding> &findings)
{
    for (const Finding &finding : findings) {
        std::cout << kind << ": " << toString(finding) << '\n';
    }
}

int verifyLines(const std::string &path, std::istream &lines)
{
    LineVerifier verifier(path);
    for (std::string line; std::getline(lines, line);) {
        verifier.add(line);
    }
    const LineReport report = verifier.report();
    printFindings("finding", report.findings);
    printFindings("open end", report.openEnds);
    std::cout << report.lines << " lines of " << report.processes << " processes, " << report.checkpoints << " checkpoints, " << report.dropped
              << " lines dropped; calls: " << report.answered << " answered, " << report.refused << " refused, " << report.failed << " failed, "
              << report.callersDisconnected << " disconnected by caller; " << report.findings.size() << " findings, " << report.openEnds.size()
              << " open ends\n";
    return report.findings.empty() ? ExitCode::Success : ExitCode::Negative;
}

int verifyRecords(std::istream &lines)
{
    AuditVerifier verifier;
    Offset offset;
    for (std::string line; std::getline(lines, line);) {
        verifier.add(offset, line);
        offset += Offset(1);
    }
    const AuditReport report = verifier.verify();
    printFindings("finding", report.findings);
    printFindings("open end", report.openEnds);
    std::cout << report.records << " records in " << report.chains << " chains, " << report.dispatchesReplayed << " dispatches recomputed, "
              << report.dispatchesNotReplayed << " not recomputed, " << report.findings.size() << " findings, " << report.openEnds.size() << " open ends\n";
    return report.findings.empty() ? ExitCode::Success : ExitCode::Negative;
}

int verify(const std::string &path)
{
    std::istringstream lines(readFile(path));
    std::string first;
    std::getline(lines, first);
    lines.seekg(0);
    return LineVerifier::isLogLine(first) ? verifyLines(path, lines) : verifyRecords(lines);
}

int audit(const Arguments &arguments)
{
    if (arguments.at("verify").asBool()) {
        return verify(stringArgument(arguments, "FILE"));
    }
    boost::asio::io_context io;
    return runToEnd(io, exportStream(io, arguments));
}
} // namespace

const Command AUDIT_COMMAND = {"audit",
                               R"(Exports the audit records of the log into a file and verifies such a file.

Usage: mimosatally audit export --log=ADDR --out=FILE
       mimosatally audit verify FILE
       mimosatally audit --help

Options:
  --log=ADDR  Address of the log service, IP:PORT.
  --out=FILE  File to write, one batch per line.

`verify` takes an export, or the log lines of gateways. For an export it checks the hash chains and recomputes the order of
service; for log lines it checks the digests, and that the lines of each call are consistent. An open end is a chain without a closing record,
for example of a killed process; what came after it is unknown. Exit code 1 means findings.
)",
                               audit};

} // namespace mimosatally::internal
