#include "measures.h"

#include <cmath>

namespace mimosatally::bench
{

namespace
{
using Json = nlohmann::ordered_json;

constexpr std::size_t SHARE_WINDOW_SECONDS = 60;
/// \brief Consecutive ticks (100 ms at 5 ms each) for which an engine in the caller's region must be idle for a refusal to count as avoidable.
constexpr std::size_t MIN_IDLE_TICKS = 100 / 5;

double rounded(double value)
{
    return std::round(value * 1000) / 1000;
}

/// \brief Wait times of the customer's started requests in milliseconds, in ascending order.
std::vector<double> sortedWaits(const Trace &trace, const RunResult &result, std::size_t customer)
{
    std::vector<double> waits;
    for (std::size_t i = 0; i < result.requests.size(); ++i) {
        const RequestOutcome &outcome = result.requests[i];
        if (trace.requests[i].customer == customer && outcome.started) {
            waits.push_back(static_cast<double>((*outcome.started - outcome.arrived).count()));
        }
    }
    std::sort(waits.begin(), waits.end());
    return waits;
}

double percentile(const std::vector<double> &sorted, double fraction)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

bool isAnsweredWithinContract(const RequestOutcome &outcome)
{
    return outcome.finished && outcome.started && *outcome.started <= outcome.deadline;
}

bool isAvoidable(const RequestOutcome &outcome, const std::vector<bool> &idle)
{
    std::size_t consecutiveTicks = 0;
    const auto from = static_cast<std::size_t>(outcome.arrived.time_since_epoch() / TICK);
    const auto to = std::min(static_cast<std::size_t>(outcome.deadline.time_since_epoch() / TICK), idle.size());
    for (std::size_t tick = from; tick < to; ++tick) {
        consecutiveTicks = idle[tick] ? consecutiveTicks + 1 : 0;
        if (consecutiveTicks >= MIN_IDLE_TICKS) {
            return true;
        }
    }
    return false;
}

struct Refusals {
    std::size_t total = 0;
    std::size_t avoidable = 0;
    /// \brief Refused in the last tenth of the contract's longest wait.
    std::size_t late = 0;
};

Refusals countRefusals(const Trace &trace, const RunResult &result)
{
    Refusals refusals;
    for (std::size_t i = 0; i < result.requests.size(); ++i) {
        const RequestOutcome &outcome = result.requests[i];
        if (!outcome.refused) {
            continue;
        }
        ++refusals.total;
        refusals.avoidable += isAvoidable(outcome, result.idleTicks.at(trace.requests[i].region)) ? 1 : 0;
        refusals.late += *outcome.refused >= outcome.deadline - (outcome.deadline - outcome.arrived) / 10 ? 1 : 0;
    }
    return refusals;
}

struct ShareError {
    /// \brief Greatest shortfall against FluidReference, in percentage points of the total service.
    double maxShortfall = 0;
    std::size_t windows = 0;
    /// \brief Customer with the greatest shortfall, and first second of the window.
    std::size_t customer = 0;
    std::size_t firstSecond = 0;
};

/// \brief Fluid-flow reference for fair sharing: serves one customer's work at exactly its share of the total service in each second.
class FluidReference
{
public:
    FluidReference(const Contract &contract, std::int64_t backlog)
        : share_(static_cast<double>(contract.shareMillionths) / 1'000'000)
        , longestWaitSeconds_(static_cast<double>(contract.longestWait.count()) / 1000)
        , backlog_(static_cast<double>(backlog))
    {
    }

    /// \return the service that the customer's share provides in this second, in weighted tokens.
    double serve(const std::vector<CustomerSecond> &second, std::size_t customer)
    {
        std::int64_t total = 0;
        for (const CustomerSecond &entry : second) {
            total += entry.served;
        }
        backlog_ += static_cast<double>(second[customer].arrived);
        const double served = std::min(share_ * static_cast<double>(total), backlog_);
        // Like the real system, the reference refuses work that the share cannot serve within the longest wait.
        backlog_ = std::min(backlog_ - served, share_ * static_cast<double>(total) * longestWaitSeconds_);
        return served;
    }

private:
    double share_;
    double longestWaitSeconds_;
    double backlog_;
};

/// \brief Adds the window that begins at second \a from; counts the customers that had waiting requests throughout it.
void addWindow(const Trace &trace, const RunResult &result, std::size_t from, ShareError &error)
{
    std::int64_t total = 0;
    std::vector<double> shortfall(trace.contracts.size(), 0);
    std::vector<bool> waitedThroughout(trace.contracts.size(), true);
    std::vector<FluidReference> references;
    for (std::size_t customer = 0; customer < shortfall.size(); ++customer) {
        references.emplace_back(trace.contracts[customer], result.seconds[from][customer].waitingWeight);
    }
    for (std::size_t second = from; second < from + SHARE_WINDOW_SECONDS; ++second) {
        for (std::size_t customer = 0; customer < shortfall.size(); ++customer) {
            const CustomerSecond &entry = result.seconds[second][customer];
            total += entry.served;
            shortfall[customer] += references[customer].serve(result.seconds[second], customer) - static_cast<double>(entry.served);
            waitedThroughout[customer] = waitedThroughout[customer] && entry.waitedThroughout;
        }
    }
    for (std::size_t customer = 0; customer < shortfall.size(); ++customer) {
        if (!waitedThroughout[customer] || total == 0) {
            continue;
        }
        const double points = 100 * shortfall[customer] / static_cast<double>(total);
        if (points > error.maxShortfall) {
            error.maxShortfall = points;
            error.customer = customer;
            error.firstSecond = from;
        }
        ++error.windows;
    }
}

ShareError shareError(const Trace &trace, const RunResult &result)
{
    ShareError error;
    for (std::size_t from = 0; from + SHARE_WINDOW_SECONDS < result.seconds.size(); ++from) {
        addWindow(trace, result, from, error);
    }
    return error;
}
} // namespace

std::string toString(Strategy strategy)
{
    switch (strategy) {
    case Strategy::Policy:
        return "policy";
    case Strategy::StaticRoundRobin:
        return "static-round-robin";
    case Strategy::LeastLoaded:
        return "least-loaded";
    case Strategy::Greedy:
        return "greedy-role-change";
    }
    return "unknown";
}

std::size_t answeredWithinContract(const RunResult &result)
{
    return static_cast<std::size_t>(std::count_if(result.requests.begin(), result.requests.end(), isAnsweredWithinContract));
}

Json measure(const Trace &trace, const RunResult &result)
{
    const double seconds = static_cast<double>(trace.end().time_since_epoch().count()) / 1000;
    const auto requests = static_cast<double>(result.requests.size());
    const Refusals refusals = countRefusals(trace, result);
    const ShareError error = shareError(trace, result);
    Json json;
    json["goodput"] = rounded(static_cast<double>(answeredWithinContract(result)) / seconds);
    json["answered_within_contract"] = answeredWithinContract(result);
    json["started_late"] = std::count_if(result.requests.begin(), result.requests.end(), [](const RequestOutcome &outcome) {
        return outcome.started && *outcome.started > outcome.deadline;
    });
    json["role_changes"] = result.roleChanges;
    json["refused"] = refusals.total;
    for (std::size_t i = 0; i < result.requests.size(); ++i) {
        const RequestOutcome &outcome = result.requests[i];
        if (outcome.refused) {
            Json &count = json["refused_by"][outcome.refusalReason + " after " + std::to_string(outcome.attempts)];
            count = count.is_null() ? 1 : count.get<int>() + 1;
        }
    }
    json["refused_late"] = refusals.late;
    json["avoidable_refusals"] = refusals.avoidable;
    json["avoidable_percent"] = rounded(100 * static_cast<double>(refusals.avoidable) / std::max(requests, 1.0));
    json["share_error_points"] = rounded(error.maxShortfall);
    if (error.maxShortfall > 0) {
        json["share_error_customer"] = trace.contracts[error.customer].customer.value();
        json["share_error_from_s"] = error.firstSecond;
    }
    json["share_windows"] = error.windows;
    json["cross_region_bytes"] = result.crossRegionBytes;
    json["cached_prompt_percent"] =
        rounded(100 * static_cast<double>(result.engineTotals.cachedTokens) / std::max(static_cast<double>(result.engineTotals.promptTokens), 1.0));
    json["engine_busy_seconds"] = rounded(result.engineTotals.busySeconds);
    json["engine_changing_seconds"] = rounded(result.engineTotals.changingSeconds);
    json["engine_small_batch_seconds"] = rounded(result.engineTotals.smallBatchSeconds);
    for (std::size_t customer = 0; customer < trace.contracts.size(); ++customer) {
        const std::vector<double> waits = sortedWaits(trace, result, customer);
        Json &entry = json["customers"][trace.contracts[customer].customer.value()];
        entry["requests"] = std::count_if(trace.requests.begin(), trace.requests.end(), [&](const TraceRequest &request) {
            return request.customer == customer;
        });
        entry["started"] = waits.size();
        entry["wait_p50_ms"] = percentile(waits, 0.50);
        entry["wait_p95_ms"] = percentile(waits, 0.95);
        entry["wait_p99_ms"] = percentile(waits, 0.99);
    }
    return json;
}

Json measureIsolation(const Trace &trace, const RunResult &withSurge, const RunResult &withoutSurge)
{
    std::vector<bool> isSurging(trace.contracts.size(), false);
    for (const TraceRequest &request : trace.requests) {
        isSurging[request.customer] = isSurging[request.customer] || request.surge;
    }
    const Trace traceWithoutSurge = trace.withoutSurge();
    Json json;
    for (std::size_t customer = 0; customer < isSurging.size(); ++customer) {
        if (isSurging[customer]) {
            continue;
        }
        const std::vector<double> waitsWithoutSurge = sortedWaits(traceWithoutSurge, withoutSurge, customer);
        const std::vector<double> waitsWithSurge = sortedWaits(trace, withSurge, customer);
        const double p99WithoutSurge = percentile(waitsWithoutSurge, 0.99);
        const double p99WithSurge = percentile(waitsWithSurge, 0.99);
        Json &entry = json[trace.contracts[customer].customer.value()];
        entry["wait_p99_without_surge_ms"] = p99WithoutSurge;
        entry["wait_p99_with_surge_ms"] = p99WithSurge;
        entry["started_without_surge"] = waitsWithoutSurge.size();
        entry["started_with_surge"] = waitsWithSurge.size();
        entry["ratio"] = rounded(p99WithSurge / std::max(p99WithoutSurge, 1.0));
    }
    return json;
}

} // namespace mimosatally::bench
