#pragma once

#include <mimosatally/Core>

#include <string>
#include <vector>

namespace mimosatally
{

/// \brief Service entitlement of a customer; the only input to scheduling among customers.
struct Contract {
    CustomerId customer;
    /// \brief Share of the fleet's capacity, in millionths; the shares of all contracts sum to at most 1,000,000.
    std::int64_t shareMillionths = 0;
    /// \brief Precedence for capacity that other customers leave unused; higher values first.
    int priority = 0;
    /// \brief Maximum time from the receipt of a request to the start of its service.
    Duration longestWait = Duration(0);
    /// \brief SHA-256 hashes of the customer's API keys, in hexadecimal.
    std::vector<std::string> apiKeyHashes;

    bool operator==(const Contract &) const = default;
};

} // namespace mimosatally
