#include "gatewaygroup.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
/// \brief Endpoint that names a request limit in every answer and records when its requests arrive.
class LimitedEndpoint
{
public:
    explicit LimitedEndpoint(int limitPerSecond)
        : limitPerSecond_(limitPerSecond)
    {
    }

    EndpointStandin::Script script()
    {
        return [this](const HttpRequest &request) -> AnswerSteps {
            const std::lock_guard lock(mutex_);
            arrivals_.push_back(MilliClock::now());
            return {bytes(wholeAnswer(requestIdOf(request), "good", 200, "Server-Limit: " + std::to_string(limitPerSecond_) + "\r\n"))};
        };
    }

    /// \brief Returns the number of requests that arrived later than \a delay after the first one.
    [[nodiscard]] std::size_t arrivalsAfter(Duration delay) const
    {
        return countedArrivals(delay).size();
    }

    /// \brief Returns the largest number of requests in any span of \a length that begins later than \a delay after the first arrival.
    [[nodiscard]] std::size_t mostArrivalsWithin(Duration length, Duration delay) const
    {
        std::deque<Time> window;
        std::size_t most = 0;
        for (const Time arrival : countedArrivals(delay)) {
            window.push_back(arrival);
            while (arrival - window.front() >= length) {
                window.pop_front();
            }
            most = std::max(most, window.size());
        }
        return most;
    }

private:
    [[nodiscard]] std::vector<Time> countedArrivals(Duration delay) const
    {
        const std::lock_guard lock(mutex_);
        std::vector<Time> counted;
        std::ranges::copy_if(arrivals_, std::back_inserter(counted), [&](Time arrival) {
            return arrival - arrivals_.front() > delay;
        });
        return counted;
    }

    int limitPerSecond_;
    mutable std::mutex mutex_;
    std::vector<Time> arrivals_;
};

EndpointStandin::Script unlimited()
{
    return [](const HttpRequest &request) -> AnswerSteps {
        return {bytes(wholeAnswer(requestIdOf(request), "good"))};
    };
}

/// \brief Sends calls through each gateway at a constant pace. \return number of calls that were not answered with 200.
int sendCalls(const GatewayGroup &group, Duration interval, Duration length)
{
    std::atomic<int> failed = 0;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < group.size(); ++i) {
        callers.emplace_back([&, i] {
            const Time end = MilliClock::now() + length;
            for (int number = 0; MilliClock::now() < end; ++number) {
                CallerConnection connection(group.callerAddress(i));
                connection.send(GatewayFixture::request(http::verb::get, "/safe/x", "r" + std::to_string(i) + "-" + std::to_string(number)));
                failed += connection.response().result_int() == 200 ? 0 : 1;
                std::this_thread::sleep_for(interval);
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    return failed;
}

constexpr int LIMIT_PER_SECOND = 10;
constexpr int WINDOW_SECONDS = 4;
constexpr Duration WINDOW = std::chrono::seconds(WINDOW_SECONDS);
/// \brief An endpoint counts the requests that it gets later than this after it has named its limit.
constexpr Duration NOTICE_TIME = Duration(500);
/// \brief Most requests in a window: one and a half times what the limit allows, and five.
constexpr std::size_t MOST_IN_WINDOW = LIMIT_PER_SECOND * WINDOW_SECONDS * 3 / 2 + 5;
} // namespace

/// \brief Runs \a gateways gateways with a limited endpoint beside an unlimited one, and checks the endpoint's limit in every window.
void checkSharedLimit(int gateways, Duration callInterval)
{
    GatewayFixture fixture;
    LimitedEndpoint limited(LIMIT_PER_SECOND);
    fixture.addEndpoint("i-1", "plain", limited.script());
    fixture.addEndpoint("i-2", "plain", unlimited());
    fixture.configure();
    GatewayGroup group(fixture, gateways);
    group.awaitPeers();
    constexpr Duration load = Duration(7000);
    CHECK(sendCalls(group, callInterval, load) == 0);
    CHECK(limited.mostArrivalsWithin(WINDOW, NOTICE_TIME) <= MOST_IN_WINDOW);
    // The endpoint still gets most of what it takes.
    constexpr int countedSeconds = 6;
    CHECK(limited.arrivalsAfter(NOTICE_TIME) >= LIMIT_PER_SECOND * countedSeconds / 2);
    WARN(gateways << " gateways: at most " << limited.mostArrivalsWithin(WINDOW, NOTICE_TIME) << " requests in a window, " << MOST_IN_WINDOW << " allowed; "
                  << limited.arrivalsAfter(NOTICE_TIME) << " in " << countedSeconds << " s");
}

// Guards against an endpoint that names a request limit and gets as many requests as without it, because no gateway applies the limit or each
// gateway applies the whole of it.
TEST_CASE("Several gateways together keep the request limit of an endpoint", "[gateway]")
{
    checkSharedLimit(3, Duration(15));
}

// By hand, as it needs a hundred processes: the first request of each gateway is already more than the limit allows in a window.
TEST_CASE("A hundred gateways together keep the request limit of an endpoint", "[.][many]")
{
    checkSharedLimit(100, Duration(400));
}
