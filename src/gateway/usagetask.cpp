#include "usagetask.h"

#include "core/piecework.h"

#include <platform/usagecodec.h>

#include <numeric>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
constexpr Duration STORE_TIMEOUT = Duration(800);
constexpr Duration POLL_INTERVAL = Duration(100);
constexpr const char *PRODUCER = "usage";

UsageReporter::Options optionsOf(const PlatformApiSettings &settings)
{
    return {settings.usageWindow, settings.usageDue};
}

std::int64_t sumOf(const UsageCounts &counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::int64_t(0), [](std::int64_t sum, const auto &entry) {
        return sum + entry.second;
    });
}

/// \brief Returns the record of a snapshot; empty if it has none. \throws MalformedInputError
std::optional<UsageRecord> recordOf(const platform::KeyedSnapshot &snapshot, const Checkpoint &checkpoint)
{
    std::optional<UsageRecord> record;
    for (const platform::KeyedRecord &keyed : snapshot.records) {
        if (keyed.key == platform::USAGE_KEY && keyed.value) {
            record = platform::decodeUsageRecord(*keyed.value, checkpoint);
        }
    }
    return record;
}

std::string joined(const std::vector<ProcessId> &processes)
{
    std::string text;
    for (const ProcessId &process : processes) {
        text += (text.empty() ? "" : ",") + process.value();
    }
    return text.empty() ? "-" : text;
}
} // namespace

UsageTask::UsageTask(GatewayState &gateway, DutyLease &lease, platform::DutyClient &client, UsageLedger &ledger, const FleetClock &clock)
    : gateway_(gateway)
    , lease_(lease)
    , client_(client)
    , ledger_(ledger)
    , clock_(clock)
    , store_(gateway.io, parseAddress(gateway.settings.store))
    , reporter_(optionsOf(gateway.settings.platformApi))
{
}

awaitable<void> UsageTask::run(TaskContext &context)
{
    bool running = true;
    while (running) {
        const bool acted = co_await step();
        running = acted ? !context.isStopping() : co_await context.sleep(POLL_INTERVAL);
    }
}

awaitable<bool> UsageTask::step()
{
    const std::optional<UsageView> current = view();
    if (!followLease() || !current) {
        co_return false;
    }
    const UsageAction action = reporter_.next(*current);
    logMissed();
    if (const auto *claim = std::get_if<UsageEpochClaim>(&action)) {
        co_await claimEpoch(*claim);
    } else if (std::holds_alternative<UsageRead>(action)) {
        co_await readRecord();
    } else if (const auto *record = std::get_if<UsageWrite>(&action)) {
        co_await write(*record);
    } else if (const auto *report = std::get_if<UsageSend>(&action)) {
        co_await send(*report);
    }
    co_return !std::holds_alternative<UsageWait>(action);
}

bool UsageTask::followLease()
{
    if (!lease_.coversDuties()) {
        reporter_.lose();
        return false;
    }
    const DutyLeaseState &state = lease_.state();
    if (reporter_.token() != state.token()) {
        reporter_.acquire({state.token(), state.acquired(), state.era(), gateway_.storeEra.since()});
    }
    return true;
}

std::optional<UsageView> UsageTask::view() const
{
    const Time now = MilliClock::now();
    const std::optional<std::int64_t> unixMs = clock_.unixMs(now);
    if (!unixMs) {
        return std::nullopt;
    }
    UsageView result;
    result.now = now;
    result.unixMs = *unixMs;
    result.totals = [this](UsageWindow window) {
        return ledger_.totals(window);
    };
    result.lastWritten = ledger_.lastWritten();
    return result;
}

awaitable<bool> UsageTask::append(std::int64_t sequence, const std::optional<platform::KeyedRecord> &record)
{
    const std::int64_t token = lease_.state().token();
    std::string failure;
    platform::AppendAnswer answer;
    try {
        const platform::AppendPosition position {PRODUCER, token, sequence};
        answer = co_await store_.append(platform::KeyedTopic::Usage, position, record, STORE_TIMEOUT);
        if (gateway_.observeStoreEra(answer.era, PRODUCER, MilliClock::now()) != StoreEraTracker::Observation::Unchanged) {
            failure = "the answer is of another era of the store";
        }
    } catch (const Error &error) {
        failure = error.what();
    }
    if (!failure.empty()) {
        recordStoreFailure("append", failure);
        co_return false;
    }
    if (answer.outcome == platform::AppendOutcome::Written) {
        reporter_.recordAppended();
        co_return true;
    }
    const bool continues = answer.outcome == platform::AppendOutcome::OutOfSequence && reporter_.recordOutOfSequence(answer.expected);
    logEvent(LogEvent::UsageStoreFailed,
             {{"operation", "append"}, {"token", token}, {"error", answer.outcome == platform::AppendOutcome::Fenced ? "fenced" : "out-of-sequence"}});
    if (!continues) {
        lease_.recordDutyRejection(token);
    }
    co_return false;
}

awaitable<void> UsageTask::claimEpoch(const UsageEpochClaim &claim)
{
    const std::optional<platform::KeyedRecord> noRecord;
    co_await append(claim.sequence, noRecord);
}

awaitable<void> UsageTask::readRecord()
{
    const std::int64_t token = lease_.state().token();
    std::string failure;
    std::optional<UsageRecord> record;
    try {
        const platform::KeyedSnapshot snapshot = co_await store_.newest(platform::KeyedTopic::Usage, STORE_TIMEOUT);
        const auto decode = [&record, &snapshot](const Checkpoint &checkpoint) {
            record = recordOf(snapshot, checkpoint);
        };
        co_await runInPieces(gateway_.io, Pace::Shared, decode);
        if (gateway_.observeStoreEra(snapshot.era, PRODUCER, MilliClock::now()) != StoreEraTracker::Observation::Unchanged) {
            failure = "the answer is of another era of the store";
        }
    } catch (const Error &error) {
        failure = error.what();
    }
    const std::optional<UsageView> current = view();
    if (!failure.empty() || !current) {
        recordStoreFailure("read", failure);
        co_return;
    }
    reporter_.recordRead(record, *current);
    logEvent(LogEvent::UsageRecordRead,
             {{"token", token},
              {"reports", record ? record->reports.size() : 0},
              {"last", record && !record->reports.empty() ? std::to_string(record->reports.back().window.count()) : "-"},
              {"record_era", record ? std::to_string(record->era.count()) : "-"}});
    if (const std::optional<UsageWindow> last = reporter_.lastWritten()) {
        ledger_.recordWritten(*last);
    }
}

awaitable<void> UsageTask::write(const UsageWrite &write)
{
    std::optional<platform::KeyedRecord> record(std::in_place);
    record->key = platform::USAGE_KEY;
    const std::int64_t token = lease_.state().token();
    const auto encode = [&record, &write](const Checkpoint &checkpoint) {
        record->value = platform::encodeUsageRecord(write.record, checkpoint);
    };
    co_await runInPieces(gateway_.io, Pace::Shared, encode);
    // The sequence number belongs to the lease under which the reporter has decided.
    if (!lease_.coversDuties() || lease_.state().token() != token) {
        co_return;
    }
    const bool written = co_await append(write.sequence, record);
    if (!written) {
        co_return;
    }
    const UsageWindow last = write.record.reports.back().window;
    ledger_.recordWritten(last);
    gateway_.metrics.set("mimosatally_usage_window_written", {}, static_cast<double>(last.count()));
    logWritten(write);
}

awaitable<void> UsageTask::send(const UsageSend &send)
{
    const std::int64_t token = lease_.state().token();
    const platform::DutyAuthority authority {gateway_.settings.process, token};
    platform::DutyClient::Guard guard = [this, token] {
        return lease_.coversDuties() && lease_.state().token() == token;
    };
    const platform::DutyAnswer answer = co_await client_.reportUsage(send.report, authority, std::move(guard));
    const UsageWindow window = send.report.window;
    const std::string_view result = platform::nameOf(answer);
    gateway_.metrics.increment("mimosatally_usage_reports_total", "result=\"" + std::string(result) + '"');
    logEvent(LogEvent::UsageReportAnswered,
             {{"window", window},
              {"token", token},
              {"organisations", send.report.counts.size()},
              {"sum", sumOf(send.report.counts)},
              {"age_ms", ageOf(window)},
              {"result", result}});
    if (answer == platform::DutyAnswer::Accepted) {
        reporter_.recordAccepted(window);
        gateway_.metrics.set("mimosatally_usage_window_accepted", {}, static_cast<double>(window.count()));
    } else if (answer == platform::DutyAnswer::Fenced) {
        lease_.recordDutyRejection(token);
    } else {
        reporter_.recordSendFailure(MilliClock::now(), gateway_.jitter());
    }
}

void UsageTask::recordStoreFailure(std::string_view operation, std::string_view error)
{
    gateway_.metrics.increment("mimosatally_store_failures_total", "topic=\"usage\"");
    logEvent(LogEvent::UsageStoreFailed, {{"operation", operation}, {"token", lease_.state().token()}, {"error", error}});
    reporter_.recordStoreFailure(MilliClock::now(), gateway_.jitter());
}

void UsageTask::logWritten(const UsageWrite &write) const
{
    for (const UsageReport &report : write.record.reports) {
        const auto unclosed = write.unclosed.find(report.window);
        if (unclosed == write.unclosed.end()) {
            continue;
        }
        const LogEvent event = unclosed->second.empty() ? LogEvent::UsageReportWritten : LogEvent::UsageReportIncomplete;
        logEvent(event,
                 {{"window", report.window},
                  {"token", lease_.state().token()},
                  {"organisations", report.counts.size()},
                  {"sum", sumOf(report.counts)},
                  {"missing", joined(unclosed->second)},
                  {"age_ms", ageOf(report.window)}});
    }
}

void UsageTask::logMissed()
{
    for (const UsageGap &gap : reporter_.takeMissed()) {
        gateway_.metrics.increment("mimosatally_usage_windows_missed_total", {}, static_cast<std::uint64_t>(gap.count));
        logEvent(LogEvent::UsageWindowsMissed,
                 {{"first", gap.first},
                  {"windows", gap.count},
                  {"token", lease_.state().token()},
                  {"reason", gap.maybeReported ? "maybe-reported-before-restore" : "overdue"}});
    }
}

std::int64_t UsageTask::ageOf(UsageWindow window) const
{
    const std::int64_t end = (window.count() + 1) * gateway_.settings.platformApi.usageWindow.count();
    return clock_.unixMs(MilliClock::now()).value_or(end) - end;
}

} // namespace mimosatally::internal
