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
    for (const char letter : text) {
        state ^= static_cast<unsigned char>(letter);
        state *= 1099511628211ULL;
    }
    return state;
}

/// \brief Deterministic generator: each token depends on all text before it, so that an answer can be continued from
/// the prompt followed by the text so far.
class EngineText
{
public:
    explicit EngineText(std::string_view prompt)
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

/// \brief Whole answer of the engine stand-in.
inline std::string engineAnswer(std::string_view prompt, long maxTokens)
{
    EngineText text(prompt);
    std::string answer;
    for (long i = 0; i < maxTokens; ++i) {
        answer += text.nextToken();
    }
    return answer;
}

/// \brief Prompt of a completion or chat request as the engine stand-in sees it.
inline std::string enginePrompt(const nlohmann::json &request)
{
    if (!request.contains("messages")) {
        return request.at("prompt").get<std::string>();
    }
    const bool continues = request.value("continue_final_message", false);
    std::string prompt;
    const auto &messages = request.at("messages");
    for (std::size_t i = 0; i < messages.size(); ++i) {
        prompt += messages[i].at("role").get<std::string>() + ": " + messages[i].at("content").get<std::string>();
        if (!continues || i + 1 < messages.size()) {
            prompt += '\n';
        }
    }
    return continues ? prompt : prompt + "assistant: ";
}

/// \brief Prompt tokens as the engine stand-in counts them: four bytes each.
inline long enginePromptTokens(std::string_view prompt)
{
    return static_cast<long>((prompt.size() + 3) / 4);
}

} // namespace mimosatally::standin
