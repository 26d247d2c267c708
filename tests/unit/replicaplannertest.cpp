#include <catch2/catch.hpp>
#include <mimosatally/Placement>

using namespace mimosatally;

namespace
{
/// \brief A planner for 1 to 8 endpoints with 10 slots each that boot in 20 s; plans each second and sends what it decides.
class Subject
{
public:
    /// \brief Runs \a seconds with \a requests, which change by \a slope a second. \return number of orders.
    int run(int seconds, double requests, double slope = 0)
    {
        int orders = 0;
        for (int i = 0; i < seconds; ++i) {
            now += Duration(1000);
            load.requests = static_cast<int>(requests + slope * i);
            if (const std::optional<int> desired = planner.plan(load, now)) {
                CHECK(now - lastOrder >= Duration(2000));
                lastOrder = now;
                planner.recordOrder(*desired, now);
                ++orders;
            }
        }
        return orders;
    }

    ReplicaPlanner planner {ScalingProfile {1, 8, Duration(20'000)}};
    ReplicaLoad load {0, 10, 4, false, false};
    Time now {Duration(100'000)};
    Time lastOrder {Duration(0)};
};
} // namespace

// Guards against late answers while endpoints boot, and against orders without a reason, of which each is a call.
TEST_CASE("Endpoints are added at once when the predicted utilisation is high", "[placement][scale]")
{
    Subject subject;
    CHECK(subject.run(10, 29) == 0);
    CHECK(subject.planner.desired() == 4);
    CHECK(subject.run(1, 46) == 1);
    CHECK(subject.planner.desired() >= 7);

    Subject rising;
    // 20 requests and one more each second are 40 when an endpoint that is ordered now serves.
    CHECK(rising.run(7, 20, 1) >= 1);
    CHECK(rising.planner.desired() >= 6);
    rising.run(60, 1000);
    CHECK(rising.planner.desired() == 8);
}

// Guards against endpoints that are removed in a short lull, or at the time of a release, and are missing afterwards.
TEST_CASE("Endpoints are removed one by one after a quiet time", "[placement][scale]")
{
    Subject subject;
    CHECK(subject.run(30, 5) == 0);
    CHECK(subject.run(1, 5) == 1);
    CHECK(subject.planner.desired() == 3);
    CHECK(subject.run(30, 5) == 0);
    subject.load.leaving = true;
    CHECK(subject.run(60, 5) == 0);
    subject.load.leaving = false;
    subject.load.releasing = true;
    CHECK(subject.run(60, 5) == 0);
    subject.load.releasing = false;
    CHECK(subject.run(400, 0) == 2);
    CHECK(subject.planner.desired() == 1);
}

// Guards against a number that changes back and forth: one endpoint less must not be too few at once.
TEST_CASE("The number of endpoints settles under a constant load", "[placement][scale]")
{
    for (int requests = 0; requests <= 60; ++requests) {
        Subject subject;
        subject.run(300, requests);
        CHECK(subject.run(300, requests) == 0);
    }
}

// Guards against numbers outside a changed configuration.
TEST_CASE("A new configuration brings the number within its bounds", "[placement][scale]")
{
    Subject subject;
    subject.run(5, 20);
    subject.planner.setProfile({6, 7, Duration(20'000)});
    CHECK(subject.run(3, 20) == 1);
    CHECK(subject.planner.desired() == 6);
    subject.planner.setProfile({0, 2, Duration(20'000)});
    CHECK(subject.run(3, 20) == 1);
    CHECK(subject.planner.desired() == 2);
}
