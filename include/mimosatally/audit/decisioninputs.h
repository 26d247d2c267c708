#pragma once

#include "decisionrecord.h"

#include <mimosatally/Config>
#include <mimosatally/Queueing>

#include <optional>
#include <string>
#include <vector>

namespace mimosatally
{

/// \file
/// \brief Typed forms of Decision::inputs, one for each kind.
///
/// AuditVerifier replays an agent's records from them. An agent therefore writes a record for every call to its Scheduler, in the order
/// of the calls, with the call's `now` as Decision::at.

/// \brief Inputs of ProcessStarted, the first record of every chain.
struct ProcessStartedInputs {
    ProcessId process;
    IncarnationId incarnation;
    /// \brief `entry` or `agent`.
    std::string role;
};

/// \brief Inputs of ConfigurationApplied: the arguments given to the Scheduler, without API key hashes.
struct ConfigurationInputs {
    std::vector<Contract> contracts;
    TokenCosts costs;
    /// \brief Set only in the chain of an agent; a change of capacity creates a new Scheduler.
    std::optional<EndpointCapacity> capacity;
    /// \brief Set only in the chain of an agent.
    EndpointId endpoint;
};

/// \brief Inputs of CallerRejected.
struct CallerRejectedInputs {
    std::string reason;
};

/// \brief Inputs of Admitted (entry).
struct AdmittedInputs {
    ModelId model;
    ServiceId service;
    TokenUsage expected;
    bool mayRepeat = true;
    /// \brief Latest start of service on the entry's clock.
    Time startDeadline;
};

/// \brief Inputs of Routed (entry); one record for each attempt.
struct RoutedInputs {
    EndpointId endpoint;
    IncarnationId agentIncarnation;
    std::string reason;
    Duration predictedWait = Duration(0);
    Tokens cachedTokens;
    bool crossRegion = false;
    int attempt = 1;
};

/// \brief Inputs of Queued (agent): a successful Scheduler::enqueue.
struct QueuedInputs {
    TokenUsage expected;
    Time startDeadline;
    bool mayRepeat = true;
    /// \brief Claim of a call that may not be repeated; -1 otherwise.
    int claimPartition = -1;
    Offset claim = Offset(-1);
};

/// \brief Stage at which a request was refused.
enum class RefusalStage {
    /// \brief By an entry.
    Entry,
    /// \brief By an agent before the request reaches its Scheduler, for example because the agent is leaving or the claim is not admitted.
    Gate,
    /// \brief By Scheduler::enqueue.
    Enqueue,
    /// \brief By Scheduler::expire.
    Expire,
};

/// \brief Inputs of Refused.
struct RefusedInputs {
    RefusalStage stage = RefusalStage::Entry;
    /// \brief For stages Enqueue and Expire, the name of the RefusalReason.
    std::string reason;
    /// \brief `not_run` or `outcome_unknown`.
    std::string outcome = "not_run";
    std::optional<Duration> retryAfter;
    /// \brief Arguments of the Scheduler::enqueue call; set only for stage Enqueue.
    TokenUsage expected;
    Time startDeadline;
};

/// \brief Inputs of Dispatched (agent): a request that Scheduler::dispatchNext returned.
struct DispatchedInputs {
    Duration queued = Duration(0);
};

/// \brief Inputs of Completed (agent): a call of Scheduler::complete.
struct CompletedInputs {
    /// \brief HTTP status of the endpoint's answer; 0 if the endpoint failed.
    int status = 0;
    TokenUsage actual;
    Bytes answerBytes;
};

/// \brief Inputs of Answered (entry).
struct AnsweredInputs {
    EndpointId endpoint;
    int status = 0;
    TokenUsage actual;
    Bytes answerBytes;
    /// \brief SHA-256 of the answer bytes.
    std::string answerHash;
};

/// \brief Inputs of Cancelled (agent): a call of Scheduler::cancel.
struct CancelledInputs {
    CancelWord result = CancelWord::NeverStarted;
};

/// \brief Inputs of ServiceReported (agent): a call of Scheduler::setRemoteService.
struct ServiceReportedInputs {
    std::vector<CustomerService> served;
};

/// \brief Inputs of OrderAccepted and OrderRefused (agent).
struct OrderInputs {
    std::string order;
    std::string kind;
    std::string argument;
    std::string scope;
    Epoch epoch;
    /// \brief Empty for an accepted order.
    std::string reason;
};

/// \brief Inputs of ProcessStopped, the closing record.
struct ProcessStoppedInputs {
};

/// \brief Formats as JSON object text for Decision::inputs.
std::string toJson(const ProcessStartedInputs &inputs);
std::string toJson(const ConfigurationInputs &inputs);
std::string toJson(const CallerRejectedInputs &inputs);
std::string toJson(const AdmittedInputs &inputs);
std::string toJson(const RoutedInputs &inputs);
std::string toJson(const QueuedInputs &inputs);
std::string toJson(const RefusedInputs &inputs);
std::string toJson(const DispatchedInputs &inputs);
std::string toJson(const CompletedInputs &inputs);
std::string toJson(const AnsweredInputs &inputs);
std::string toJson(const CancelledInputs &inputs);
std::string toJson(const ServiceReportedInputs &inputs);
std::string toJson(const OrderInputs &inputs);
std::string toJson(const ProcessStoppedInputs &inputs);

/// \brief Reads the inputs of one kind; instantiated for every struct of this file. \throws MalformedInputError
template<class Inputs>
Inputs parseInputs(const std::string &text);

} // namespace mimosatally
