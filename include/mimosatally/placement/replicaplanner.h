#pragma once

#include <mimosatally/Core>
#include <mimosatally/Serving>

#include <deque>
#include <optional>

namespace mimosatally
{

/// \brief State of one service in one data centre.
struct ReplicaLoad {
    /// \brief Requests that run or wait, and those that were refused in the last second. They include what rate and duration of the calls make of each other.
    int requests = 0;
    /// \brief Requests that one endpoint runs concurrently.
    int slots = 1;
    /// \brief Endpoints that serve.
    int ready = 0;
    /// \brief An endpoint leaves.
    bool leaving = false;
    /// \brief Endpoints of two software versions are registered.
    bool releasing = false;
};

/// \brief Decides how many endpoints a service needs in one data centre. Performs no I/O.
///
/// The requests are extrapolated over the boot time of an endpoint, with their trend over the last seconds. More endpoints are ordered at once, fewer one by
/// one after a longer time, since an endpoint that is missing costs late answers and one too many only its price.
class ReplicaPlanner
{
public:
    /// \brief Utilisation of the slots above which endpoints are added, and which a new number of endpoints does not exceed.
    static constexpr double MAX_UTILISATION = 0.75;
    /// \brief Utilisation below which an endpoint is removed after QUIET_TIME.
    static constexpr double MIN_UTILISATION = 0.5;
    static constexpr Duration QUIET_TIME = Duration(30'000);
    /// \brief Time between two orders of one planner.
    static constexpr Duration ORDER_INTERVAL = Duration(2000);
    /// \brief Time over which the trend is measured.
    static constexpr Duration TREND_TIME = Duration(10'000);

    explicit ReplicaPlanner(ScalingProfile profile);

    /// \brief Changes the bounds, as a new configuration does.
    void setProfile(ScalingProfile profile);

    /// \brief Records the load, and returns the number to order; empty if none is to be ordered now. Called about once a second.
    std::optional<int> plan(const ReplicaLoad &load, Time now);

    /// \brief Records that \a desired was sent, whether it was answered or not.
    void recordOrder(int desired, Time now);

    /// \brief Number that was ordered last; before the first order, the number of endpoints that serve.
    [[nodiscard]] int desired() const;

    /// \brief Requests that are expected when an endpoint that is ordered now serves.
    [[nodiscard]] double predictedRequests() const;

private:
    struct Sample {
        Time time;
        int requests = 0;
    };

    void recordSample(const ReplicaLoad &load, Time now);
    /// \brief Change of the requests per millisecond, by least squares.
    [[nodiscard]] double trend() const;
    [[nodiscard]] int needed(int slots) const;
    [[nodiscard]] bool isQuiet(const ReplicaLoad &load, Time now);

    ScalingProfile profile_;
    std::deque<Sample> samples_;
    int desired_ = 0;
    bool ordered_ = false;
    Time nextOrder_ = Time::min();
    std::optional<Time> quietSince_;
    double predicted_ = 0;
};

} // namespace mimosatally
