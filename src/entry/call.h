#pragma once

#include <mimosatally/Core>

#include <cstdint>
#include <string>
#include <vector>

namespace mimosatally::internal
{

/// \brief One request of a customer, checked and ready to be routed. Exactly one of model and service is set.
struct Call {
    RequestId id;
    CustomerId customer;
    std::string method;
    /// \brief Path and query as the endpoint sees them.
    std::string path;
    std::string contentType;
    std::string body;
    ModelId model;
    ServiceId service;
    /// \brief Whether running it twice does no harm.
    bool mayRepeat = true;
    /// \brief Set if and only if the call may not be repeated.
    std::string idempotencyKey;
    /// \brief Estimated from the size of the prompt.
    Tokens promptTokens;
    /// \brief Limit that the caller set; 0 without one.
    Tokens maxOutputTokens;
    /// \brief Output tokens that are likely: past answers, at most the limit.
    Tokens expectedOutputTokens;
    /// \brief Hash of each full cache block of the prompt, each over the prompt up to the block's end.
    std::vector<std::uint64_t> cacheBlockHashes;
    Time received;
    /// \brief Latest start of service.
    Time startDeadline;
};

} // namespace mimosatally::internal
