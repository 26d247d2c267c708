#include <catch2/catch.hpp>

#include <mimosatally/Membership>

using namespace mimosatally;

namespace
{
const EndpointId ENGINE("engine-1");
const IncarnationId FIRST("incarnation-1");
const IncarnationId SECOND("incarnation-2");

Time at(int milliseconds)
{
    return Time(Duration(milliseconds));
}

ConfigurationState stateWithEngine(InstanceState instanceState = InstanceState::Active)
{
    ConfigurationState state;
    Endpoint endpoint;
    endpoint.id = ENGINE;
    endpoint.instance = InstanceId("instance-1");
    state.configuration.endpoints.push_back(endpoint);
    state.instanceStates[endpoint.instance] = instanceState;
    return state;
}

EndpointDirectory directoryWithEngine()
{
    EndpointDirectory directory;
    directory.applyConfiguration(stateWithEngine());
    return directory;
}
} // namespace

// Guards against a violation of guarantee 7: the instance list lags and shows a leaving agent as live.
TEST_CASE("An agent that announced that it is leaving gets no work even if the list shows it as live", "[membership]")
{
    EndpointDirectory directory = directoryWithEngine();
    directory.observeAnswer(ENGINE, FIRST, false, at(0));
    CHECK(directory.availability(ENGINE, at(1)) == EndpointAvailability::Usable);
    directory.observeAnswer(ENGINE, FIRST, true, at(1000));
    directory.applyList({{ENGINE, false}});
    directory.observeAnswer(ENGINE, FIRST, false, at(2000));
    CHECK(directory.availability(ENGINE, at(2001)) == EndpointAvailability::Leaving);
}

TEST_CASE("A new incarnation is usable while the list still shows its predecessor as leaving", "[membership]")
{
    EndpointDirectory directory = directoryWithEngine();
    directory.observeAnswer(ENGINE, FIRST, false, at(0));
    directory.observeLeaving(ENGINE, FIRST);
    directory.observeConnectionLost(ENGINE, FIRST);
    directory.applyList({{ENGINE, true}});
    directory.observeAnswer(ENGINE, SECOND, false, at(5000));
    CHECK(directory.availability(ENGINE, at(5001)) == EndpointAvailability::Usable);
    CHECK(directory.incarnation(ENGINE) == SECOND);
    // A late answer of the predecessor changes nothing.
    directory.observeAnswer(ENGINE, FIRST, false, at(5100));
    CHECK(directory.incarnation(ENGINE) == SECOND);
    directory.observeConnectionLost(ENGINE, FIRST);
    CHECK(directory.availability(ENGINE, at(5101)) == EndpointAvailability::Usable);
}

TEST_CASE("An unresponsive agent stays usable only while the list shows it as live, and only up to a limit", "[membership]")
{
    EndpointDirectory directory = directoryWithEngine();
    directory.observeAnswer(ENGINE, FIRST, false, at(0));
    CHECK(directory.availability(ENGINE, at(3000)) == EndpointAvailability::Usable);
    CHECK(directory.availability(ENGINE, at(3001)) == EndpointAvailability::Silent);
    directory.applyList({{ENGINE, false}});
    CHECK(directory.availability(ENGINE, at(3001)) == EndpointAvailability::Usable);
    CHECK(directory.availability(ENGINE, at(10001)) == EndpointAvailability::Silent);
    directory.applyList({{ENGINE, true}});
    CHECK(directory.availability(ENGINE, at(3001)) == EndpointAvailability::Silent);
}

TEST_CASE("Only configured endpoints of active instances are usable", "[membership]")
{
    EndpointDirectory directory = directoryWithEngine();
    directory.observeAnswer(ENGINE, FIRST, false, at(0));
    CHECK(directory.usable(at(1)) == std::vector<EndpointId> {ENGINE});
    directory.applyConfiguration(stateWithEngine(InstanceState::Draining));
    CHECK(directory.availability(ENGINE, at(1)) == EndpointAvailability::WithdrawnByOperator);
    directory.applyConfiguration(ConfigurationState());
    CHECK(directory.availability(ENGINE, at(1)) == EndpointAvailability::NotConfigured);
    CHECK(directory.usable(at(1)).empty());
}
