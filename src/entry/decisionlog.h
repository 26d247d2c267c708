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

/// \brief Configuration version under which a decision is made.
struct DecisionBasis {
    ConfigurationVersion version = ConfigurationVersion(-1);
    /// \brief True if neither the log service nor a peer has confirmed the version within ConfigurationFollower::Options::maxConfirmationAge.
    bool unconfirmed = false;
};

/// \brief Number of answered and refused requests of one customer at this entry since its start.
struct CustomerCounts {
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
};

/// \brief Data of an answer that is written to the audit chain.
struct AnswerSummary {
    EndpointId endpoint;
    unsigned status = 0;
    TokenUsage usage;
    Bytes answerBytes;
    std::string answerHash;
};

/// \brief Records each decision of the entry in the audit chain, the log and the metrics.
class DecisionLog
{
public:
    DecisionLog(DecisionChain &chain, AuditShipper &shipper, Metrics &metrics);

    /// \brief Sets the configuration version that is recorded with the following decisions.
    void setBasis(DecisionBasis basis);
    [[nodiscard]] const DecisionBasis &basis() const;

    void recordConfigurationApplied(const ConfigurationState &state);
    /// Each of the record functions below returns the value of the response header X-Mimosatally-Receipt.
    std::string recordCallerRejected(const RequestId &request, const std::string &reason);
    std::string recordAdmitted(const Call &call);
    std::string recordRouted(const Call &call, const RouteDecision &decision, const IncarnationId &agent, int attempt);
    std::string recordAnswered(const Call &call, const AnswerSummary &answer);
    std::string recordRefused(const RequestId &request, const CustomerId &customer, const CallRefusal &refusal);
    std::string recordCancelled(const Call &call, CancelWord progress);

    [[nodiscard]] const std::map<CustomerId, CustomerCounts> &customerCounts() const;

private:
    std::string append(DecisionKind kind, const RequestId &request, const CustomerId &customer, std::string inputs);

    DecisionChain &chain_;
    AuditShipper &shipper_;
    Metrics &metrics_;
    DecisionBasis basis_;
    std::map<CustomerId, CustomerCounts> customerCounts_;
};

} // namespace mimosatally::internal
