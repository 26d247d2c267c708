#pragma once

#include <mimosatally/Core>

#include <string>
#include <variant>

namespace mimosatally
{

/// \brief Key of a non-repeatable call; keys of different customers are independent.
struct ClaimKey {
    CustomerId customer;
    std::string key;

    auto operator<=>(const ClaimKey &) const = default;
};

/// \brief Claims the exclusive right of one entry to submit a call to one agent incarnation.
struct ClaimRecord {
    RecordId id;
    ClaimKey key;
    /// \brief SHA-256 of method, path and body.
    std::string bodyHash;
    EndpointId endpoint;
    IncarnationId agentIncarnation;
    ProcessId entry;
    /// \brief Wall-clock time, for information only.
    std::int64_t timeMs = 0;
};

/// \brief Outcome of a claim, appended by the agent that ran it.
struct OutcomeRecord {
    RecordId id;
    ClaimKey key;
    Offset claim;
    /// \brief HTTP status of the endpoint's answer.
    int status = 0;
    std::string contentType;
    /// \brief The answer if it is small; otherwise empty.
    std::string body;
    std::string answerHash;
};

/// \brief Frees the key of a claim that has not run and never will.
struct VoidRecord {
    RecordId id;
    ClaimKey key;
    Offset claim;
};

using ClaimStreamRecord = std::variant<ClaimRecord, OutcomeRecord, VoidRecord>;

/// \brief JSON text of a record. \sa parseClaimStreamRecord
std::string toJson(const ClaimStreamRecord &record);

/// \throws MalformedInputError
ClaimStreamRecord parseClaimStreamRecord(const std::string &payload);

/// \brief Partition of a key: a stable hash modulo the number of partitions.
int claimPartition(const ClaimKey &key, int partitions);

} // namespace mimosatally
