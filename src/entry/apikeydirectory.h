#pragma once

#include <mimosatally/Config>

#include <string>
#include <unordered_map>

namespace mimosatally::internal
{

/// \brief Finds the owner of an API key by the key's SHA-256 hash.
class ApiKeyDirectory
{
public:
    /// \brief Replaces all keys by those of \a state.
    void apply(const ConfigurationState &state);

    /// \return the customer, or an empty id if the key is unknown.
    [[nodiscard]] CustomerId customerOf(const std::string &apiKey) const;

    /// \return the operator, or an empty id if the key is unknown.
    [[nodiscard]] OperatorId operatorOf(const std::string &apiKey) const;

private:
    std::unordered_map<std::string, CustomerId> customers_;
    std::unordered_map<std::string, OperatorId> operators_;
};

/// \brief Extracts KEY from the value `Bearer KEY` of an Authorization header; empty if the value has another form.
std::string bearerKey(std::string_view authorization);

} // namespace mimosatally::internal
