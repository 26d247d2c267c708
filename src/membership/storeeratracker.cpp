#include <mimosatally/membership/storeeratracker.h>

namespace mimosatally
{

StoreEraTracker::Observation StoreEraTracker::observe(std::optional<StoreEra> era, Time now)
{
    const bool first = since_ == Time::max();
    if (first) {
        since_ = now;
    }
    if (!era || (stated_ && *era == current_)) {
        return Observation::Unchanged;
    }
    if (stated_ && *era < current_) {
        return Observation::Outdated;
    }
    const bool advanced = !first;
    stated_ = true;
    current_ = *era;
    since_ = now;
    return advanced ? Observation::Advanced : Observation::Unchanged;
}

StoreEra StoreEraTracker::current() const
{
    return current_;
}

Time StoreEraTracker::since() const
{
    return since_;
}

} // namespace mimosatally
