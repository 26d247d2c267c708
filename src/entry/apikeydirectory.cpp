#include "apikeydirectory.h"

namespace mimosatally::internal
{

void ApiKeyDirectory::apply(const ConfigurationState &state)
{
    customers_.clear();
    operators_.clear();
    for (const Contract &contract : state.configuration.contracts) {
        for (const std::string &hash : contract.apiKeyHashes) {
            customers_.emplace(hash, contract.customer);
        }
    }
    for (const Operator &item : state.configuration.operators) {
        if (!item.apiKeyHash.empty()) {
            operators_.emplace(item.apiKeyHash, item.id);
        }
    }
}

CustomerId ApiKeyDirectory::customerOf(const std::string &apiKey) const
{
    const auto found = customers_.find(sha256Hex(apiKey));
    return found == customers_.end() ? CustomerId() : found->second;
}

OperatorId ApiKeyDirectory::operatorOf(const std::string &apiKey) const
{
    const auto found = operators_.find(sha256Hex(apiKey));
    return found == operators_.end() ? OperatorId() : found->second;
}

std::string bearerKey(std::string_view authorization)
{
    constexpr std::string_view scheme = "bearer ";
    if (authorization.size() <= scheme.size()) {
        return {};
    }
    for (std::size_t i = 0; i < scheme.size(); ++i) {
        const char c = authorization[i];
        const char lower = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
        if (lower != scheme[i]) {
            return {};
        }
    }
    return std::string(authorization.substr(scheme.size()));
}

} // namespace mimosatally::internal
