#pragma once

#include <mimosatally/Core>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mimosatally
{

/// \brief Part of a prompt that other prompts may share.
struct PromptPart {
    std::uint64_t id = 0;
    Tokens tokens;
};

/// \brief Stream that a call continues because an earlier attempt of its caller broke off.
struct ResumedStream {
    /// \brief Request that brought the stream's first event; empty if the call does not name it, or names none that can be.
    RequestId root;
    /// \brief Id of the last event that the caller has; empty if it states none.
    std::string lastEventId;
};

/// \brief Properties of a call, decoded from its header.
struct CallRequest {
    RequestId id;
    std::string host;
    /// \brief Without the query.
    std::string path;
    /// \brief Time that the caller still waits for the answer; empty if the caller has not stated it.
    std::optional<Duration> remainingTime;
    Tokens promptTokens;
    Tokens maxOutputTokens;
    /// \brief Parts in the order of the prompt.
    std::vector<PromptPart> promptParts;
    /// \brief Set if the caller has received events of the stream in an earlier attempt.
    std::optional<ResumedStream> resumed;
};

} // namespace mimosatally
