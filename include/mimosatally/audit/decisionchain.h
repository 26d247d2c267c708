#pragma once

#include "decisionrecord.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace mimosatally
{

/// \brief Hash chain of the decisions of one process incarnation; buffers records until they are shipped to the log.
class DecisionChain
{
public:
    /// \param maxBufferedBytes limit on unshipped records; when it is exceeded, the oldest are replaced by one `gap` record.
    DecisionChain(ProcessId process, IncarnationId incarnation, Bytes maxBufferedBytes);

    /// \brief Adds the first record, which states process, incarnation and \a role (`entry` or `agent`).
    Receipt start(const std::string &role, ConfigurationVersion version, Time now);

    /// \brief Adds the closing record of a graceful shutdown; append() must not be called after it.
    Receipt close(ConfigurationVersion version, Time now);

    /// \brief Adds a decision. \return its receipt.
    Receipt append(const Decision &decision);

    /// \brief Returns the next batch as one JSON payload for stream `audit`, at most \a maxBytes unless one record is larger.
    /// \return std::nullopt if all records are shipped.
    [[nodiscard]] std::optional<std::string> nextBatch(Bytes maxBytes);

    /// \brief Removes the batch of the last nextBatch() from the buffer after the log has confirmed it.
    void confirmBatch();

    /// \brief Keeps the batch of the last nextBatch(), which may not be in the log; nextBatch() returns it again with the same id.
    void retryBatch();

    [[nodiscard]] Bytes bufferedBytes() const;

private:
    struct Entry {
        std::int64_t sequence;
        std::string text;
        std::string hash;
    };

    void dropOldest();

    ProcessId process_;
    IncarnationId incarnation_;
    Bytes maxBufferedBytes_;
    std::int64_t nextSequence_ = 0;
    std::string lastHash_;
    std::deque<Entry> buffer_;
    Bytes bufferedBytes_;
    std::optional<std::string> pendingBatch_;
    std::size_t pendingCount_ = 0;
    bool closed_ = false;
    /// \brief First sequence number, count and last hash of the records that were dropped because the buffer was full.
    std::int64_t droppedFrom_ = 0;
    std::int64_t droppedCount_ = 0;
    std::string droppedHash_;
};

} // namespace mimosatally
