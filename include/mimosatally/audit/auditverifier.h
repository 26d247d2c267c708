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
    std::size_t dispatchesReplayed = 0;
    /// \brief Missing, altered or contradicting records, each with process and sequence number as its place.
    std::vector<Finding> findings;
    /// \brief Chains without a closing record, for example of a killed process: what came after is unknown.
    std::vector<Finding> openEnds;
};

/// \brief Checks hash chains and recomputes the order of service from the records alone.
class AuditVerifier
{
public:
    AuditVerifier();
    ~AuditVerifier();

    /// \brief Adds one payload of stream `audit`; batches seen before are ignored.
    void add(Offset offset, const std::string &payload);

    [[nodiscard]] AuditReport verify() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace mimosatally
