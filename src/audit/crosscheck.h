#pragma once

#include "audit/auditchain.h"

#include <map>
#include <string>

namespace mimosatally::internal
{

/// \brief Finds contradictions between the chains of different processes.
class CrossCheck
{
public:
    /// \brief Adds the records of \a chain, which must outlive this object.
    void add(const AuditChain &chain);

    void check(AuditReport &report) const;

private:
    struct RecordPosition {
        const AuditChain *chain;
        std::int64_t sequence;

        [[nodiscard]] Finding finding(const std::string &message) const;
    };

    using Claim = std::pair<int, Offset>;

    void addDecision(const RecordPosition &position, const Decision &decision);
    void addConfiguration(const RecordPosition &position, const Decision &decision);
    void addDispatch(const RecordPosition &position, const Decision &decision);

    std::map<RequestId, RecordPosition> dispatched_;
    std::map<RequestId, RecordPosition> refusedAsNotRun_;
    std::map<std::pair<const AuditChain *, RequestId>, Claim> queuedClaims_;
    std::map<Claim, RecordPosition> dispatchedClaims_;
    std::map<ConfigurationVersion, std::string> configurations_;
    std::vector<Finding> findings_;
};

} // namespace mimosatally::internal
