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

std::size_t numberIn(std::string_view text)
{
    std::size_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// \brief What the lines say of one call so far.
struct CallState {
    int line = 0;
    bool ended = false;
    bool mayHaveRun = false;
    bool runsOnce = false;
};

/// \brief One process from its start on.
struct ProcessState {
    LineChain chain;
    int lastLine = 0;
    /// \brief The file begins within a section, which cannot be checked.
    bool startMissing = false;
    std::map<std::string, CallState> calls;
};
} // namespace

struct LineVerifier::Impl {
    explicit Impl(std::string fileName)
        : file(std::move(fileName))
    {
    }

    void addFinding(int at, std::string message)
    {
        report.findings.push_back({{file, at}, std::move(message)});
    }

    ProcessState &processOf(const LogLine &line);
    void endProcess(const std::string &name, const ProcessState &process, LineReport &target) const;
    void addCheckpoint(ProcessState &process, const LogLine &line);
    void addPlaced(ProcessState &process, const LogLine &line);
    void addAttempt(ProcessState &process, const LogLine &line);
    void addEnd(ProcessState &process, const LogLine &line);

    std::string file;
    int number = 0;
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

ProcessState &LineVerifier::Impl::processOf(const LogLine &line)
{
    const std::string name = line.field("process");
    const auto known = processes.find(name);
    if (line.is(LogEvent::ProcessStarted)) {
        if (known != processes.end()) {
            endProcess(name, known->second, report);
            processes.erase(known);
        }
        ++report.processes;
        return processes[name];
    }
    if (known == processes.end()) {
        report.openEnds.push_back(
            {{file, number}, "the start of process \"" + name + "\" is not in this file; its lines up to the first checkpoint are not checked"});
        processes[name].startMissing = true;
    }
    return processes[name];
}

void LineVerifier::Impl::endProcess(const std::string &name, const ProcessState &process, LineReport &target) const
{
    if (process.chain.lines() > 0) {
        target.openEnds.push_back({{file, process.lastLine},
                                   "the last " + std::to_string(process.chain.lines()) + " lines of process \"" + name + "\" are covered by no checkpoint"});
    }
    const auto open = std::ranges::count_if(process.calls, [](const auto &entry) {
        return !entry.second.ended;
    });
    if (open > 0) {
        target.openEnds.push_back({{file, process.lastLine}, std::to_string(open) + " calls of process \"" + name + "\" have no end"});
    }
}

void LineVerifier::Impl::addCheckpoint(ProcessState &process, const LogLine &line)
{
    ++report.checkpoints;
    const std::string stated = line.field("digest");
    const bool matches = stated == process.chain.digest() && line.field("lines") == std::to_string(process.chain.lines());
    if (!matches && !process.startMissing) {
        addFinding(number,
                   "the lines since the last checkpoint of process \"" + line.field("process") + "\" are not the ones that it wrote: " + line.field("lines")
                       + " lines are stated, " + std::to_string(process.chain.lines()) + " are there");
    }
    process.startMissing = false;
    process.chain.beginSection(stated);
}

void LineVerifier::Impl::addPlaced(ProcessState &process, const LogLine &line)
{
    const std::string id = line.field("request");
    CallState &call = process.calls[id];
    if (call.mayHaveRun && call.runsOnce) {
        addFinding(number, "call " + id + " may run once only and was tried again after an attempt that may have run");
    }
    call.line = number;
    call.runsOnce = line.field("repeat") == "once";
}

void LineVerifier::Impl::addAttempt(ProcessState &process, const LogLine &line)
{
    if (line.field("may_have_run") == "true") {
        process.calls[line.field("request")].mayHaveRun = true;
    }
}

void LineVerifier::Impl::addEnd(ProcessState &process, const LogLine &line)
{
    const std::string id = line.field("request");
    CallState &call = process.calls[id];
    if (call.ended) {
        addFinding(number, "call " + id + " ended before, at line " + std::to_string(call.line));
    }
    if (line.is(LogEvent::GatewayCallRefused) && call.mayHaveRun) {
        addFinding(number, "call " + id + " is refused as not run after an attempt that may have run");
    }
    call.ended = true;
    call.line = number;
    report.answered += line.is(LogEvent::GatewayCallAnswered) ? 1 : 0;
    report.refused += line.is(LogEvent::GatewayCallRefused) ? 1 : 0;
    report.failed += line.is(LogEvent::GatewayCallFailed) ? 1 : 0;
    report.callersGone += line.is(LogEvent::GatewayCallerGone) ? 1 : 0;
}

void LineVerifier::add(std::string_view text)
{
    Impl &impl = *impl_;
    ++impl.number;
    ++impl.report.lines;
    if (text.starts_with(DROPPED_PREFIX)) {
        impl.report.dropped += numberIn(text.substr(DROPPED_PREFIX.size()));
        return;
    }
    const std::optional<LogLine> line = internal::parseLogLine(text);
    if (!line) {
        impl.addFinding(impl.number, "is not a log line");
        return;
    }
    ProcessState &process = impl.processOf(*line);
    process.lastLine = impl.number;
    if (line->is(LogEvent::LogCheckpoint)) {
        impl.addCheckpoint(process, *line);
        return;
    }
    process.chain.add(text);
    if (line->is(LogEvent::GatewayCallPlaced)) {
        impl.addPlaced(process, *line);
    } else if (line->is(LogEvent::GatewayAttemptFailed)) {
        impl.addAttempt(process, *line);
    } else if (line->is(LogEvent::GatewayCallAnswered) || line->is(LogEvent::GatewayCallRefused) || line->is(LogEvent::GatewayCallFailed)
               || line->is(LogEvent::GatewayCallerGone)) {
        impl.addEnd(process, *line);
    }
}

LineReport LineVerifier::report() const
{
    LineReport result = impl_->report;
    for (const auto &[name, process] : impl_->processes) {
        impl_->endProcess(name, process, result);
    }
    return result;
}

} // namespace mimosatally
