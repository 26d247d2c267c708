#pragma once

#include "signal.h"

#include <mimosatally/Claims>
#include <mimosatally/LogService>
#include <mimosatally/Supervision>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mimosatally::internal
{

/// \brief Result of an append to the log.
enum class AppendResult {
    Appended,
    NotAppended,
    /// \brief The log service did not answer: the records may be in the log, or reach it later.
    Unknown,
};

/// \brief Reads one stream `claims-<n>` and appends to it in batches.
class ClaimPartition
{
public:
    ClaimPartition(boost::asio::io_context &io, LogClient &log, int number);
    ClaimPartition(const ClaimPartition &) = delete;
    ClaimPartition &operator=(const ClaimPartition &) = delete;

    /// \brief Supervised task: reads new records and appends pending voids.
    boost::asio::awaitable<void> run(TaskContext &context);

    /// \brief Returns true if the partition has been read from its first retained record to its end, and the log service responds.
    [[nodiscard]] bool isReady() const;

    [[nodiscard]] const ClaimTable &table() const;

    /// \brief Appends a record in one batch with others that arrive within a few milliseconds.
    boost::asio::awaitable<AppendResult> append(std::string payload);

    /// \brief Waits until the record \a id of a claim has been read. \return false if \a until passed first.
    boost::asio::awaitable<bool> awaitVerdict(RecordId id, Time until);

    /// \brief Waits until claim \a claim of \a key has an outcome or is no longer valid, at most until \a until.
    boost::asio::awaitable<void> awaitOutcome(ClaimKey key, Offset claim, Time until);

    /// \brief Voids the claim record \a id once it has been read from the log. The call was not submitted under it and never will be.
    void scheduleVoid(ClaimKey key, RecordId id);

    /// \brief Returns true if voids remain to be appended or read back.
    [[nodiscard]] bool hasPendingVoids() const;

private:
    /// \brief Records appended in one request.
    struct Batch {
        explicit Batch(boost::asio::io_context &io);

        std::vector<std::string> payloads;
        AppendResult result = AppendResult::Unknown;
        bool isDone = false;
        Signal done;
    };

    struct PendingVoid {
        RecordId claim;
        VoidRecord record;
        Time requestedAt;
    };

    boost::asio::awaitable<void> flush(std::shared_ptr<Batch> batch);
    boost::asio::awaitable<bool> readOnce();
    boost::asio::awaitable<void> appendVoids();
    [[nodiscard]] Duration pollInterval() const;

    boost::asio::io_context &io_;
    LogClient &log_;
    std::string stream_;
    ClaimTable table_;
    Signal changed_;
    std::shared_ptr<Batch> batch_;
    std::vector<PendingVoid> pendingVoids_;
    TaskContext *context_ = nullptr;
    bool ready_ = false;
    /// \brief Start of the read in progress, if any.
    std::optional<Time> readStarted_;
};

} // namespace mimosatally::internal
