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
    /// \brief Notes what the records of \a chain state. The chain must outlive this object.
    void add(const AuditChain &chain);

    void check(AuditReport &report) const;

private:
    struct Place {
        const AuditChain *chain;
        std::int64_t sequence;

        [[nodiscard]] Finding finding(const std::string &message) const;
    };

    using Claim = std::pair<int, Offset>;

    void note(const Place &place, const Decision &decision);
    void noteConfiguration(const Place &place, const Decision &decision);
    void noteDispatch(const Place &place, const Decision &decision);

    std::map<RequestId, Place> dispatched_;
    std::map<RequestId, Place> refusedAsNotRun_;
    std::map<std::pair<const AuditChain *, RequestId>, Claim> queuedClaims_;
    std::map<Claim, Place> dispatchedClaims_;
    std::map<ConfigurationVersion, std::string> configurations_;
    std::vector<Finding> findings_;
};

} // namespace mimosatally::internal
