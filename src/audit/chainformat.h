#pragma once

#include <mimosatally/Audit>

#include <string>

namespace mimosatally::internal
{

/// \file
/// \brief Text format of chained records and batches.
///
/// A record is a JSON object in nlohmann's canonical form (sorted keys, no spaces), so that its hash does not change when a log service
/// reformats the JSON. A batch is an object with the process, the incarnation, the records and the hash of the last record.

/// \brief Predecessor hash of the first record of a chain; binds the chain to its process and incarnation.
std::string initialChainHash(const ProcessId &process, const IncarnationId &incarnation);

/// \brief Formats one record. \throws MalformedInputError if the inputs are not JSON.
std::string chainRecordText(const Decision &decision, std::int64_t sequence, const std::string &previousHash);

/// \brief Builds the payload of one batch.
class BatchWriter
{
public:
    BatchWriter(const ProcessId &process, const IncarnationId &incarnation);

    void addGap(std::int64_t from, std::int64_t count, const std::string &hash);
    void addRecord(const std::string &text, const std::string &hash);

    [[nodiscard]] bool empty() const;
    [[nodiscard]] std::size_t size() const;

    /// \brief Returns the batch as JSON, with a record id that is unique to this writer.
    [[nodiscard]] std::string finish() const;

private:
    std::string header_;
    std::string records_;
    std::string lastHash_;
};

} // namespace mimosatally::internal
