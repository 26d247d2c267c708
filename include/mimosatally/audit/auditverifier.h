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
    /// \brief Dispatches that were recomputed, with whatever result.
    std::size_t dispatchesReplayed = 0;
    /// \brief Dispatches after missing or contradicting records of their chain, which cannot be recomputed.
    std::size_t dispatchesNotReplayed = 0;
    /// \brief Missing, altered or contradicting records. The place is `process/incarnation` as file and the sequence number as line.
    std::vector<Finding> findings;
    /// \brief Chains without a closing record, for example of a killed process: what came after is unknown.
    std::vector<Finding> openEnds;
};

/// \brief Checks hash chains and recomputes the order of service from the records alone.
///
/// Reported are missing, altered and contradicting records of each chain, dispatches and refusals that the Scheduler does not choose
/// under the recorded contracts, and contradictions between chains: a request refused as not run that was dispatched, a claim that ran
/// twice, and two contents of one configuration version. A refusal of a waiting request is checked against its deadline only, because
/// the scheduler's reviews that refuse nobody are not recorded.
class AuditVerifier
{
public:
    AuditVerifier();
    ~AuditVerifier();

    /// \brief Adds one payload of stream `audit`; batches seen before are ignored.
    void add(Offset offset, const std::string &payload);

    [[nodiscard]] AuditReport verify() const;

    /// \brief Whether the added records hold the record that \a receipt names, unaltered.
    [[nodiscard]] bool holds(const Receipt &receipt) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace mimosatally
