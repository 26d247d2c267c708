#include <mimosatally/placement/replicaplanner.h>

#include <algorithm>
#include <cmath>

namespace mimosatally
{

ReplicaPlanner::ReplicaPlanner(ScalingProfile profile)
    : profile_(profile)
{
}

void ReplicaPlanner::setProfile(ScalingProfile profile)
{
    profile_ = profile;
}

std::optional<int> ReplicaPlanner::plan(const ReplicaLoad &load, Time now)
{
    recordSample(load, now);
    // What an earlier holder has ordered shows only in the endpoints that serve.
    desired_ = ordered_ ? desired_ : load.ready;
    int target = std::clamp(desired_, profile_.minReplicas, profile_.maxReplicas);
    const int wanted = std::min(needed(load.slots), profile_.maxReplicas);
    if (wanted > target) {
        target = wanted;
    } else if (isQuiet(load, now) && target > profile_.minReplicas && needed(load.slots) < target) {
        --target;
    }
    return target != desired_ && now >= nextOrder_ ? std::optional(target) : std::nullopt;
}

void ReplicaPlanner::recordOrder(int desired, Time now)
{
    desired_ = desired;
    ordered_ = true;
    nextOrder_ = now + ORDER_INTERVAL;
    quietSince_.reset();
}

int ReplicaPlanner::desired() const
{
    return desired_;
}

double ReplicaPlanner::predictedRequests() const
{
    return predicted_;
}

void ReplicaPlanner::recordSample(const ReplicaLoad &load, Time now)
{
    samples_.push_back({now, load.requests});
    while (now - samples_.front().time > TREND_TIME) {
        samples_.pop_front();
    }
    predicted_ = load.requests + std::max(0.0, trend()) * static_cast<double>(profile_.bootTime.count());
}

double ReplicaPlanner::trend() const
{
    const auto count = static_cast<double>(samples_.size());
    double meanTime = 0;
    double meanRequests = 0;
    const auto timeOf = [this](const Sample &sample) {
        return static_cast<double>((sample.time - samples_.front().time).count());
    };
    for (const Sample &sample : samples_) {
        meanTime += timeOf(sample) / count;
        meanRequests += sample.requests / count;
    }
    double covariance = 0;
    double variance = 0;
    for (const Sample &sample : samples_) {
        const double offset = timeOf(sample) - meanTime;
        covariance += offset * (sample.requests - meanRequests);
        variance += offset * offset;
    }
    // Two samples of a burst would be extrapolated over the whole boot time.
    const bool isMeasured = samples_.back().time - samples_.front().time >= TREND_TIME / 2;
    return isMeasured && variance > 0 ? covariance / variance : 0;
}

int ReplicaPlanner::needed(int slots) const
{
    const double endpoints = std::ceil(predicted_ / (MAX_UTILISATION * std::max(slots, 1)));
    return static_cast<int>(std::min<double>(endpoints, profile_.maxReplicas));
}

bool ReplicaPlanner::isQuiet(const ReplicaLoad &load, Time now)
{
    const bool below = predicted_ < MIN_UTILISATION * load.slots * desired_;
    if (!below || load.leaving || load.releasing) {
        quietSince_.reset();
        return false;
    }
    quietSince_ = quietSince_.value_or(now);
    return now - *quietSince_ >= QUIET_TIME;
}

} // namespace mimosatally
