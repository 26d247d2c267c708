#pragma once

#include <mimosatally/Audit>

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <utility>

namespace mimosatally::internal
{

/// \brief One record as read from a batch.
struct AuditRecord {
    std::string previous;
    /// \brief SHA-256 of the record as read.
    std::string hash;
    Decision decision;
};

/// \brief Records that a process dropped because its buffer was full.
struct AuditGap {
    std::int64_t count = 0;
    /// \brief Hash of the last dropped record.
    std::string hash;
};

/// \brief Records of one process incarnation, collected from batches.
class AuditChain
{
public:
    AuditChain(ProcessId process, IncarnationId incarnation);

    /// \brief Adds one element of a batch. \throws MalformedInputError
    void add(const nlohmann::json &json);

    /// \brief Records the hash that a batch states for its last record.
    void recordLastHash(const std::string &hash);

    /// \brief Checks hash links, gaps, order, first and last record; adds findings and open ends to \a report.
    void check(AuditReport &report) const;

    [[nodiscard]] const std::map<std::int64_t, AuditRecord> &records() const;

    /// \brief Sequence number of the first record whose predecessor is missing or does not match; std::nullopt if there is none.
    [[nodiscard]] std::optional<std::int64_t> firstBreak() const;

    [[nodiscard]] bool isAgent() const;

    /// \brief Returns a finding about one record of this chain.
    [[nodiscard]] Finding finding(std::int64_t sequence, const std::string &message) const;

private:
    void addRecord(const nlohmann::json &json);
    void checkLinks(AuditReport &report) const;
    void checkStart(AuditReport &report) const;
    void checkEnd(AuditReport &report) const;
    void checkOrder(AuditReport &report) const;
    /// \brief Hash that record \a sequence must name as its predecessor's; std::nullopt if it is unknown.
    [[nodiscard]] std::optional<std::string> hashBefore(std::int64_t sequence) const;
    [[nodiscard]] std::string describeMissing(std::int64_t from, std::int64_t to) const;

    ProcessId process_;
    IncarnationId incarnation_;
    std::map<std::int64_t, AuditRecord> records_;
    std::map<std::int64_t, AuditGap> gaps_;
    /// \brief Hashes that batches state for their last records, by sequence number.
    std::map<std::int64_t, std::string> statedHashes_;
    /// \brief Sequence numbers with two different records.
    std::vector<std::int64_t> forkedSequences_;
    std::int64_t lastSequence_ = -1;
};

} // namespace mimosatally::internal
