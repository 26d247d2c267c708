#include "../../src/gateway/urgency.h"
#include "../../src/gateway/engineorder.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::internal;

namespace
{
ServingConfiguration configurationOf(const std::vector<int> &routes, const std::vector<std::optional<int>> &organisations)
{
    ServingConfiguration configuration;
    for (const int priority : routes) {
        Route route;
        route.priority = priority;
        configuration.routes.push_back(route);
    }
    if (!organisations.empty()) {
        configuration.organisations.emplace();
        for (const std::optional<int> priority : organisations) {
            configuration.organisations->push_back({OrganisationId("o" + std::to_string(configuration.organisations->size())), priority, {}});
        }
    }
    return configuration;
}
} // namespace

// Guards against short hints (priority 0, 141 tokens to prefill) that an engine admits after the decodes of long checks (priority 2), which hold all
// slots in a burst of checks. The same calls have the opposite order without contention control.
TEST_CASE("Short urgent calls go before the decodes of less urgent ones", "[contention]")
{
    const UrgencyTable table(configurationOf({2, 0}, {}));
    const int hint = table.rankOf(std::nullopt, 0);
    const int check = table.rankOf(std::nullopt, 2);
    CHECK(table.engineOrder(hint, Tokens(141)) < table.engineOrder(check, Tokens(0)));
    CHECK(engineOrder(0, Tokens(141)) > engineOrder(2, Tokens(0)));
    // Among equals, less prefill still goes first.
    CHECK(table.engineOrder(check, Tokens(0)) < table.engineOrder(check, Tokens(141)));
    CHECK(table.engineOrder(check, Tokens(141)) < table.engineOrder(check, Tokens(9190)));
}

// Guards against a large customer's urgent route that goes before the calls of an organisation with a higher priority.
TEST_CASE("The priority of the organisation goes before that of the route", "[contention]")
{
    const UrgencyTable table(configurationOf({0, 2}, {1, 5, std::nullopt}));
    CHECK(table.rankOf(1, 2) < table.rankOf(5, 0));
    CHECK(table.rankOf(1, 0) < table.rankOf(1, 2));
    // Without a priority of its own, the route alone decides.
    CHECK(table.rankOf(std::nullopt, 0) < table.rankOf(1, 0));
    CHECK(table.rankOf(1, 2) < table.rankOf(std::nullopt, 2));
    CHECK(table.rankCount() == 6);
    CHECK(table.engineOrder(table.rankOf(5, 2), Tokens(9190)) <= 9);
}

// Guards against levels outside 0 to 9, and against a lower level for a less urgent call, where a configuration has thousands of priorities.
TEST_CASE("Many distinct priorities are compressed in their order to the levels of engines", "[contention]")
{
    std::vector<std::optional<int>> priorities;
    for (int priority = 0; priority < 5000; ++priority) {
        priorities.emplace_back(priority * 7);
    }
    const UrgencyTable table(configurationOf({0, 1, 2}, priorities));
    int last = 0;
    for (const std::optional<int> priority : priorities) {
        const int level = table.engineOrder(table.rankOf(priority, 1), Tokens(9190));
        CHECK((level >= last && level <= 9));
        last = level;
    }
    CHECK(last == 9);
    CHECK(table.rankOf(-1'000'000, 0) == 0);
    CHECK(table.rankOf(1'000'000, 0) == UrgencyTable::MAX_RANKS - 1);
    CHECK(UrgencyTable().engineOrder(UrgencyTable().rankOf(3, 3), Tokens(0)) == 0);
}
