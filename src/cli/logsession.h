#pragma once

#include "command.h"

#include <mimosatally/Config>
#include <mimosatally/LogService>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>
#include <vector>

namespace mimosatally::internal
{

/// \brief Runs a coroutine to its end and returns its result or throws its error.
int runToEnd(boost::asio::io_context &io, boost::asio::awaitable<int> task);

/// \brief Reads stream `configuration` for an operator's command, appends one record and determines its verdict.
class LogSession
{
public:
    LogSession(boost::asio::io_context &io, const std::string &logAddress, std::vector<Operator> bootstrapOperators);

    /// \brief Reads up to the end of the stream.
    /// \throws UnreachableError, UsageError if no configuration can be verified with the known operators.
    boost::asio::awaitable<void> catchUp();

    [[nodiscard]] const ConfigurationState &state() const;

    /// \brief Appends a record, reads it back and prints progress. \return the exit code.
    ///
    /// If the answer is lost, the record is looked up by its id and appended again if it is not found. This is safe because
    /// only the first record of an id can be accepted.
    boost::asio::awaitable<int> appendAndAwaitVerdict(RecordId id, std::string payload);

private:
    /// \brief Result of the appended record, as read back from the log.
    struct Verdict {
        Offset offset;
        ApplyResult result;
    };

    boost::asio::awaitable<void> readToEnd();
    /// \return true if the record may be in the log.
    boost::asio::awaitable<bool> tryAppend(std::string payload);
    boost::asio::awaitable<void> tryReadBack();
    void updateVerdict(const std::vector<ConfigurationRecord> &records, const std::vector<AppliedRecord> &applied);
    static int printVerdict(const Verdict &verdict);

    boost::asio::io_context &io_;
    LogClient client_;
    ConfigurationReplica replica_;
    RecordId awaitedId_;
    std::optional<Verdict> verdict_;
    bool hasReadRecords_ = false;
};

/// \brief Arguments `--operator`, `--key` and `--settings` of commands that sign records.
struct Signer {
    OperatorId id;
    std::string privateKey;
    std::vector<Operator> bootstrapOperators;
};

/// \throws UsageError
Signer readSigner(const Arguments &arguments);

} // namespace mimosatally::internal
