#pragma once

#include "decisionrecord.h"

#include <memory>
#include <string>
#include <vector>

namespace mimosatally
{

/// \brief Result of verifying an exported audit stream.
struct AuditReport {
    std::size_t records = 0;
    std::size_t chains = 0;
    /// \brief Number of replayed dispatches, whether or not the result matched the record.
    std::size_t dispatchesReplayed = 0;
    /// \brief Number of dispatches that follow a missing or contradicting record of their chain and cannot be replayed.
    std::size_t dispatchesNotReplayed = 0;
    /// \brief Missing, altered or contradicting records, with `process/incarnation` as file and the sequence number as line.
    std::vector<Finding> findings;
    /// \brief Chains without a closing record, for example of a killed process: later decisions are unknown.
    std::vector<Finding> openEnds;
};

/// \brief Checks hash chains and replays the scheduling decisions from the records alone.
///
/// Reports missing, altered and contradicting records of each chain, dispatches and refusals that differ from the Scheduler's decision
/// under the recorded contracts, and contradictions between chains: a request that was refused as not run but dispatched, a claim that
/// was dispatched twice, and two different contents of one configuration version. A refusal of a waiting request is checked against its
/// deadline only, because queue reviews in which the scheduler refuses no request are not recorded.
class AuditVerifier
{
public:
    AuditVerifier();
    ~AuditVerifier();

    /// \brief Adds one payload of stream `audit`; repeated batches are ignored.
    void add(Offset offset, const std::string &payload);

    [[nodiscard]] AuditReport verify() const;

    /// \brief Returns true if the added records contain the record that \a receipt names, unaltered.
    [[nodiscard]] bool hasRecord(const Receipt &receipt) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace mimosatally
