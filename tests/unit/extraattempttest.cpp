#include <catch2/catch.hpp>

#include <mimosatally/Routing>

#include <algorithm>
#include <map>
#include <queue>
#include <random>

using namespace mimosatally;

namespace
{
const ServiceId SERVICE("s");
const RouteId ROUTE("r");

/// \brief Budget of a service with so many requests that only the limit and the policy bind, unless a test says otherwise.
ExtraAttemptPolicy::Budget budgetOf(std::int64_t perRequest = 200)
{
    return ExtraAttemptPolicy::Budget(RetryAllowance {perRequest, 0, 1'000'000, ExtraAttemptPolicy::WINDOW, Duration(0)});
}

/// \brief Calls at a constant rate whose times to the first byte a function gives; each asks for an extra attempt once, after its delay.
class Load
{
public:
    /// \param extraTime time to the first byte of extra attempts.
    Load(ExtraAttemptPolicy &policy, ExtraAttemptPolicy::Budget &budget, Duration extraTime = Duration(50))
        : policy_(policy)
        , budget_(budget)
        , extraTime_(extraTime)
    {
    }

    template<class TimeOf>
    void run(Duration length, Duration interval, TimeOf timeOf, bool freeSlot = true)
    {
        const Time end = now_ + length;
        for (Time next = now_; next < end; next += interval) {
            work(next);
            const auto call = policy_.begin(SERVICE, ROUTE, next);
            budget_.recordRequest(SERVICE, next);
            requests_.push_back(next);
            const Duration time = timeOf();
            const auto delay = policy_.delay(SERVICE, ROUTE, Duration(0));
            if (delay && *delay < time) {
                events_.push({next + *delay, call, true, freeSlot});
            }
            events_.push({next + time, call, false, freeSlot});
        }
        now_ = end;
    }

    /// \brief Extra attempts of each window that ends with one, as a share of the requests of the window.
    [[nodiscard]] double largestShare() const
    {
        double largest = 0;
        for (const Time end : extras_) {
            const auto within = [end](Time time) {
                return time > end - ExtraAttemptPolicy::WINDOW && time <= end;
            };
            largest =
                std::max(largest, static_cast<double>(std::ranges::count_if(extras_, within)) / static_cast<double>(std::ranges::count_if(requests_, within)));
        }
        return largest;
    }

    [[nodiscard]] std::size_t extras() const
    {
        return extras_.size();
    }

    [[nodiscard]] std::size_t requests() const
    {
        return requests_.size();
    }

    int denied(ExtraAttemptDenial denial)
    {
        return denials_[denial];
    }

private:
    struct Event {
        Time at;
        ExtraAttemptPolicy::CallId call;
        bool asks;
        bool freeSlot;

        bool operator<(const Event &other) const
        {
            return at > other.at;
        }
    };

    void work(Time until)
    {
        while (!events_.empty() && events_.top().at <= until) {
            const Event event = events_.top();
            events_.pop();
            // The end of a call that an extra attempt has answered has no effect.
            if (!event.asks) {
                policy_.recordFirstByte(event.call, event.at);
            } else if (const auto denial = policy_.tryStart(event.call, event.freeSlot, budget_, event.at)) {
                ++denials_[*denial];
            } else {
                extras_.push_back(event.at);
                events_.push({event.at + extraTime_, event.call, false, true});
            }
        }
    }

    ExtraAttemptPolicy &policy_;
    ExtraAttemptPolicy::Budget &budget_;
    Duration extraTime_;
    Time now_ = Time(Duration(1'000'000));
    std::priority_queue<Event> events_;
    std::vector<Time> requests_;
    std::vector<Time> extras_;
    std::map<ExtraAttemptDenial, int> denials_;
};

/// \brief Returns 40 to 60 ms, and 400 ms in a share \a stalled of the calls.
auto timesWithStalls(double stalled)
{
    return [random = std::mt19937(7), stalled]() mutable {
        const bool stalls = std::uniform_real_distribution<double>(0, 1)(random) < stalled;
        return stalls ? Duration(400) : Duration(std::uniform_int_distribution<Duration::rep>(40, 60)(random));
    };
}
} // namespace

// Guards against extra work beyond what operators allow, in any window, and against a limit that is never used.
TEST_CASE("Under steady load extra attempts go to the slowest calls within the limit", "[extra]")
{
    const double limit = GENERATE(0.01, 0.02, 0.2);
    ExtraAttemptPolicy policy(limit);
    auto budget = budgetOf();
    Load load(policy, budget);
    load.run(Duration(60'000), Duration(10), timesWithStalls(0.03));
    CAPTURE(limit, load.extras());
    CHECK(load.largestShare() <= limit);
    // Three stalled calls in a hundred, and those of the rest that are above the quantile.
    CHECK(static_cast<double>(load.extras()) >= 0.7 * std::min(limit, 0.03) * static_cast<double>(load.requests()));
    const Duration delay = policy.delay(SERVICE, ROUTE, Duration(0)).value();
    CHECK(delay >= Duration(50));
    CHECK(delay <= Duration(80));
    CHECK(policy.delay(SERVICE, ROUTE, Duration(300)) == Duration(300));
    CHECK_FALSE(policy.delay(SERVICE, RouteId("other"), Duration(300)));
}

// Guards against a quantile of a few times, which says nothing.
TEST_CASE("There is no extra attempt before a hundred samples", "[extra]")
{
    ExtraAttemptPolicy policy(0.2);
    auto budget = budgetOf();
    Load load(policy, budget);
    load.run(Duration(1050), Duration(10), timesWithStalls(0));
    CHECK_FALSE(policy.delay(SERVICE, ROUTE, Duration(0)));
    load.run(Duration(100), Duration(10), timesWithStalls(0));
    CHECK(policy.delay(SERVICE, ROUTE, Duration(0)));
}

// Guards against extra work for a fleet that has become slow because it has too much of it, before the measured times show that.
TEST_CASE("A service that becomes slow as a whole gets next to no extra attempts", "[extra]")
{
    ExtraAttemptPolicy policy(0.2);
    auto budget = budgetOf();
    constexpr Duration slow = Duration(1000);
    Load load(policy, budget, slow);
    load.run(Duration(10'000), Duration(10), timesWithStalls(0));
    const std::size_t before = load.extras();
    load.run(slow, Duration(10), [] {
        return slow;
    });
    // Until a quarter of the running calls is slow.
    CHECK(load.extras() - before <= 5);
    CHECK(load.denied(ExtraAttemptDenial::ServiceSlow) > 80);
    CHECK(load.largestShare() <= 0.2);
}

// Guards against extra work while calls are refused for want of slots.
TEST_CASE("A service at its limit gets no extra attempts", "[extra]")
{
    ExtraAttemptPolicy policy(0.2);
    auto budget = budgetOf();
    Load load(policy, budget);
    load.run(Duration(10'000), Duration(10), timesWithStalls(0));
    const std::size_t before = load.extras();
    load.run(Duration(5000), Duration(10), timesWithStalls(0.05), false);
    CHECK(load.extras() == before);
    CHECK(load.denied(ExtraAttemptDenial::NoFreeSlot) > 0);
    ExtraAttemptPolicy refusing(0.2);
    const Time now = Time(Duration(1'100'000));
    for (int i = 0; i < 100; ++i) {
        refusing.end(refusing.begin(SERVICE, ROUTE, now));
        budget.recordRequest(SERVICE, now);
    }
    refusing.recordRefusal(SERVICE, now);
    const auto call = refusing.begin(SERVICE, ROUTE, now);
    CHECK(refusing.tryStart(call, true, budget, now + Duration(1000)) == ExtraAttemptDenial::RecentRefusal);
    CHECK(refusing.inputs(call, now + Duration(1001)).sinceRefusal == Duration(1001));
    CHECK_FALSE(refusing.tryStart(call, true, budget, now + Duration(1001)));
}

// Guards against extra attempts that use up the retries which failures need.
TEST_CASE("Half of the retry budget stays reserved for retries after failures", "[extra]")
{
    auto budget = budgetOf(100);
    const Time now = Time(Duration(1'000'000));
    for (int i = 0; i < 1000; ++i) {
        budget.recordRequest(SERVICE, now);
    }
    int extras = 0;
    while (budget.tryExtraAttempt(SERVICE, now)) {
        ++extras;
    }
    CHECK(extras == 50);
    int retries = 0;
    while (budget.tryRetry(SERVICE, now)) {
        ++retries;
    }
    CHECK(retries == 50);
    ExtraAttemptPolicy policy(0.2);
    for (int i = 0; i < 100; ++i) {
        policy.end(policy.begin(SERVICE, ROUTE, now));
    }
    CHECK(policy.tryStart(policy.begin(SERVICE, ROUTE, now), true, budget, now) == ExtraAttemptDenial::BudgetReserved);
    CHECK_FALSE(ExtraAttemptPolicy(0).isEnabled());
}
