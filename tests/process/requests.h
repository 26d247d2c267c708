#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace mimosatally::test
{

/// \brief Body of a request to `/v1/completions`.
inline nlohmann::json completionBody(const std::string &prompt, int maxTokens, bool stream = false)
{
    return {{"model", "model-a"}, {"prompt", prompt}, {"max_tokens", maxTokens}, {"stream", stream}};
}

/// \brief Body of a request to `/v1/chat/completions`.
inline nlohmann::json chatBody(const std::string &text, int maxTokens, bool stream = false)
{
    const nlohmann::json message = {{"role", "user"}, {"content", text}};
    return {{"model", "model-a"}, {"messages", nlohmann::json::array({message})}, {"max_tokens", maxTokens}, {"stream", stream}};
}

} // namespace mimosatally::test
