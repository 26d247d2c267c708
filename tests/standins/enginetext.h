#pragma once

#include <cstdint>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace mimosatally::standin
{

/// \brief FNV-1a over \a text, continuing from \a state.
inline std::uint64_t hashText(std::string_view text, std::uint64_t state = 14695981039346656037ULL)
{
    for (const char byte : text) {
        state ^= static_cast<unsigned char>(byte);
        state *= 1099511628211ULL;
    }
    return state;
}

/// \brief Deterministic generator: each token depends on all text before it, so an answer can be continued from the prompt
/// followed by the text so far.
class TokenGenerator
{
public:
    explicit TokenGenerator(std::string_view prompt)
        : state_(hashText(prompt))
    {
    }

    std::string nextToken()
    {
        char token[8];
        std::snprintf(token, sizeof token, "%05x ", static_cast<unsigned>((state_ >> 24) & 0xfffff));
        state_ = hashText(token, state_);
        return token;
    }

private:
    std::uint64_t state_;
};

/// \brief Complete answer of the engine stand-in.
inline std::string engineAnswer(std::string_view prompt, long maxTokens)
{
    TokenGenerator generator(prompt);
    std::string answer;
    for (long i = 0; i < maxTokens; ++i) {
        answer += generator.nextToken();
    }
    return answer;
}

/// \brief Prompt of a completion request, or the messages of a chat request joined into one prompt.
inline std::string enginePrompt(const nlohmann::json &request)
{
    if (!request.contains("messages")) {
        return request.at("prompt").get<std::string>();
    }
    const bool continuesLastMessage = request.value("continue_final_message", false);
    std::string prompt;
    const auto &messages = request.at("messages");
    for (std::size_t i = 0; i < messages.size(); ++i) {
        prompt += messages[i].at("role").get<std::string>() + ": " + messages[i].at("content").get<std::string>();
        if (!continuesLastMessage || i + 1 < messages.size()) {
            prompt += '\n';
        }
    }
    return continuesLastMessage ? prompt : prompt + "assistant: ";
}

/// \brief Number of prompt tokens as the engine stand-in counts them: four bytes each, rounded up.
inline long enginePromptTokens(std::string_view prompt)
{
    return static_cast<long>((prompt.size() + 3) / 4);
}

} // namespace mimosatally::standin
