#include "configuration/servingconfigurationsample.h"
#include "core/piecework.h"
#include "coroutinerunner.h"

#include <catch2/catch.hpp>

#include <platform/configurationreader.h>

#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <random>
#include <thread>

using namespace mimosatally;
using namespace mimosatally::platform;
using mimosatally::test::runCoroutine;

namespace
{
/// \brief Text of a configuration with the given routes and, unless empty, the list of organisations \a organisations.
std::string textOf(std::int64_t version, const std::vector<std::string> &routes, const std::string &organisations = {}, bool organisationsFirst = false)
{
    std::string list;
    for (const std::string &route : routes) {
        list += (list.empty() ? "" : ",") + route;
    }
    const std::string member = organisations.empty() ? "" : R"("tenants":)" + organisations + ",";
    return R"({"version":)" + std::to_string(version) + "," + (organisationsFirst ? member : "") + R"("routes":[)" + list + "],"
           + (organisationsFirst ? "" : member) + R"("services":[{"name":"plain","maxConns":5}]})";
}

ConfigurationReading readAfter(const ConfigurationReading &earlier, const std::string &text)
{
    return readConfigurationText(text, {earlier.configuration.get(), earlier.text, earlier.routes}, noCheckpoint);
}

ConfigurationReading readFirst(const std::string &text)
{
    return readConfigurationText(text, EarlierReading(), noCheckpoint);
}

/// \brief Checks that a reading gives what a reading of the same text without an earlier one gives, and that the places of its routes are right.
void checkSameAsFirst(const ConfigurationReading &reading, const std::string &text)
{
    const ConfigurationReading expected = readFirst(text);
    CHECK(reading.configuration->version == expected.configuration->version);
    CHECK(reading.configuration->routes == expected.configuration->routes);
    CHECK(reading.configuration->services == expected.configuration->services);
    CHECK(reading.configuration->organisations == expected.configuration->organisations);
    CHECK(reading.text == expected.text);
    REQUIRE(reading.routes.size() == reading.configuration->routes.size());
    for (std::size_t i = 0; i < reading.routes.size(); ++i) {
        const std::string route = reading.text.substr(reading.routes[i].begin, reading.routes[i].length);
        CHECK(readFirst(textOf(1, {route})).configuration->routes.front() == reading.configuration->routes[i]);
    }
}

std::vector<std::string> manyRoutes(std::size_t count)
{
    std::vector<std::string> routes;
    for (std::size_t i = 0; i < count; ++i) {
        routes.push_back(samples::routeText(i));
    }
    return routes;
}
} // namespace

// Guards against the whole configuration being decoded for each change, which kept a gateway from serving calls for seconds.
TEST_CASE("Only routes whose text has changed are decoded again", "[configuration]")
{
    const std::vector<std::string> routes = manyRoutes(500);
    const ConfigurationReading earlier = readFirst(textOf(7, routes));
    CHECK(earlier.decodedRoutes == 500);
    SECTION("nothing but the version changes")
    {
        const std::string text = textOf(1234567, routes);
        const ConfigurationReading reading = readAfter(earlier, text);
        CHECK(reading.decodedRoutes == 1);
        checkSameAsFirst(reading, text);
    }
    SECTION("routes are added at the end")
    {
        std::vector<std::string> more = manyRoutes(600);
        const std::string text = textOf(8, more);
        const ConfigurationReading reading = readAfter(earlier, text);
        CHECK(reading.decodedRoutes == 101);
        checkSameAsFirst(reading, text);
    }
    SECTION("every second route changes in place")
    {
        std::vector<std::string> changed = routes;
        for (std::size_t i = 0; i < changed.size(); i += 2) {
            changed[i] = samples::routeText(i, 900);
        }
        const std::string text = textOf(8, changed);
        const ConfigurationReading reading = readAfter(earlier, text);
        CHECK(reading.decodedRoutes == 250);
        checkSameAsFirst(reading, text);
    }
    SECTION("routes are removed and others inserted")
    {
        std::vector<std::string> changed = routes;
        changed.erase(changed.begin() + 100, changed.begin() + 140);
        changed.insert(changed.begin() + 300, samples::routeText(9000));
        const std::string text = textOf(8, changed);
        const ConfigurationReading reading = readAfter(earlier, text);
        CHECK(reading.decodedRoutes == 2);
        checkSameAsFirst(reading, text);
    }
    SECTION("all routes are removed")
    {
        const std::string text = textOf(8, {});
        checkSameAsFirst(readAfter(earlier, text), text);
    }
}

// Guards against entries that are taken over although they differ, are left out, or are read twice.
TEST_CASE("A reading after an earlier one gives the same as one without it", "[configuration]")
{
    std::mt19937 random(54);
    std::vector<std::string> routes = manyRoutes(40);
    std::string organisations = R"([{"name":"a","apiKeys":["k1"]}])";
    bool organisationsFirst = false;
    std::string text = textOf(1, routes, organisations, organisationsFirst);
    ConfigurationReading earlier = readFirst(text);
    for (int version = 2; version < 200; ++version) {
        const std::size_t place = random() % (routes.size() + 1);
        const auto position = routes.begin() + static_cast<std::ptrdiff_t>(place);
        switch (random() % 6) {
        case 0:
            routes.insert(position, samples::routeText(1000 + random() % 50));
            break;
        case 1:
            routes.erase(position, routes.begin() + static_cast<std::ptrdiff_t>(std::min(routes.size(), place + random() % 20)));
            break;
        case 2:
            std::shuffle(routes.begin(), routes.end(), random);
            break;
        case 3:
            organisations = random() % 3 == 0 ? "" : "[" + samples::organisationText(random() % 5, random() % 3) + "]";
            break;
        case 4:
            organisationsFirst = !organisationsFirst;
            break;
        default:
            routes.push_back(" " + samples::routeText(random() % 60, 1000) + " ");
        }
        text = textOf(version, routes, organisations, organisationsFirst);
        ConfigurationReading reading = readAfter(earlier, text);
        checkSameAsFirst(reading, text);
        // Another gateway reads the text that it gets from this one.
        CHECK(readFirst(reading.text).configuration->organisations == reading.configuration->organisations);
        CHECK(readFirst(reading.text).text == reading.text);
        earlier = std::move(reading);
    }
}

// Guards against keys that reach other processes, and against text that is accepted though it is not a configuration.
TEST_CASE("Texts that are no configuration are rejected, also after an earlier reading", "[configuration]")
{
    const ConfigurationReading earlier = readFirst(textOf(1, manyRoutes(3)));
    const std::string route = samples::routeText(0);
    const std::vector<std::string> malformed = {
        "",
        "[]",
        R"({"version":1,"routes":[],"services":[]} x)",
        R"({"version":1,"routes":[)" + route + ",,],\"services\":[]}",
        R"({"version":1,"routes":[)" + route + ",],\"services\":[]}",
        R"({"version":1,"routes":[)" + route + " " + samples::routeText(1) + "],\"services\":[]}",
        R"({"version":1,"routes":[)" + route + "," + samples::routeText(1),
        R"({"version":1,"routes":[)" + route + ",7],\"services\":[]}",
        R"({"version":1,"routes":[[)" + route + "]],\"services\":[]}",
        R"({"version":1,"routes":{},"services":[]})",
        R"({"version":1,"services":[]})",
        R"({"version":1,"routes":[]})",
        R"({"version":"1","routes":[],"services":[]})",
        R"({"version":1,"routes":[],"services":[],"tenants":{"a":{"apiKeys":["secret"]}}})",
        R"({"version":1,"routes":[],"services":[],"tenants":[{"name":"a","apiKeys":["secret"]}],"tenants":[]})",
        R"({"version":1,"routes":[],"services":[],"tenants":{"a":{"apiKeys":["secret"]}},"tenants":[]})",
        R"({"version":1,"routes":[],"services":[],"tenants":[{"name":"a","apiKeys":["secret"]}],"tenants":null})",
        R"({"version":1,"routes":[],"routes":[],"services":[]})",
    };
    for (const std::string &text : malformed) {
        INFO(text);
        CHECK_THROWS_AS(readAfter(earlier, text), MalformedInputError);
    }
}

// Guards against a text of some kilobytes that ends every gateway which reads it, by an overflow of the stack on which it is read.
TEST_CASE("A text that is nested too deeply is rejected", "[configuration]")
{
    const std::size_t depth = GENERATE(std::size_t(40), std::size_t(5'000), std::size_t(200'000));
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    const std::string text = R"({"version":1,"routes":[],"services":[],"tenants":[{"name":"a","apiKeys":["k"],"extra":)" + nested + "}]}";
    boost::asio::io_context io;
    runCoroutine(io, [&]() -> boost::asio::awaitable<void> {
        bool rejected = false;
        const auto work = [&](const Checkpoint &checkpoint) {
            CHECK_THROWS_AS(readConfigurationText(text, EarlierReading(), checkpoint), MalformedInputError);
            rejected = true;
        };
        co_await internal::runInPieces(io, internal::Pace::Prompt, work);
        CHECK(rejected);
    });
}

// Guards against all routes being decoded again because the text has white space between them.
TEST_CASE("Routes are taken over whatever white space stands between them", "[configuration]")
{
    std::vector<std::string> routes = manyRoutes(100);
    for (std::string &route : routes) {
        route = "\r\n\t " + route + " ";
    }
    const ConfigurationReading earlier = readFirst(textOf(1, routes));
    const std::string text = textOf(2, routes);
    const ConfigurationReading reading = readAfter(earlier, text);
    CHECK(reading.decodedRoutes == 1);
    checkSameAsFirst(reading, text);
}

// Guards against versions that are put in order by something else than the version of the configuration itself.
TEST_CASE("The version of a text is found wherever it stands", "[configuration]")
{
    CHECK(configurationVersion(R"({"version":7,"routes":[)", noCheckpoint) == 7);
    CHECK(configurationVersion(R"({"routes":[{"version":1}],"extra":{"version":2},"version":-3})", noCheckpoint) == -3);
    CHECK_FALSE(configurationVersion(R"({"routes":[{"version":1}]})", noCheckpoint));
    CHECK_FALSE(configurationVersion(R"([{"version":1}])", noCheckpoint));
    CHECK_FALSE(configurationVersion("", noCheckpoint));
}

// Guards against a configuration that comes into force too late because the handlers between its pieces need most of the time.
TEST_CASE("A configuration is read in time although each turn of the event loop takes long", "[configuration]")
{
    const std::string text = samples::servingConfigurationText(samples::LARGE_CONFIGURATION, 3);
    boost::asio::io_context io;
    bool reading = true;
    internal::PieceTimes times;
    boost::asio::co_spawn(
        io,
        [&]() -> boost::asio::awaitable<void> {
            boost::asio::steady_timer timer(io);
            while (reading) {
                std::this_thread::sleep_for(std::chrono::milliseconds(150));
                timer.expires_after(std::chrono::milliseconds(0));
                co_await timer.async_wait(boost::asio::use_awaitable);
            }
        },
        boost::asio::detached);
    runCoroutine(io, [&]() -> boost::asio::awaitable<void> {
        const auto work = [&](const Checkpoint &checkpoint) {
            readConfigurationText(text, EarlierReading(), checkpoint);
        };
        times = co_await internal::runInPieces(io, internal::Pace::Shared, work);
        reading = false;
    });
    CHECK(times.total < Duration(4000));
}

// Guards against lists that are taken from another place of the text than the configuration's own members.
TEST_CASE("Members named like a list of the configuration within other members are not read as one", "[configuration]")
{
    const std::string text = R"({"version":1,"extra":{"routes":[1,{"a":2}],"tenants":[3]},"routes":[],"services":[],"limits":{"idleTimeoutMs":1500}})";
    const ConfigurationReading reading = readFirst(text);
    CHECK(reading.configuration->routes.empty());
    CHECK_FALSE(reading.configuration->organisations);
    CHECK(reading.configuration->limits.idleTimeout == Duration(1500));
}

// Guards against a loop that stands still while a configuration of the target size is read.
TEST_CASE("A large configuration is read in pieces between which other handlers run", "[configuration]")
{
    const std::string text = samples::servingConfigurationText(samples::LARGE_CONFIGURATION, 3);
    boost::asio::io_context io;
    int ticks = 0;
    bool reading = true;
    ConfigurationReading result;
    internal::PieceTimes times;
    boost::asio::co_spawn(
        io,
        [&]() -> boost::asio::awaitable<void> {
            boost::asio::steady_timer timer(io);
            while (reading) {
                timer.expires_after(std::chrono::milliseconds(1));
                co_await timer.async_wait(boost::asio::use_awaitable);
                ++ticks;
            }
        },
        boost::asio::detached);
    runCoroutine(io, [&]() -> boost::asio::awaitable<void> {
        const auto work = [&](const Checkpoint &checkpoint) {
            result = readConfigurationText(text, EarlierReading(), checkpoint);
        };
        times = co_await internal::runInPieces(io, internal::Pace::Shared, work);
        reading = false;
    });
    CHECK(result.configuration->routes.size() == samples::LARGE_CONFIGURATION.routes);
    CHECK(result.configuration->organisations->size() == samples::LARGE_CONFIGURATION.organisations);
    // Reading takes some 60 ms on a fast core, so there are several pieces on any machine.
    CHECK(times.pieces >= 5);
    CHECK(ticks >= times.pieces - 1);
}

// Guards against an error, or the end of the task, that leaves a suspended computation behind.
TEST_CASE("Errors of a computation in pieces reach the caller, and one that is given up is unwound", "[configuration]")
{
    boost::asio::io_context io;
    runCoroutine(io, [&]() -> boost::asio::awaitable<void> {
        bool caught = false;
        const auto failing = [](const Checkpoint &checkpoint) {
            const Time end = MilliClock::now() + Duration(10);
            while (MilliClock::now() < end) {
                checkpoint();
            }
            throw MalformedInputError("wrong");
        };
        try {
            co_await internal::runInPieces(io, internal::Pace::Prompt, failing);
        } catch (const MalformedInputError &) {
            caught = true;
        }
        CHECK(caught);
    });
    bool unwound = false;
    {
        boost::asio::io_context given;
        struct Flag {
            bool &flag;
            ~Flag()
            {
                flag = true;
            }
        };
        boost::asio::co_spawn(
            given,
            [&given, &unwound]() -> boost::asio::awaitable<void> {
                const auto endless = [&unwound](const Checkpoint &checkpoint) {
                    const Flag flag {unwound};
                    while (true) {
                        checkpoint();
                    }
                };
                co_await internal::runInPieces(given, internal::Pace::Shared, endless);
            },
            boost::asio::detached);
        given.run_for(std::chrono::milliseconds(30));
        CHECK_FALSE(unwound);
    }
    CHECK(unwound);
}
