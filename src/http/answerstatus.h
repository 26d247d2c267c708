#pragma once

namespace mimosatally::internal
{

/// \brief Returns whether \a status is one that an answer can have. The parser accepts any three digits.
[[nodiscard]] constexpr bool isAnswerStatus(unsigned status)
{
    constexpr unsigned first = 100;
    constexpr unsigned last = 599;
    return status >= first && status <= last;
}

} // namespace mimosatally::internal
