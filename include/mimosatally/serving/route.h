#pragma once

#include <mimosatally/Core>

#include <string>
#include <vector>

namespace mimosatally
{

using RouteId = StrongId<struct RouteTag>;

/// \brief Whether a call may be run again after an attempt whose outcome is unknown.
enum class RepeatRule {
    Idempotent,
    AtMostOnce,
};

enum class AnswerForm {
    /// \brief One body that is delivered only when it is complete.
    Whole,
    /// \brief Server-sent events that are passed on as they arrive.
    Events,
};

/// \brief One service of a route with its part of the route's calls.
struct WeightedService {
    ServiceId service;
    int weight = 1;
};

/// \brief One route of callers to services.
struct Route {
    RouteId id;
    /// \brief Host name in lower case.
    std::string host;
    /// \brief Begins and ends with a slash.
    std::string pathPrefix;
    RepeatRule repeat = RepeatRule::AtMostOnce;
    AnswerForm form = AnswerForm::Whole;
    /// \brief Longest time until the final answer.
    Duration timeout = Duration(0);
    /// \brief Time until the answer, or until its first event, that callers are promised.
    Duration latencyTarget = Duration(0);
    /// \brief 0 is the most urgent.
    int priority = 0;
    /// \brief At least one.
    std::vector<WeightedService> services;
    /// \brief Greatest number of endpoints that one call may run on.
    int maxAttempts = 1;
};

} // namespace mimosatally
