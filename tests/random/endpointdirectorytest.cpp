#include <catch2/catch.hpp>

#include <mimosatally/Membership>

#include "fixedseed.h"

#include <rapidcheck.h>
#include <set>

using namespace mimosatally;

namespace
{
constexpr std::uint64_t SEED = 20261204;
constexpr int RUNS = 300;
constexpr int STEPS = 200;
constexpr int ENDPOINTS = 3;

EndpointId endpointId(int number)
{
    return EndpointId("engine-" + std::to_string(number));
}

ConfigurationState fleet()
{
    ConfigurationState state;
    for (int i = 0; i < ENDPOINTS; ++i) {
        Endpoint endpoint;
        endpoint.id = endpointId(i);
        endpoint.instance = InstanceId("instance-" + std::to_string(i));
        state.configuration.endpoints.push_back(endpoint);
    }
    return state;
}

/// \brief What really happened at one endpoint, as far as the entry was told.
struct Truth {
    int newest = 0;
    bool connected = false;
    std::set<int> leaving;
    Time lastAnswer;
};

IncarnationId incarnationId(int endpoint, int number)
{
    return IncarnationId(std::to_string(endpoint) + '.' + std::to_string(number));
}
} // namespace

// Guards against work for an incarnation that said it is leaving, for an agent that is not connected or long silent, and
// against a list or a late answer that changes this.
TEST_CASE("Random lists, answers and losses never make a leaving or lost incarnation usable", "[membership]")
{
    const bool held = mimosatally::testing::holds("direct observation goes first", SEED, RUNS, [] {
        EndpointDirectory directory;
        directory.applyConfiguration(fleet());
        std::vector<Truth> truths(ENDPOINTS);
        Time now = Time(Duration(0));
        for (int step = 0; step < STEPS; ++step) {
            now += Duration(*rc::gen::inRange(0, 1500));
            const int number = *rc::gen::inRange(0, ENDPOINTS);
            Truth &truth = truths[static_cast<std::size_t>(number)];
            const EndpointId endpoint = endpointId(number);
            // Answers of the last few incarnations may arrive late and crossed.
            const int incarnation = std::max(1, truth.newest - *rc::gen::inRange(0, 3));
            const IncarnationId id = incarnationId(number, incarnation);
            switch (*rc::gen::inRange(0, 5)) {
            case 0: {
                ++truth.newest;
                truth.connected = true;
                truth.lastAnswer = now;
                directory.observeAnswer(endpoint, incarnationId(number, truth.newest), false, now);
                break;
            }
            case 1: {
                const bool leaving = *rc::gen::inRange(0, 4) == 0;
                if (truth.newest == 0) {
                    break;
                }
                if (incarnation == truth.newest) {
                    truth.connected = true;
                    truth.lastAnswer = now;
                    if (leaving) {
                        truth.leaving.insert(incarnation);
                    }
                }
                directory.observeAnswer(endpoint, id, leaving, now);
                break;
            }
            case 2:
                directory.observeLeaving(endpoint, id);
                truth.leaving.insert(incarnation);
                truth.newest = std::max(truth.newest, incarnation);
                break;
            case 3:
                directory.observeConnectionLost(endpoint, id);
                truth.connected = truth.connected && incarnation != truth.newest;
                break;
            default:
                directory.applyList({{endpointId(0), *rc::gen::inRange(0, 2) == 0}, {endpointId(1), *rc::gen::inRange(0, 2) == 0}});
                break;
            }
            for (int i = 0; i < ENDPOINTS; ++i) {
                const Truth &known = truths[static_cast<std::size_t>(i)];
                const bool usable = directory.availability(endpointId(i), now) == EndpointAvailability::Usable;
                const Duration silence = now - known.lastAnswer;
                const bool left = known.leaving.contains(known.newest);
                RC_ASSERT(!usable || (known.connected && !left && silence <= EndpointDirectory::LONGEST_SILENCE));
                RC_ASSERT(usable || !known.connected || left || silence > EndpointDirectory::FRESH_OBSERVATION);
            }
        }
    });
    CHECK(held);
}
