#include "fixedseed.h"

#include <mimosatally/Serving>
#include <platform/recordcodec.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace mimosatally;

namespace
{
/// \brief Some of the first six numbers.
std::vector<int> someNames()
{
    constexpr int names = 6;
    const int chosen = *rc::gen::inRange(0, 1 << names);
    std::vector<int> result;
    for (int name = 0; name < names; ++name) {
        if ((chosen & (1 << name)) != 0) {
            result.push_back(name);
        }
    }
    return result;
}

/// \brief A configuration of a few routes, services and organisations with names out of a small set, so that pairs share some of them.
ServingConfiguration anyConfiguration()
{
    constexpr int names = 6;
    ServingConfiguration configuration;
    for (const int name : someNames()) {
        Route route;
        route.id = RouteId("r" + std::to_string(name));
        route.host = "h";
        route.pathPrefix = '/' + std::to_string(*rc::gen::inRange(0, names)) + '/';
        route.timeout = Duration(*rc::gen::inRange(0, 3));
        route.services = {{ServiceId("s"), *rc::gen::inRange(0, 3)}};
        configuration.routes.push_back(route);
    }
    for (const int name : someNames()) {
        const ServiceId id("s" + std::to_string(name));
        configuration.services.emplace(id, ServiceProfile {id, *rc::gen::inRange(0, 3), std::nullopt});
    }
    if (*rc::gen::arbitrary<bool>()) {
        std::vector<Organisation> &organisations = configuration.organisations.emplace();
        for (const int name : someNames()) {
            organisations.push_back({OrganisationId("o" + std::to_string(name)), *rc::gen::inRange(0, 2), {KeyDigest {}}});
        }
    }
    configuration.limits.maxBodyBytes = static_cast<std::size_t>(*rc::gen::inRange(0, 2));
    return configuration;
}

/// \brief The order of the entries does not count.
void sortEntries(ServingConfiguration &configuration)
{
    std::ranges::sort(configuration.routes, {}, &Route::id);
    if (configuration.organisations) {
        std::ranges::sort(*configuration.organisations, {}, &Organisation::id);
    }
}
} // namespace

TEST_CASE("The differences between two configurations turn the first into the second", "[configurationcheck]")
{
    constexpr std::uint64_t seed = 11;
    constexpr int runs = 2000;
    CHECK(mimosatally::testing::holds("applied differences", seed, runs, [] {
        const ServingConfiguration before = anyConfiguration();
        ServingConfiguration after = anyConfiguration();
        ServingConfiguration applied = applyChanges(before, difference(before, after));
        sortEntries(applied);
        sortEntries(after);
        RC_ASSERT(applied.routes == after.routes);
        RC_ASSERT(applied.services == after.services);
        RC_ASSERT(applied.organisations == after.organisations);
        RC_ASSERT(applied.limits == after.limits);
        RC_ASSERT(difference(applied, after).empty());
    }));
}

TEST_CASE("No text ends the check of a configuration", "[configurationcheck]")
{
    constexpr std::uint64_t seed = 12;
    constexpr int runs = 5000;
    CHECK(mimosatally::testing::holds("damaged texts", seed, runs, [] {
        std::string text = R"({"version":3,"routes":[{"name":"a","host":"h","pathPrefix":"/a/","kind":"safe","service":"s","timeoutMs":1000}],
            "services":[{"name":"s","maxConns":10,"engine":{"slots":4}}],"tenants":[{"name":"x","apiKeys":["k"],"priority":1}],"limits":{}})";
        const auto changes = *rc::gen::inRange(0, 12);
        for (int i = 0; i < changes; ++i) {
            text[*rc::gen::inRange<std::size_t>(0, text.size())] = static_cast<char>(*rc::gen::inRange(1, 256));
        }
        const auto result = platform::readConfiguration(text);
        static_cast<void>(checkServingConfiguration(result.configuration));
        static_cast<void>(difference(ServingConfiguration(), result.configuration));
    }));
}
