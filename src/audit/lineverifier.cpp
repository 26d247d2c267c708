#include "audit/logline.h"

#include <mimosatally/Audit>

#include <algorithm>
#include <charconv>

namespace mimosatally
{

using internal::LogLine;

namespace
{
constexpr std::string_view DROPPED_PREFIX = "log lines dropped: ";

std::size_t parseNumber(std::string_view text)
{
    std::size_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// \brief State of one call according to the lines read so far.
struct CallState {
    /// \brief Line of the outcome.
    int endLine = 0;
    bool hasEnded = false;
    bool mayHaveRun = false;
    bool atMostOnce = false;
};

/// \brief State of one process since its start.
struct ProcessState {
    LineChain chain;
    int lastLine = 0;
    /// \brief True if the file begins within a section, which cannot be checked.
    bool isStartMissing = false;
    std::map<std::string, CallState> calls;
};
} // namespace

struct LineVerifier::Impl {
    explicit Impl(std::string fileName)
        : file(std::move(fileName))
    {
    }

    void addFinding(int line, std::string message)
    {
        report.findings.push_back({{file, line}, std::move(message)});
    }

    /// \brief Returns the state of the process that wrote \a line; a ProcessStarted line replaces an earlier state.
    ProcessState &findOrAddProcess(const LogLine &line);
    void reportOpenEnds(const std::string &name, const ProcessState &process, LineReport &target) const;
    void addCheckpoint(ProcessState &process, const LogLine &line);
    void addPlacement(ProcessState &process, const LogLine &line);
    void addFailedAttempt(ProcessState &process, const LogLine &line);
    void addOutcome(ProcessState &process, const LogLine &line);
    /// \brief Ends a call whose answer could not be written.
    void addUndelivered(ProcessState &process, const LogLine &line);

    std::string file;
    int lineNumber = 0;
    LineReport report;
    std::map<std::string, ProcessState> processes;
};

LineVerifier::LineVerifier(std::string fileName)
    : impl_(std::make_unique<Impl>(std::move(fileName)))
{
}

LineVerifier::~LineVerifier() = default;

bool LineVerifier::isLogLine(std::string_view line)
{
    return line.starts_with(DROPPED_PREFIX) || internal::parseLogLine(line).has_value();
}

ProcessState &LineVerifier::Impl::findOrAddProcess(const LogLine &line)
{
    const std::string name = line.field("process");
    const auto known = processes.find(name);
    if (line.is(LogEvent::ProcessStarted)) {
        if (known != processes.end()) {
            reportOpenEnds(name, known->second, report);
            processes.erase(known);
        }
        ++report.processes;
        return processes[name];
    }
    if (known == processes.end()) {
        report.openEnds.push_back(
            {{file, lineNumber}, "the start of process \"" + name + "\" is not in this file; its lines up to the first checkpoint are not checked"});
        processes[name].isStartMissing = true;
    }
    return processes[name];
}

void LineVerifier::Impl::reportOpenEnds(const std::string &name, const ProcessState &process, LineReport &target) const
{
    if (process.chain.lines() > 0) {
        target.openEnds.push_back({{file, process.lastLine},
                                   "the last " + std::to_string(process.chain.lines()) + " lines of process \"" + name + "\" are not covered by a checkpoint"});
    }
    const auto open = std::ranges::count_if(process.calls, [](const auto &entry) {
        return !entry.second.hasEnded;
    });
    if (open > 0) {
        target.openEnds.push_back({{file, process.lastLine}, std::to_string(open) + " calls of process \"" + name + "\" have no outcome"});
    }
}

void LineVerifier::Impl::addCheckpoint(ProcessState &process, const LogLine &line)
{
    ++report.checkpoints;
    const std::string stated = line.field("digest");
    const bool matches = stated == process.chain.digest() && line.field("lines") == std::to_string(process.chain.lines());
    if (!matches && !process.isStartMissing) {
        addFinding(lineNumber,
                   "the lines since the last checkpoint of process \"" + line.field("process") + "\" do not match its next checkpoint: " + line.field("lines")
                       + " lines stated, " + std::to_string(process.chain.lines()) + " found");
    }
    process.isStartMissing = false;
    process.chain.beginSection(stated);
}

void LineVerifier::Impl::addPlacement(ProcessState &process, const LogLine &line)
{
    const std::string id = line.field("request");
    CallState &call = process.calls[id];
    if (call.mayHaveRun && call.atMostOnce) {
        addFinding(lineNumber, "call " + id + " may run once only but was retried after an attempt that may have run");
    }
    call.atMostOnce = line.field("repeat") == "once";
}

void LineVerifier::Impl::addFailedAttempt(ProcessState &process, const LogLine &line)
{
    if (line.field("may_have_run") == "true") {
        process.calls[line.field("request")].mayHaveRun = true;
    }
}

void LineVerifier::Impl::addOutcome(ProcessState &process, const LogLine &line)
{
    const std::string id = line.field("request");
    CallState &call = process.calls[id];
    if (call.hasEnded) {
        addFinding(lineNumber, "call " + id + " already ended at line " + std::to_string(call.endLine));
    }
    const bool deniesRun = line.is(LogEvent::GatewayCallRefused) || (line.is(LogEvent::GatewayCallerGone) && line.field("status") == "503");
    if (deniesRun && call.mayHaveRun) {
        addFinding(lineNumber, "call " + id + " was refused as not run after an attempt that may have run");
    }
    call.hasEnded = true;
    call.endLine = lineNumber;
    report.answered += line.is(LogEvent::GatewayCallAnswered) ? 1 : 0;
    report.refused += line.is(LogEvent::GatewayCallRefused) ? 1 : 0;
    report.failed += line.is(LogEvent::GatewayCallFailed) ? 1 : 0;
    report.callersDisconnected += line.is(LogEvent::GatewayCallerGone) ? 1 : 0;
}

void LineVerifier::Impl::addUndelivered(ProcessState &process, const LogLine &line)
{
    // The line of the call's own result may stand before it.
    CallState &call = process.calls[line.field("request")];
    if (!call.hasEnded) {
        call.hasEnded = true;
        call.endLine = lineNumber;
        ++report.failed;
    }
}

void LineVerifier::add(std::string_view text)
{
    Impl &impl = *impl_;
    ++impl.lineNumber;
    ++impl.report.lines;
    if (text.starts_with(DROPPED_PREFIX)) {
        impl.report.dropped += parseNumber(text.substr(DROPPED_PREFIX.size()));
        return;
    }
    const std::optional<LogLine> line = internal::parseLogLine(text);
    if (!line) {
        impl.addFinding(impl.lineNumber, "not a log line");
        return;
    }
    ProcessState &process = impl.findOrAddProcess(*line);
    process.lastLine = impl.lineNumber;
    if (line->is(LogEvent::LogCheckpoint)) {
        impl.addCheckpoint(process, *line);
        return;
    }
    process.chain.add(text);
    if (line->is(LogEvent::GatewayCallPlaced)) {
        impl.addPlacement(process, *line);
    } else if (line->is(LogEvent::GatewayAttemptFailed)) {
        impl.addFailedAttempt(process, *line);
    } else if (line->is(LogEvent::GatewayCallUndelivered)) {
        impl.addUndelivered(process, *line);
    } else if (line->is(LogEvent::GatewayCallAnswered) || line->is(LogEvent::GatewayCallRefused) || line->is(LogEvent::GatewayCallFailed)
               || line->is(LogEvent::GatewayCallerGone)) {
        impl.addOutcome(process, *line);
    }
}

LineReport LineVerifier::report() const
{
    LineReport result = impl_->report;
    for (const auto &[name, process] : impl_->processes) {
        impl_->reportOpenEnds(name, process, result);
    }
    return result;
}

} // namespace mimosatally
