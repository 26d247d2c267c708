#pragma once

#include <mimosatally/Core>

#include <string>
#include <vector>

namespace mimosatally
{

using RouteId = StrongId<struct RouteTag>;

/// \brief Rule for retries after an attempt whose outcome is unknown.
enum class RetryPolicy {
    /// \brief The call may be run again.
    Idempotent,
    /// \brief The call must not be run again.
    AtMostOnce,
};

enum class AnswerForm {
    /// \brief One body that is forwarded only when it is complete.
    Whole,
    /// \brief Server-sent events that are forwarded as they arrive.
    Events,
};

/// \brief Service of a route with its share of the route's calls.
struct WeightedService {
    ServiceId service;
    int weight = 1;

    bool operator==(const WeightedService &) const = default;
};

/// \brief Route from a host and path prefix to services.
struct Route {
    RouteId id;
    /// \brief Host name in lower case.
    std::string host;
    /// \brief Begins and ends with a slash.
    std::string pathPrefix;
    RetryPolicy retryPolicy = RetryPolicy::AtMostOnce;
    AnswerForm form = AnswerForm::Whole;
    /// \brief Maximum time until the complete answer.
    Duration timeout = Duration(0);
    /// \brief Target for the time until the answer or its first event.
    Duration latencyTarget = Duration(0);
    /// \brief 0 is the highest priority.
    int priority = 0;
    /// \brief Contains at least one service.
    std::vector<WeightedService> services;
    /// \brief Maximum number of endpoints on which one call may run.
    int maxAttempts = 1;
    /// \brief Calls need no key, also if the configuration has organisations.
    bool isPublic = false;

    bool operator==(const Route &) const = default;
};

} // namespace mimosatally
