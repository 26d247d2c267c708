#include <catch2/catch.hpp>

#include <mimosatally/Routing>

#include <deque>
#include <random>

using namespace mimosatally;

namespace
{
const ServiceId PLAIN("plain");
const EndpointId LIMITED("limited");
const EndpointId UNLIMITED("unlimited");
const DataCentreId HERE("here");
constexpr Duration WINDOW = Duration(4000);
constexpr double WINDOW_SECONDS = 4;
/// \brief Requests of a process count from this time after it has received an answer that names the limit.
constexpr Duration NOTICE_TIME = Duration(500);
constexpr Duration ANSWER_TIME = Duration(30);

/// \brief Several routers without a coordinator, an endpoint that names a request limit and one that names none.
class SharedLimitSimulation
{
public:
    SharedLimitSimulation(std::size_t processes, std::uint64_t seed)
        : random_(seed)
        , counts_(processes, static_cast<int>(processes))
        , toldAt_(processes, Time::max())
    {
        ServingConfiguration configuration;
        configuration.services[PLAIN] = {PLAIN, 100, std::nullopt};
        for (std::size_t i = 0; i < processes; ++i) {
            routers_.emplace_back(NetworkLocation {HERE, {{HERE, RegionId("r")}}}, seed * 1000 + i);
            routers_.back().setEndpoints(records(), configuration, now_);
        }
    }

    void setLimit(std::optional<RequestRate> limit)
    {
        limit_ = limit;
    }

    void setProcessCount(std::size_t index, int count)
    {
        counts_[index] = count;
    }

    PhaseRouter &router(std::size_t index)
    {
        return routers_[index];
    }

    [[nodiscard]] Time now() const
    {
        return now_;
    }

    /// \brief Lets calls arrive at random. \param callsPerSecond of each process.
    void run(Duration length, const std::vector<double> &callsPerSecond)
    {
        for (const Time end = now_ + length; now_ < end; now_ += Duration(1)) {
            deliverAnswers();
            exchangeNotices();
            for (std::size_t i = 0; i < routers_.size(); ++i) {
                const double calls = std::poisson_distribution<int>(callsPerSecond[i] / 1000)(random_);
                for (int call = 0; call < calls; ++call) {
                    place(i);
                }
            }
        }
    }

    /// \brief Returns the largest number of requests at the limited endpoint in four seconds, from processes that had been told.
    [[nodiscard]] std::size_t mostInWindow() const
    {
        std::deque<Time> window;
        std::size_t most = 0;
        for (const Time arrival : told_) {
            window.push_back(arrival);
            while (arrival - window.front() >= WINDOW) {
                window.pop_front();
            }
            most = std::max(most, window.size());
        }
        return most;
    }

    [[nodiscard]] std::size_t arrivalsSince(Time start) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(arrivals_, [start](Time arrival) {
            return arrival >= start;
        }));
    }

private:
    struct OpenCall {
        Time answerAt;
        std::size_t process;
        PhaseRouter::Ticket ticket;
        bool atLimited;
    };

    static std::map<EndpointId, EndpointRecord> records()
    {
        std::map<EndpointId, EndpointRecord> result;
        for (const EndpointId &id : {LIMITED, UNLIMITED}) {
            EndpointRecord record;
            record.id = id;
            record.service = PLAIN;
            record.dataCentre = HERE;
            record.slots = 1000;
            result[id] = record;
        }
        return result;
    }

    void place(std::size_t process)
    {
        PlacementRequest request;
        request.service = PLAIN;
        const Placement placement = routers_[process].place(request, now_);
        if (!placement.run) {
            return;
        }
        const bool atLimited = *placement.run == LIMITED;
        if (atLimited) {
            arrivals_.push_back(now_);
        }
        if (atLimited && toldAt_[process] != Time::max() && now_ - toldAt_[process] >= NOTICE_TIME) {
            told_.push_back(now_);
        }
        const auto ticket = routers_[process].begin({*placement.run, AttemptWork::Run}, request, now_);
        open_.push_back({now_ + ANSWER_TIME, process, ticket, atLimited});
    }

    /// \brief Lets each router send its heartbeat every half second, at different times; one in twenty datagrams is lost.
    void exchangeNotices()
    {
        constexpr std::int64_t heartbeatMs = 500;
        const std::int64_t phase = now_.time_since_epoch().count() % heartbeatMs;
        for (std::size_t from = 0; from < routers_.size(); ++from) {
            if (phase != static_cast<std::int64_t>(from * 37) % heartbeatMs) {
                continue;
            }
            for (const LimitNotice &notice : routers_[from].limitNotices(now_)) {
                for (std::size_t to = 0; to < routers_.size(); ++to) {
                    if (to != from && random_() % 20 != 0) {
                        routers_[to].recordLimitNotice(from, notice, now_);
                    }
                }
            }
        }
        if (phase % 25 == 0) {
            for (std::size_t i = 0; i < routers_.size(); ++i) {
                routers_[i].setProcessCount(counts_[i], now_);
            }
        }
    }

    void deliverAnswers()
    {
        while (!open_.empty() && open_.front().answerAt <= now_) {
            const OpenCall call = open_.front();
            open_.pop_front();
            EndpointAnswer answer;
            answer.status = 200;
            answer.requestLimit = call.atLimited ? limit_ : std::nullopt;
            routers_[call.process].observeAnswer(call.ticket, answer, now_);
            routers_[call.process].end(call.ticket, AttemptOutcome::Answered, now_);
            if (answer.requestLimit && toldAt_[call.process] == Time::max()) {
                toldAt_[call.process] = now_;
            }
        }
    }

    std::mt19937_64 random_;
    Time now_ = Time(Duration(1'000'000));
    std::optional<RequestRate> limit_;
    std::vector<PhaseRouter> routers_;
    /// \brief Number of processes that each router knows.
    std::vector<int> counts_;
    std::deque<OpenCall> open_;
    std::vector<Time> toldAt_;
    /// \brief Requests that the limited endpoint has got, and those of them that come from processes that it had told.
    std::vector<Time> arrivals_;
    std::vector<Time> told_;
};

double allowedInWindow(RequestRate limit)
{
    return 1.5 * requestsPerSecond(limit) * WINDOW_SECONDS + 5;
}
} // namespace

// Guards against a limit that is kept by each process alone and exceeded by all together: with many processes, the first call of each would
// already be more than a low limit allows.
TEST_CASE("Processes that decide alone keep a request limit together", "[limit]")
{
    const auto processes = GENERATE(std::size_t(1), std::size_t(3), std::size_t(25), std::size_t(68), std::size_t(150));
    const auto milliPerSecond = GENERATE(0, 300, 1000, 5000, 18'300, 60'000);
    const auto seed = GENERATE(1U, 2U, 3U);
    const RequestRate limit(milliPerSecond);
    SharedLimitSimulation simulation(processes, seed);
    simulation.setLimit(limit);
    simulation.run(Duration(12'000), std::vector<double>(processes, 600.0 / static_cast<double>(processes)));
    INFO(processes << " processes, " << requestsPerSecond(limit) << " a second, seed " << seed);
    CHECK(static_cast<double>(simulation.mostInWindow()) <= allowedInWindow(limit));
    // The endpoint still gets most of what it takes.
    const double taken = static_cast<double>(simulation.arrivalsSince(simulation.now() - Duration(8000)));
    CHECK(taken >= 0.7 * requestsPerSecond(limit) * 8 - 5);
}

// Guards against a limit that stays after the endpoint has withdrawn it, also one of zero, under which hardly any answer could say so.
TEST_CASE("A limit that the endpoint no longer names ends for all processes", "[limit]")
{
    const auto milliPerSecond = GENERATE(0, 5000);
    SharedLimitSimulation simulation(3, 1);
    simulation.setLimit(RequestRate(milliPerSecond));
    const std::vector<double> load(3, 100);
    simulation.run(Duration(5000), load);
    simulation.setLimit(std::nullopt);
    simulation.run(Duration(30'000), load);
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK_FALSE(simulation.router(i).requestLimit(LIMITED, simulation.now()));
    }
}

// Guards against a part of the limit that is computed from an outdated limit or number of processes.
TEST_CASE("Each process uses its part of the present limit", "[limit]")
{
    SharedLimitSimulation simulation(2, 1);
    const std::vector<double> load(2, 100);
    simulation.setLimit(RequestRate(40'000));
    simulation.run(Duration(3000), load);
    CHECK(simulation.router(0).requestLimit(LIMITED, simulation.now())->ownPerSecond == Approx(20));
    simulation.setLimit(RequestRate(10'000));
    simulation.run(Duration(3000), load);
    CHECK(simulation.router(0).requestLimit(LIMITED, simulation.now())->ownPerSecond == Approx(5));
    simulation.setProcessCount(0, 5);
    simulation.run(Duration(200), load);
    CHECK(simulation.router(0).requestLimit(LIMITED, simulation.now())->ownPerSecond == Approx(2));
}

// Guards against a limit that is exceeded while processes that join are not yet known to all others.
TEST_CASE("A limit holds while processes join that the others count a second later", "[limit]")
{
    const auto seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    constexpr std::size_t processes = 6;
    const RequestRate limit(18'300);
    SharedLimitSimulation simulation(processes, seed);
    const auto setCounts = [&](std::size_t first, std::size_t last, int count) {
        for (std::size_t i = first; i < last; ++i) {
            simulation.setProcessCount(i, count);
        }
    };
    simulation.setLimit(limit);
    setCounts(0, 4, 4);
    simulation.run(Duration(6000), {100, 100, 100, 100, 0, 0});
    simulation.run(Duration(1000), std::vector<double>(processes, 100));
    setCounts(0, 4, processes);
    simulation.run(Duration(6000), std::vector<double>(processes, 100));
    CHECK(static_cast<double>(simulation.mostInWindow()) <= allowedInWindow(limit));
}

// Guards against an endpoint that gets a small part of what it takes because the calls arrive at few of the processes.
TEST_CASE("Processes use the parts of a limit that others do not need", "[limit]")
{
    for (const auto &load : {std::vector<double> {100, 100, 100}, std::vector<double> {200, 5, 0}, std::vector<double> {200, 0, 0}}) {
        SharedLimitSimulation simulation(load.size(), 1);
        simulation.setLimit(RequestRate(18'300));
        simulation.run(Duration(12'000), load);
        const double perSecond = static_cast<double>(simulation.arrivalsSince(simulation.now() - Duration(8000))) / 8;
        INFO(load[0] << ", " << load[1] << ", " << load[2] << " calls a second");
        CHECK(perSecond >= 0.75 * 18.3);
        CHECK(static_cast<double>(simulation.mostInWindow()) <= allowedInWindow(RequestRate(18'300)));
    }
}

// Guards against a limit that is exceeded when processes that have lent their parts need them again all at once.
TEST_CASE("A limit holds when the load moves from one process to all others", "[limit]")
{
    const auto processes = GENERATE(std::size_t(2), std::size_t(3), std::size_t(8), std::size_t(20));
    const auto milliPerSecond = GENERATE(18'300, 60'000);
    const auto seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    const RequestRate limit(milliPerSecond);
    SharedLimitSimulation simulation(processes, seed);
    simulation.setLimit(limit);
    std::vector<double> first(processes, 0);
    first[0] = 400;
    std::vector<double> all(processes, 400);
    simulation.run(Duration(500), all);
    for (int round = 0; round < 4; ++round) {
        simulation.run(Duration(4000), first);
        simulation.run(Duration(2000), all);
    }
    INFO(processes << " processes, " << requestsPerSecond(limit) << " a second, seed " << seed);
    CHECK(static_cast<double>(simulation.mostInWindow()) <= allowedInWindow(limit));
}
