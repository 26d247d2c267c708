#pragma once

#include <mimosatally/Audit>

#include <string>

namespace mimosatally::internal
{

/// \file
/// \brief Text form of chained records and batches.
///
/// A record is a JSON object in nlohmann's canonical form (sorted keys, no spaces), so that its hash survives a log service that formats
/// JSON anew. A batch is an object with the process, the incarnation, the records and the hash of the last record.

/// \brief Hash that the first record of a chain names as its predecessor's; it binds the chain to process and incarnation.
std::string firstChainHash(const ProcessId &process, const IncarnationId &incarnation);

/// \brief Text of one record. \throws MalformedInputError if the inputs are not JSON.
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

    /// \brief The batch as JSON with a new record id.
    [[nodiscard]] std::string finish() const;

private:
    std::string head_;
    std::string records_;
    std::string lastHash_;
};

} // namespace mimosatally::internal
