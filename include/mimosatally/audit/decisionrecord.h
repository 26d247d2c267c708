#pragma once

#include <mimosatally/Core>

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace mimosatally
{

enum class DecisionKind {
    ProcessStarted,
    ConfigurationApplied,
    CallerRejected,
    Admitted,
    Routed,
    Queued,
    Dispatched,
    Completed,
    Answered,
    Refused,
    Cancelled,
    ServiceReported,
    OrderAccepted,
    OrderRefused,
    /// \brief Closing record of a graceful shutdown.
    ProcessStopped,
};

/// \brief Name of the kind in records, for example `ConfigurationApplied`.
std::string_view toString(DecisionKind kind);

/// \throws MalformedInputError
DecisionKind parseDecisionKind(std::string_view name);

/// \brief One decision before it is added to a chain.
struct Decision {
    DecisionKind kind;
    /// \brief Empty for decisions that do not concern a single request.
    RequestId request;
    CustomerId customer;
    ConfigurationVersion version;
    /// \brief Monotonic time of the process; an input of the scheduler, not evidence of wall-clock time.
    Time at;
    /// \brief Inputs of the decision as JSON object text.
    std::string inputs = "{}";
    /// \brief True if neither the log nor a peer has confirmed the configuration version.
    bool unconfirmed = false;
};

/// \brief Position of a record in its chain, given to the caller with the answer.
struct Receipt {
    ProcessId process;
    IncarnationId incarnation;
    std::int64_t sequence = 0;
    /// \brief SHA-256 of the record including the hash of its predecessor.
    std::string hash;
};

/// \brief Formats as `process/incarnation/sequence/hash`.
std::string toString(const Receipt &receipt);

} // namespace mimosatally
