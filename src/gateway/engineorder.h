#pragma once

#include <mimosatally/Core>

namespace mimosatally::internal
{

/// \brief Number of classes of calls by the amount of prefill that they need.
constexpr int PREFILL_CLASS_COUNT = 3;

/// \brief Returns 0 for calls without prefill, 1 for a prefill within one batch step and 2 for a longer one.
[[nodiscard]] int prefillClassOf(Tokens prefillTokens);

/// \brief Rank by which an engine admits its waiting calls, lowest first.
///
/// Calls with less prefill go first; among equals, the route's priority decides. Otherwise, on decode engines that also prefill long
/// prompts, short prompts and generations whose prompt is already prefilled would wait behind the long ones.
/// \param prefillTokens prompt tokens that the engine has to prefill; zero if another engine has prefilled the prompt.
[[nodiscard]] int engineOrder(int routePriority, Tokens prefillTokens);

} // namespace mimosatally::internal
