#pragma once

#include "call.h"
#include "callrefusal.h"

#include <mimosatally/Audit>
#include <mimosatally/LogService>
#include <mimosatally/Routing>

#include <map>
#include <string>

namespace mimosatally::internal
{

/// \brief Configuration under which a decision is made.
struct DecisionBasis {
    ConfigurationVersion version = ConfigurationVersion(-1);
    /// \brief Whether neither log nor peer confirmed the version.
    bool unconfirmed = false;
};

/// \brief Requests of one customer at this entry.
struct CustomerCounts {
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
};

/// \brief An answer as it is recorded.
struct AnswerSummary {
    EndpointId endpoint;
    unsigned status = 0;
    TokenUsage usage;
    Bytes answerBytes;
    std::string answerHash;
};

/// \brief Writes each decision of the entry to the audit chain, the log and the metrics.
class DecisionLog
{
public:
    DecisionLog(DecisionChain &chain, AuditShipper &shipper, Metrics &metrics);

    /// \brief Configuration for the following decisions.
    void setBasis(DecisionBasis basis);
    [[nodiscard]] const DecisionBasis &basis() const;

    void configurationApplied(const ConfigurationState &state);
    /// Each of these returns the value of the header X-Mimosatally-Receipt.
    std::string callerRejected(const RequestId &request, const std::string &reason);
    std::string admitted(const Call &call);
    std::string routed(const Call &call, const RouteDecision &decision, const IncarnationId &agent, int attempt);
    std::string answered(const Call &call, const AnswerSummary &answer);
    std::string refused(const RequestId &request, const CustomerId &customer, const CallRefusal &refusal);
    std::string cancelled(const Call &call, CancelWord word);

    [[nodiscard]] const std::map<CustomerId, CustomerCounts> &counts() const;

private:
    std::string append(DecisionKind kind, const RequestId &request, const CustomerId &customer, std::string inputs);

    DecisionChain &chain_;
    AuditShipper &shipper_;
    Metrics &metrics_;
    DecisionBasis basis_;
    std::map<CustomerId, CustomerCounts> counts_;
};

} // namespace mimosatally::internal
