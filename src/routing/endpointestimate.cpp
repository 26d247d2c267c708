#include "endpointestimate.h"

#include <algorithm>
#include <utility>

namespace mimosatally::internal
{

namespace
{
/// \brief Time after which a dispatch without a reported result is removed.
constexpr Duration MAX_REQUEST_LIFETIME = Duration(600000);
/// \brief Speed in the phase that the role does not favour, relative to the nominal speed, until speeds are measured.
constexpr double OTHER_PHASE_SPEED = 0.5;
/// \brief Speed of a mixed engine relative to the nominal speed, because both phases interfere in one batch.
constexpr double MIXED_SPEED = 0.85;
/// \brief Assumed duration of one call of a plain service; it is only used to compare loads.
constexpr Seconds SERVICE_CALL = 0.02;

Seconds toSeconds(Duration duration)
{
    return static_cast<Seconds>(duration.count()) / 1000;
}

double asDouble(Tokens tokens)
{
    return static_cast<double>(tokens.count());
}
} // namespace

EndpointEstimate::EndpointEstimate(Endpoint endpoint)
    : configuration_(std::move(endpoint))
{
    load_.role = configuration_.role;
}

void EndpointEstimate::setConfiguration(const Endpoint &endpoint)
{
    configuration_ = endpoint;
    present_ = true;
}

PhaseSpeeds EndpointEstimate::speeds() const
{
    PhaseSpeeds result {static_cast<double>(configuration_.prefillTokensPerSecond), static_cast<double>(configuration_.decodeTokensPerSecond)};
    const double favoured = load_.role == EngineRole::Mixed ? MIXED_SPEED : 1.0;
    const double other = load_.role == EngineRole::Mixed ? MIXED_SPEED : OTHER_PHASE_SPEED;
    result.prefill *= load_.role == EngineRole::Decode ? other : favoured;
    result.decode *= load_.role == EngineRole::Prefill ? other : favoured;
    if (load_.prefillTokensPerSecond > 0) {
        result.prefill = load_.prefillTokensPerSecond;
    }
    if (load_.decodeTokensPerSecond > 0) {
        result.decode = load_.decodeTokensPerSecond;
    }
    return {std::max(result.prefill, 1.0), std::max(result.decode, 1.0)};
}

Seconds EndpointEstimate::reportedWork(const EndpointLoad &load) const
{
    if (configuration_.kind == EndpointKind::Service) {
        return static_cast<double>(load.waitingRequests + load.runningRequests) * SERVICE_CALL;
    }
    // On average, half of the work of a running request is done.
    const double requests = static_cast<double>(load.waitingRequests) + static_cast<double>(load.runningRequests) / 2;
    return costs().seconds(requests, asDouble(load.waitingTokens) + asDouble(load.runningTokens) / 2);
}

RequestCost EndpointEstimate::costs() const
{
    if (requestCost_.meanSeconds() > 0) {
        return requestCost_;
    }
    // Before the first own request, all tokens are assumed to be prompt tokens.
    RequestCost assumed;
    assumed.add(speeds().prefill, 1.0);
    return assumed;
}

void EndpointEstimate::reportLoad(const EndpointLoad &load, Time now)
{
    const Time reportedAt = now - load.reportAge;
    if (reportedAt < reportedAt_) {
        return;
    }
    load_ = load;
    reportedAt_ = reportedAt;
    reportedWork_ = reportedWork(load);
    pruneDispatches(now);
    ownWorkSinceReport_ = 0;
    ownCountSinceReport_ = 0;
    for (auto dispatch = ownDispatches_.rbegin(); dispatch != ownDispatches_.rend() && dispatch->at >= reportedAt; ++dispatch) {
        ownWorkSinceReport_ += dispatch->seconds;
        ++ownCountSinceReport_;
    }
}

void EndpointEstimate::pruneDispatches(Time now)
{
    while (!ownDispatches_.empty() && ownDispatches_.front().at + MAX_REQUEST_LIFETIME < now) {
        ownUnfinishedWork_ -= ownDispatches_.front().seconds;
        ownDispatches_.pop_front();
    }
}

void EndpointEstimate::recordDispatch(const RouteRequest &request, Seconds seconds, Time now)
{
    ownDispatches_.push_back({request.id, request.customer, request.model, now, seconds});
    ownUnfinishedWork_ += seconds;
    ownWorkSinceReport_ += seconds;
    ++ownCountSinceReport_;
    requestCost_.add(asDouble(request.promptTokens) + asDouble(request.expectedOutputTokens), seconds);
}

std::optional<EndpointEstimate::OwnDispatch> EndpointEstimate::recordResult(const RequestId &request, AttemptResult result, Time now)
{
    if (result == AttemptResult::Failed) {
        health_.recordFailure(now);
    } else {
        health_.recordSuccess(now);
    }
    const auto found = std::find_if(ownDispatches_.begin(), ownDispatches_.end(), [&](const OwnDispatch &dispatch) {
        return dispatch.request == request;
    });
    if (found == ownDispatches_.end()) {
        return std::nullopt;
    }
    OwnDispatch finished = std::move(*found);
    ownDispatches_.erase(found);
    ownUnfinishedWork_ = ownDispatches_.empty() ? 0 : ownUnfinishedWork_ - finished.seconds;
    if (finished.at >= reportedAt_ && ownCountSinceReport_ > 0) {
        ownWorkSinceReport_ = std::max(ownWorkSinceReport_ - finished.seconds, 0.0);
        --ownCountSinceReport_;
    }
    return finished;
}

int EndpointEstimate::admittedPermille(Time now) const
{
    if (!present_ || leaving_ || !load_.healthy) {
        return 0;
    }
    return health_.admittedPermille(now);
}

Seconds EndpointEstimate::pendingWork(Time now) const
{
    const Seconds elapsed = reportedAt_ == Time::min() ? 0 : toSeconds(now - reportedAt_);
    const Seconds predicted = reportedWork_ + ownWorkSinceReport_ - elapsed;
    // The reported work decreases as the endpoint works on it; own requests without a result are certainly unfinished.
    return std::max(predicted, ownUnfinishedWork_ / 2);
}

std::size_t EndpointEstimate::activeRequests() const
{
    return load_.waitingRequests + load_.runningRequests + ownCountSinceReport_;
}

Seconds EndpointEstimate::startWait(Time now) const
{
    const auto slots = static_cast<std::size_t>(std::max(configuration_.maxConcurrentRequests, 1));
    const Seconds remaining = pendingWork(now);
    if (activeRequests() < slots || remaining <= 0) {
        return 0;
    }
    // When the request starts, the requests in the other slots are half done on average.
    return std::max(remaining - static_cast<Seconds>(slots - 1) * requestCost_.meanSeconds() / 2, 0.0);
}

Seconds EndpointEstimate::serviceTime(const RouteRequest &request, Tokens cached) const
{
    if (configuration_.kind == EndpointKind::Service) {
        return SERVICE_CALL;
    }
    const PhaseSpeeds speed = speeds();
    const double uncached = std::max(asDouble(request.promptTokens - cached), 0.0);
    return uncached / speed.prefill + asDouble(request.expectedOutputTokens) / speed.decode;
}

} // namespace mimosatally::internal
