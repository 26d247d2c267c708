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

/// \brief What is known about records after an append.
enum class AppendEnd {
    Appended,
    NotAppended,
    /// \brief No answer came: the records may be in the log, or arrive there later.
    Unknown,
};

/// \brief Reads one stream `claims-<n>` and appends to it in groups.
class ClaimPartition
{
public:
    ClaimPartition(boost::asio::io_context &io, LogClient &log, int number);
    ClaimPartition(const ClaimPartition &) = delete;
    ClaimPartition &operator=(const ClaimPartition &) = delete;

    /// \brief Task of the supervisor: reads new records and appends pending voids.
    boost::asio::awaitable<void> run(TaskContext &context);

    /// \brief Whether the partition has been read to its end from its first kept record, and the log answers.
    [[nodiscard]] bool isReady() const;

    [[nodiscard]] const ClaimTable &table() const;

    /// \brief Appends a record together with others of the same few milliseconds.
    boost::asio::awaitable<AppendEnd> append(std::string payload);

    /// \brief Waits until the record \a id of a claim has been read. \return false if \a until passed before.
    boost::asio::awaitable<bool> awaitVerdict(RecordId id, Time until);

    /// \brief Waits until claim \a claim of \a key has an outcome or is no longer valid, at most until \a until.
    boost::asio::awaitable<void> awaitOutcome(ClaimKey key, Offset claim, Time until);

    /// \brief Voids the claim record \a id as soon as it is seen in the log; it was not submitted and never will be.
    void voidLater(ClaimKey key, RecordId id);

    /// \brief Whether voids are still to be appended.
    [[nodiscard]] bool hasPendingVoids() const;

private:
    /// \brief Records that are appended in one request.
    struct Batch {
        explicit Batch(boost::asio::io_context &io);

        std::vector<std::string> payloads;
        AppendEnd end = AppendEnd::Unknown;
        bool isDone = false;
        Signal done;
    };

    struct PendingVoid {
        RecordId claim;
        VoidRecord record;
        Time since;
    };

    boost::asio::awaitable<void> flush(std::shared_ptr<Batch> batch);
    boost::asio::awaitable<bool> readOnce();
    boost::asio::awaitable<void> appendVoids();
    [[nodiscard]] Duration pause() const;

    boost::asio::io_context &io_;
    LogClient &log_;
    std::string stream_;
    ClaimTable table_;
    Signal changed_;
    std::shared_ptr<Batch> batch_;
    std::vector<PendingVoid> voids_;
    TaskContext *context_ = nullptr;
    bool ready_ = false;
    /// \brief Set while a read is not answered.
    std::optional<Time> readStarted_;
};

} // namespace mimosatally::internal
