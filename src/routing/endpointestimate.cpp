#include "endpointestimate.h"

#include <algorithm>
#include <utility>

namespace mimosatally::internal
{

namespace
{
/// \brief A dispatch whose result is never reported is forgotten after this time.
constexpr Duration LONGEST_REQUEST = Duration(600000);
/// \brief Speed in the phase that the role does not favour, as a part of the nominal speed, until speeds are measured.
constexpr double OTHER_PHASE_SPEED = 0.5;
/// \brief Speed of a mixed engine as a part of the nominal speed: both phases interfere in one batch.
constexpr double MIXED_SPEED = 0.85;
/// \brief Assumed duration of one call of a plain service; it only has to make loads comparable.
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
    // A running request has on average half of its work behind it.
    const double requests = static_cast<double>(load.waitingRequests) + static_cast<double>(load.runningRequests) / 2;
    return costs().seconds(requests, asDouble(load.waitingTokens) + asDouble(load.runningTokens) / 2);
}

RequestCost EndpointEstimate::costs() const
{
    if (requestCost_.meanSeconds() > 0) {
        return requestCost_;
    }
    // Before the first own request, all tokens are taken to be prompt tokens.
    RequestCost assumed;
    assumed.add(speeds().prefill, 1.0);
    return assumed;
}

void EndpointEstimate::reportLoad(const EndpointLoad &load, Time now)
{
    const Time taken = now - load.reportAge;
    if (taken < reportTaken_) {
        return;
    }
    load_ = load;
    reportTaken_ = taken;
    reportedWork_ = reportedWork(load);
    forgetOldDispatches(now);
    ownSinceReport_ = 0;
    ownCountSinceReport_ = 0;
    for (auto dispatch = own_.rbegin(); dispatch != own_.rend() && dispatch->at >= taken; ++dispatch) {
        ownSinceReport_ += dispatch->seconds;
        ++ownCountSinceReport_;
    }
}

void EndpointEstimate::forgetOldDispatches(Time now)
{
    while (!own_.empty() && own_.front().at + LONGEST_REQUEST < now) {
        ownUnfinished_ -= own_.front().seconds;
        own_.pop_front();
    }
}

void EndpointEstimate::recordDispatch(const RouteRequest &request, Seconds seconds, Time now)
{
    own_.push_back({request.id, request.customer, request.model, now, seconds});
    ownUnfinished_ += seconds;
    ownSinceReport_ += seconds;
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
    const auto found = std::find_if(own_.begin(), own_.end(), [&](const OwnDispatch &dispatch) {
        return dispatch.request == request;
    });
    if (found == own_.end()) {
        return std::nullopt;
    }
    OwnDispatch ended = std::move(*found);
    own_.erase(found);
    ownUnfinished_ = own_.empty() ? 0 : ownUnfinished_ - ended.seconds;
    if (ended.at >= reportTaken_ && ownCountSinceReport_ > 0) {
        ownSinceReport_ = std::max(ownSinceReport_ - ended.seconds, 0.0);
        --ownCountSinceReport_;
    }
    return ended;
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
    const Seconds elapsed = reportTaken_ == Time::min() ? 0 : toSeconds(now - reportTaken_);
    const Seconds predicted = reportedWork_ + ownSinceReport_ - elapsed;
    // The report decays as the endpoint works; own requests without a result are certainly still there.
    return std::max(predicted, ownUnfinished_ / 2);
}

std::size_t EndpointEstimate::activeRequests() const
{
    return load_.waitingRequests + load_.runningRequests + ownCountSinceReport_;
}

Seconds EndpointEstimate::startWait(Time now) const
{
    const auto slots = static_cast<std::size_t>(std::max(configuration_.maxConcurrentRequests, 1));
    const Seconds left = pendingWork(now);
    if (activeRequests() < slots || left <= 0) {
        return 0;
    }
    // When the request starts, the other slots still hold half-done work.
    return std::max(left - static_cast<Seconds>(slots - 1) * requestCost_.meanSeconds() / 2, 0.0);
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
