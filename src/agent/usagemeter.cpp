#include "usagemeter.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace mimosatally::internal
{

namespace
{
/// \brief Size of the last part of the answer, which is searched for the usage; engines report it in the last event or at the end of the body.
constexpr std::size_t TAIL_BYTES = 4096;
constexpr std::string_view EVENT_PREFIX = "data: ";
constexpr std::size_t NO_MATCH = std::string_view::npos;

std::optional<TokenUsage> parseUsage(const std::string &tail)
{
    const auto name = tail.rfind("\"usage\"");
    if (name == std::string::npos) {
        return std::nullopt;
    }
    const auto open = tail.find('{', name);
    const auto close = tail.find('}', name);
    if (open == std::string::npos || close == std::string::npos || close < open) {
        return std::nullopt;
    }
    // Nested objects such as prompt_tokens_details follow the two counts, so the object is closed before the first of them.
    const auto nested = tail.find('{', open + 1);
    std::string text = tail.substr(open, close - open + 1);
    if (nested != std::string::npos && nested < close) {
        text = tail.substr(open, tail.rfind(',', nested) - open) + '}';
    }
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("prompt_tokens") || !parsed.contains("completion_tokens")) {
        return std::nullopt;
    }
    const auto &prompt = parsed["prompt_tokens"];
    const auto &output = parsed["completion_tokens"];
    if (!prompt.is_number_unsigned() || !output.is_number_unsigned()) {
        return std::nullopt;
    }
    return TokenUsage {Tokens(prompt.get<std::int64_t>()), Tokens(output.get<std::int64_t>())};
}
} // namespace

UsageMeter::UsageMeter()
{
    tail_.reserve(2 * TAIL_BYTES);
}

void UsageMeter::add(std::string_view data)
{
    bytes_ += static_cast<std::int64_t>(data.size());
    countEvents(data);
    if (data.size() > TAIL_BYTES) {
        data = data.substr(data.size() - TAIL_BYTES);
    }
    if (tail_.size() + data.size() > 2 * TAIL_BYTES) {
        tail_.erase(0, tail_.size() + data.size() - TAIL_BYTES);
    }
    tail_.append(data);
}

void UsageMeter::countEvents(std::string_view data)
{
    for (const char character : data) {
        if (character == '\n') {
            matched_ = 0;
        } else if (matched_ != NO_MATCH && character == EVENT_PREFIX[matched_]) {
            ++matched_;
            if (matched_ == EVENT_PREFIX.size()) {
                ++events_;
                matched_ = NO_MATCH;
            }
        } else {
            matched_ = NO_MATCH;
        }
    }
}

TokenUsage UsageMeter::usage(Tokens promptEstimate) const
{
    if (const auto reported = parseUsage(tail_)) {
        return *reported;
    }
    const bool hasEndEvent = tail_.find("data: [DONE]") != std::string::npos;
    return {promptEstimate, Tokens(hasEndEvent ? events_ - 1 : events_)};
}

Bytes UsageMeter::bytes() const
{
    return Bytes(bytes_);
}

} // namespace mimosatally::internal
