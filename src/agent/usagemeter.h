#pragma once

#include <mimosatally/Core>
#include <mimosatally/Queueing>

#include <string>
#include <string_view>

namespace mimosatally::internal
{

/// \brief Reads the token usage from the bytes of an engine's answer without keeping the answer.
///
/// The engine's own `usage` field is used if there is one; otherwise, each server-sent event counts as one output token.
class UsageMeter
{
public:
    UsageMeter();

    void add(std::string_view data);

    /// \param promptEstimate used if the engine reports no usage.
    [[nodiscard]] TokenUsage usage(Tokens promptEstimate) const;

    /// \brief Number of answer bytes so far.
    [[nodiscard]] Bytes bytes() const;

private:
    void countEvents(std::string_view data);

    std::string tail_;
    std::int64_t bytes_ = 0;
    std::int64_t events_ = 0;
    std::size_t matched_ = 0;
};

} // namespace mimosatally::internal
