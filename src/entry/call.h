#pragma once

#include <mimosatally/Core>

#include <cstdint>
#include <string>
#include <vector>

namespace mimosatally::internal
{

/// \brief Validated request of a customer, ready to be routed. Exactly one of model and service is set.
struct Call {
    RequestId id;
    CustomerId customer;
    std::string method;
    /// \brief Path and query that are sent to the endpoint.
    std::string path;
    std::string contentType;
    std::string body;
    ModelId model;
    ServiceId service;
    /// \brief True if the call may be executed more than once.
    bool mayRepeat = true;
    /// \brief Set if and only if the call may not be repeated.
    std::string idempotencyKey;
    /// \brief Estimated from the size of the prompt.
    Tokens promptTokens;
    /// \brief Limit set by the caller; 0 if none.
    Tokens maxOutputTokens;
    /// \brief Estimated from past answers, at most maxOutputTokens if that is set.
    Tokens expectedOutputTokens;
    /// \brief Hash of each full cache block of the prompt, each over the prompt up to the block's end.
    std::vector<std::uint64_t> cacheBlockHashes;
    Time receivedAt;
    /// \brief Deadline for the start of service.
    Time startDeadline;
};

} // namespace mimosatally::internal
