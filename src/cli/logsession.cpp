#include "logsession.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
constexpr const char *STREAM = "configuration";
constexpr int MAX_RECORDS_PER_READ = 50;
constexpr Duration REQUEST_TIMEOUT(5000);
constexpr Duration RETRY_INTERVAL(500);
constexpr int MAX_ATTEMPTS = 5;

awaitable<void> waitForRetry(boost::asio::io_context &io)
{
    boost::asio::steady_timer timer(io, RETRY_INTERVAL);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

std::string recordIdOf(const std::string &payload)
{
    const nlohmann::json json = nlohmann::json::parse(payload, nullptr, false);
    return json.is_object() && json.contains("id") && json["id"].is_string() ? json["id"].get<std::string>() : std::string();
}
} // namespace

int runToEnd(boost::asio::io_context &io, awaitable<int> task)
{
    int code = ExitCode::Unknown;
    std::exception_ptr failure;
    boost::asio::co_spawn(io, std::move(task), [&](std::exception_ptr error, int result) {
        failure = std::move(error);
        code = result;
        io.stop();
    });
    io.run();
    if (failure) {
        std::rethrow_exception(failure);
    }
    return code;
}

LogSession::LogSession(boost::asio::io_context &io, const std::string &logAddress, std::vector<Operator> bootstrapOperators)
    : io_(io)
    , client_(io, parseAddress(logAddress))
    , replica_(std::move(bootstrapOperators))
{
}

const ConfigurationState &LogSession::state() const
{
    return replica_.state();
}

awaitable<void> LogSession::catchUp()
{
    co_await readToEnd();
    if (replica_.isMissingRecords()) {
        throw UnreachableError("the log no longer has the first configuration records and has no usable snapshot");
    }
    if (state().version < ConfigurationVersion(0) && hasReadRecords_) {
        throw UsageError("the first configuration was not signed with this key; give a process settings file with --settings, so that its "
                         "bootstrap operators are known");
    }
}

awaitable<void> LogSession::readToEnd()
{
    bool reachedEnd = false;
    while (!reachedEnd) {
        const Offset requestedOffset = replica_.nextReadOffset();
        const Time sentAt = MilliClock::now();
        const LogReadResult result = co_await client_.read(STREAM, requestedOffset, MAX_RECORDS_PER_READ, REQUEST_TIMEOUT);
        reachedEnd = result.records.empty();
        std::vector<ConfigurationRecord> records;
        records.reserve(result.records.size());
        for (const LogRecord &record : result.records) {
            records.push_back({record.offset, record.payload});
        }
        updateVerdict(records, replica_.applyFromLog(requestedOffset, records, reachedEnd, sentAt));
    }
}

void LogSession::updateVerdict(const std::vector<ConfigurationRecord> &records, const std::vector<AppliedRecord> &applied)
{
    hasReadRecords_ = hasReadRecords_ || !records.empty();
    for (const AppliedRecord &item : applied) {
        const auto record = std::ranges::find(records, item.offset, &ConfigurationRecord::offset);
        const bool isOwn = record != records.end() && !awaitedId_.empty() && recordIdOf(record->payload) == awaitedId_.value();
        if (isOwn && (!verdict_ || (!verdict_->result.isAccepted() && item.result.isAccepted()))) {
            verdict_ = Verdict {item.offset, item.result};
        }
    }
}

awaitable<bool> LogSession::tryAppend(std::string payload)
{
    std::vector<std::string> payloads;
    payloads.push_back(std::move(payload));
    bool mayHaveEffect = true;
    try {
        const std::vector<Offset> offsets = co_await client_.append(STREAM, std::move(payloads), REQUEST_TIMEOUT);
        std::cerr << "appended at offset " << offsets.front().count() << '\n';
    } catch (const ConnectError &error) {
        std::cerr << "not appended: " << error.what() << '\n';
        mayHaveEffect = false;
    } catch (const UnreachableError &error) {
        std::cerr << "the answer to the append was lost (" << error.what() << "); reading back by record id\n";
    }
    co_return mayHaveEffect;
}

awaitable<void> LogSession::tryReadBack()
{
    try {
        co_await readToEnd();
    } catch (const UnreachableError &error) {
        std::cerr << "cannot read back: " << error.what() << '\n';
    }
}

awaitable<int> LogSession::appendAndAwaitVerdict(RecordId id, std::string payload)
{
    awaitedId_ = id;
    verdict_.reset();
    std::cerr << "record id " << id << '\n';
    bool mayHaveEffect = false;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; ++attempt) {
        const bool sent = co_await tryAppend(payload);
        mayHaveEffect = mayHaveEffect || sent;
        co_await tryReadBack();
        if (verdict_) {
            co_return printVerdict(*verdict_);
        }
        co_await waitForRetry(io_);
    }
    if (!mayHaveEffect) {
        std::cerr << "Nothing was appended: the log service cannot be reached; check --log and try again.\n";
        co_return ExitCode::Unreachable;
    }
    std::cerr << "The verdict is unknown: the record may be in the log. Run the command again with --id " << id
              << " when the log can be reached; only the first record of an id can be accepted.\n";
    co_return ExitCode::Unknown;
}

int LogSession::printVerdict(const Verdict &verdict)
{
    if (verdict.result.isAccepted()) {
        std::cout << "accepted: configuration version " << verdict.offset.count() << '\n';
        return ExitCode::Success;
    }
    std::cout << "void: " << verdict.result.reason << '\n';
    std::cerr << "The record at offset " << verdict.offset.count() << " has no effect. ";
    if (verdict.result.reason.starts_with("base")) {
        std::cerr << "Another operator published first; look at the current configuration and publish again.\n";
    } else {
        std::cerr << "Correct the cause and run the command again.\n";
    }
    return ExitCode::Negative;
}

Signer readSigner(const Arguments &arguments)
{
    const std::string keyFile = stringArgument(arguments, "--key");
    const nlohmann::json key = nlohmann::json::parse(readFile(keyFile), nullptr, false);
    if (!key.is_object() || !key.contains("private_key") || !key.contains("public_key")) {
        throw UsageError(keyFile + " is not a key file; `mimosatally key new --out FILE` makes one");
    }
    Signer signer;
    signer.id = OperatorId(stringArgument(arguments, "--operator"));
    signer.privateKey = key["private_key"].get<std::string>();
    signer.bootstrapOperators = {{signer.id, key["public_key"].get<std::string>(), {}}};
    const std::string settings = stringArgument(arguments, "--settings");
    if (!settings.empty()) {
        signer.bootstrapOperators = readBootstrapOperators(readFile(settings), settings);
    }
    return signer;
}

} // namespace mimosatally::internal
