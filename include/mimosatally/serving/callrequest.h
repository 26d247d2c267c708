#pragma once

#include <mimosatally/Core>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mimosatally
{

/// \brief One part of a prompt, which other prompts may share.
struct PromptPart {
    std::uint64_t id = 0;
    Tokens tokens;
};

/// \brief What a caller says of its call besides method, path and body.
struct CallRequest {
    RequestId id;
    std::string host;
    /// \brief Without the query.
    std::string path;
    /// \brief How long the caller waits for the answer.
    std::optional<Duration> remainingTime;
    Tokens promptTokens;
    Tokens maxOutputTokens;
    /// \brief Parts in the order of the prompt.
    std::vector<PromptPart> promptParts;
};

} // namespace mimosatally
