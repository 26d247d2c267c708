#include <mimosatally/Streams>

#include <catch2/catch.hpp>

using namespace mimosatally;

namespace
{
const ServiceId MODEL("model");
const SoftwareVersion OLD("v1");
const SoftwareVersion NEW("v2");
constexpr Duration LIFETIME = Duration(15'000);
constexpr int ROOTS = 1000;

using Endpoints = std::map<EndpointId, EndpointRecord>;

EndpointRecord endpoint(const std::string &id, const SoftwareVersion &version, const ServiceId &service = MODEL)
{
    EndpointRecord record;
    record.id = EndpointId(id);
    record.service = service;
    record.version = version;
    record.slots = 8;
    return record;
}

/// \brief Endpoints of the old and of the new version.
Endpoints endpoints(int ofOld, int ofNew)
{
    Endpoints result;
    for (int i = 0; i < ofOld; ++i) {
        const std::string id = "old-" + std::to_string(i);
        result.emplace(id, endpoint(id, OLD));
    }
    for (int i = 0; i < ofNew; ++i) {
        const std::string id = "new-" + std::to_string(i);
        result.emplace(id, endpoint(id, NEW));
    }
    return result;
}

Route route(const std::map<std::string, int> &services, const std::string &prefix = "/notes/")
{
    Route result;
    result.host = "h";
    result.pathPrefix = prefix;
    result.form = AnswerForm::Events;
    result.retryPolicy = RetryPolicy::Idempotent;
    for (const auto &[name, weight] : services) {
        result.services.push_back({ServiceId(name), weight});
    }
    return result;
}

ServingConfiguration configurationOf(const std::vector<Route> &routes)
{
    ServingConfiguration result;
    result.routes = routes;
    return result;
}

RequestId root(int number)
{
    return RequestId("c" + std::to_string(number));
}

/// \brief Rules of a process that knows one configuration and the endpoints of one time.
OriginRules rulesOf(const Route &served, const Endpoints &registered, Time now)
{
    OriginRules rules;
    rules.setLifetime(LIFETIME);
    rules.recordConfiguration(configurationOf({served}), false, now);
    rules.recordOnlyConfiguration();
    rules.recordEndpoints(registered, now);
    return rules;
}

/// \brief Counts the roots whose conclusion is the choice of \a begin, another one, or none.
struct Conclusions {
    int right = 0;
    int wrong = 0;
    int none = 0;
};

Conclusions concludeAll(const OriginRules &begin, const OriginRules &taker, const Route &served, Time now)
{
    Conclusions result;
    for (int i = 0; i < ROOTS; ++i) {
        const ServiceId service = begin.chooseService(root(i), served);
        const std::optional<SoftwareVersion> version = begin.chooseVersion(root(i), service);
        const std::optional<OriginChoice> concluded = taker.conclude(root(i), served, now);
        REQUIRE(version);
        if (!concluded) {
            ++result.none;
        } else if (*concluded == OriginChoice {service, *version}) {
            ++result.right;
        } else {
            ++result.wrong;
        }
    }
    return result;
}
} // namespace

// Guards against two processes that choose differently, and against shares that are not those of the weights.
TEST_CASE("The choice of a candidate depends on key and weights alone, in proportion to the weights", "[originrules]")
{
    std::map<SoftwareVersion, int> chosen;
    for (int i = 0; i < ROOTS; ++i) {
        const std::map<SoftwareVersion, double> weights = {{OLD, 48}, {NEW, 16}};
        const std::optional<SoftwareVersion> choice = chooseByRendezvous(root(i).value(), weights);
        REQUIRE(choice);
        CHECK(choice == chooseByRendezvous(root(i).value(), weights));
        ++chosen[*choice];
    }
    CHECK(chosen[NEW] > ROOTS / 5);
    CHECK(chosen[NEW] < ROOTS * 3 / 10);
    CHECK_FALSE(chooseByRendezvous("c1", std::map<SoftwareVersion, double> {{OLD, 0}}));
}

// Guards against builds for different processors that disagree: the costs are those of the first build.
TEST_CASE("The cost of a candidate is the same on all machines", "[originrules]")
{
    CHECK(rendezvousCost("c1", "v1", 1) == Approx(rendezvousCost("c1", "v1", 2) * 2));
    CHECK(rendezvousCost("c1", "v1", 1) != Approx(rendezvousCost("c1v", "1", 1)));
}

// Guards against streams that are lost with all gateways while two versions serve (review case 10).
TEST_CASE("While two versions serve unchanged, the origin of each stream is concluded", "[originrules]")
{
    const Time now = Time(Duration(100'000));
    const Route served = route({{"model", 1}});
    const OriginRules rules = rulesOf(served, endpoints(4, 4), now);
    const Conclusions result = concludeAll(rules, rules, served, now + Duration(10'000));
    CHECK(result.right == ROOTS);
}

// Guards against streams that are lost with a gateway as a release begins (review case 13): only those that would move are in doubt.
TEST_CASE("After a second version has joined, few origins are in doubt and none is wrong", "[originrules]")
{
    const Time now = Time(Duration(100'000));
    const Route served = route({{"model", 1}});
    const OriginRules begin = rulesOf(served, endpoints(6, 0), now);
    OriginRules taker = begin;
    taker.recordEndpoints(endpoints(6, 1), now + Duration(300));
    const Conclusions result = concludeAll(begin, taker, served, now + Duration(3000));
    CHECK(result.wrong == 0);
    CHECK(result.none < ROOTS / 5);
}

// Guards against streams that are joined wrongly, by a process that began them as it knew the endpoints some time ago.
TEST_CASE("A process with an old view begins no stream that another one concludes wrongly", "[originrules]")
{
    const Time now = Time(Duration(100'000));
    const Route served = route({{"model", 1}});
    const OriginRules old = rulesOf(served, endpoints(6, 0), now);
    OriginRules taker = old;
    taker.recordEndpoints(endpoints(6, 1), now + Duration(500));
    taker.recordEndpoints(endpoints(3, 4), now + Duration(5000));
    taker.recordEndpoints(endpoints(1, 6), now + Duration(9000));
    const Time longestView = now + OriginRules::VIEW_LIFETIME;
    CHECK(concludeAll(old, taker, served, longestView + LIFETIME).wrong == 0);
    // The last state that the old process did not know holds alone from here on, and nothing that it began is taken up any more.
    CHECK(concludeAll(taker, taker, served, now + Duration(9000) + taker.window() + Duration(1)).right == ROOTS);
}

// Guards against a stream that is joined wrongly because one of several changes between two reads was not seen.
TEST_CASE("Each state that was registered for a moment counts", "[originrules]")
{
    const Time now = Time(Duration(100'000));
    const Route served = route({{"model", 1}});
    OriginRules taker = rulesOf(served, endpoints(6, 0), now);
    taker.recordEarlierSlots(slotsOf(endpoints(2, 6)), now);
    const OriginRules begin = rulesOf(served, endpoints(2, 6), now);
    CHECK(concludeAll(begin, taker, served, now + Duration(1000)).wrong == 0);
}

// Guards against streams of a split route that are lost with their gateway (review case 11).
TEST_CASE("On a split route the origin of each stream is concluded", "[originrules]")
{
    const Time now = Time(Duration(100'000));
    const Route served = route({{"left", 1}, {"right", 3}});
    Endpoints registered;
    registered.emplace("l", endpoint("l", OLD, ServiceId("left")));
    registered.emplace("r", endpoint("r", OLD, ServiceId("right")));
    registered.emplace("r2", endpoint("r2", NEW, ServiceId("right")));
    const OriginRules rules = rulesOf(served, registered, now);
    CHECK(concludeAll(rules, rules, served, now + Duration(1000)).right == ROOTS);
}

// Guards against a stream that goes on at the wrong service after a configuration has changed its route.
TEST_CASE("A change of the routes leaves no wrong conclusion", "[originrules]")
{
    const Time now = Time(Duration(100'000));
    const Time changed = now + Duration(1000);
    const Route before = route({{"left", 1}});
    Endpoints registered;
    registered.emplace("l", endpoint("l", OLD, ServiceId("left")));
    registered.emplace("r", endpoint("r", OLD, ServiceId("right")));
    const OriginRules begin = rulesOf(before, registered, now);
    OriginRules taker = begin;
    SECTION("the route becomes split")
    {
        const Route after = route({{"left", 1}, {"right", 1}});
        taker.recordConfiguration(configurationOf({after}), true, changed);
        const Conclusions result = concludeAll(begin, taker, after, changed + Duration(1000));
        CHECK(result.wrong == 0);
        CHECK(result.right > ROOTS / 3);
    }
    SECTION("the route moves to another service")
    {
        const Route after = route({{"right", 1}});
        taker.recordConfiguration(configurationOf({after}), true, changed);
        CHECK(concludeAll(begin, taker, after, changed + Duration(1000)).none == ROOTS);
    }
    SECTION("a version of the configuration was missed")
    {
        taker.recordConfiguration(configurationOf({before}), false, changed);
        CHECK(concludeAll(begin, taker, before, changed + Duration(1000)).none == ROOTS);
        CHECK(concludeAll(begin, taker, before, changed + taker.window()).right == ROOTS);
    }
    SECTION("a route with a longer path that went first is gone")
    {
        const Route longer = route({{"right", 1}}, "/notes/long/");
        taker.recordConfiguration(configurationOf({before, longer}), true, changed);
        taker.recordConfiguration(configurationOf({before}), true, changed + Duration(1000));
        CHECK_FALSE(taker.conclude(root(1), before, changed + Duration(2000)));
    }
}

// Guards against states of a deployment that registers its first endpoints, which would leave nearly all origins in doubt.
TEST_CASE("A replay of all records tells the states from the first repeated heartbeat on", "[originrules]")
{
    std::vector<double> states;
    const auto note = [&states](const RegisteredSlots &slots) {
        double sum = 0;
        for (const auto &[version, count] : slots.at(MODEL)) {
            sum += count;
        }
        states.push_back(sum);
    };
    RegistrationReplay replay(true);
    replay.apply(EndpointId("a"), endpoint("a", OLD), note);
    replay.apply(EndpointId("b"), endpoint("b", NEW), note);
    CHECK_FALSE(replay.isWhole());
    SECTION("a heartbeat")
    {
        replay.apply(EndpointId("a"), endpoint("a", OLD), note);
        CHECK(states == std::vector<double> {16});
    }
    SECTION("a removal")
    {
        replay.apply(EndpointId("a"), std::nullopt, note);
        CHECK(states == std::vector<double> {16, 8});
    }
    CHECK(replay.isWhole());
    const std::size_t before = states.size();
    replay.apply(EndpointId("c"), endpoint("c", NEW), note);
    replay.apply(EndpointId("c"), endpoint("c", NEW), note);
    CHECK(states.size() == before + 1);
    CHECK(states.back() == states[before - 1] + 8);
}

// Guards against a replay that takes endpoints which registered before its first record for ones that join later.
TEST_CASE("A replay of later records tells no state before all endpoints have shown", "[originrules]")
{
    int states = 0;
    const auto note = [&states](const RegisteredSlots &) {
        ++states;
    };
    RegistrationReplay replay(false);
    for (int beat = 0; beat < RegistrationReplay::INTERVALS_UNTIL_WHOLE; ++beat) {
        EndpointRecord record = endpoint("a", OLD);
        record.heartbeat = beat;
        replay.apply(record.id, record, note);
    }
    CHECK(states == 0);
    EndpointRecord record = endpoint("a", OLD);
    record.heartbeat = RegistrationReplay::INTERVALS_UNTIL_WHOLE;
    replay.apply(record.id, record, note);
    CHECK(states == 1);
}
