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

ConfigurationState fleetConfiguration()
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

/// \brief Reference model of one endpoint, built from the events that the directory was given.
struct EndpointModel {
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

// Guards against work for an incarnation that has announced that it is leaving, or for an agent that is disconnected or has been
// silent for too long, and against an instance list or a late answer that makes these usable.
TEST_CASE("Random lists, answers and connection losses never make a leaving or lost incarnation usable", "[membership]")
{
    const bool held = mimosatally::testing::holds("direct observation takes precedence", SEED, RUNS, [] {
        EndpointDirectory directory;
        directory.applyConfiguration(fleetConfiguration());
        std::vector<EndpointModel> models(ENDPOINTS);
        Time now = Time(Duration(0));
        for (int step = 0; step < STEPS; ++step) {
            now += Duration(*rc::gen::inRange(0, 1500));
            const int number = *rc::gen::inRange(0, ENDPOINTS);
            EndpointModel &model = models[static_cast<std::size_t>(number)];
            const EndpointId endpoint = endpointId(number);
            // Answers of the last few incarnations may arrive late and out of order.
            const int incarnation = std::max(1, model.newest - *rc::gen::inRange(0, 3));
            const IncarnationId id = incarnationId(number, incarnation);
            switch (*rc::gen::inRange(0, 5)) {
            case 0: {
                ++model.newest;
                model.connected = true;
                model.lastAnswer = now;
                directory.observeAnswer(endpoint, incarnationId(number, model.newest), false, now);
                break;
            }
            case 1: {
                const bool leaving = *rc::gen::inRange(0, 4) == 0;
                if (model.newest == 0) {
                    break;
                }
                if (incarnation == model.newest) {
                    model.connected = true;
                    model.lastAnswer = now;
                    if (leaving) {
                        model.leaving.insert(incarnation);
                    }
                }
                directory.observeAnswer(endpoint, id, leaving, now);
                break;
            }
            case 2:
                directory.observeLeaving(endpoint, id);
                model.leaving.insert(incarnation);
                model.newest = std::max(model.newest, incarnation);
                break;
            case 3:
                directory.observeConnectionLost(endpoint, id);
                model.connected = model.connected && incarnation != model.newest;
                break;
            default:
                directory.applyList({{endpointId(0), *rc::gen::inRange(0, 2) == 0}, {endpointId(1), *rc::gen::inRange(0, 2) == 0}});
                break;
            }
            for (int i = 0; i < ENDPOINTS; ++i) {
                const EndpointModel &known = models[static_cast<std::size_t>(i)];
                const bool usable = directory.availability(endpointId(i), now) == EndpointAvailability::Usable;
                const Duration silence = now - known.lastAnswer;
                const bool leaving = known.leaving.contains(known.newest);
                RC_ASSERT(!usable || (known.connected && !leaving && silence <= EndpointDirectory::MAX_SILENCE));
                RC_ASSERT(usable || !known.connected || leaving || silence > EndpointDirectory::MAX_OBSERVATION_AGE);
            }
        }
    });
    CHECK(held);
}
