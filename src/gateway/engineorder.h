#pragma once

#include <mimosatally/Core>

namespace mimosatally::internal
{

/// \brief Order in which an engine admits the calls that wait there, 0 first.
///
/// Answers the load in which decode engines also read long prompts: generations whose prompt is read already, and short prompts,
/// would wait behind them. Less reading goes first; among alike, the route's priority decides.
/// \param unread prompt tokens that the engine has to read; zero for a prompt that another engine has read.
[[nodiscard]] int engineOrder(int routePriority, Tokens unread);

} // namespace mimosatally::internal
