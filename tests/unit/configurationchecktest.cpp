#include <mimosatally/Cli>
#include <mimosatally/Serving>
#include <platform/recordcodec.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mimosatally;

namespace
{
const char *const SOUND = R"({"version":3,"routes":[
{"name":"a","host":"h","pathPrefix":"/a/","kind":"safe","service":"s","timeoutMs":1000,"targetLatencyMs":200,"maxAttempts":2},
{"name":"b","host":"h","pathPrefix":"/b/","kind":"unsafe","trafficSplit":[{"service":"s","weight":90},{"service":"t","weight":10}],"timeoutMs":1000}],
"services":[{"name":"s","maxConns":10},{"name":"t","maxConns":10}],
"tenants":[{"name":"x","apiKeys":["k1","k2"]},{"name":"y","apiKeys":["k3"]}]})";

ServingConfiguration sound()
{
    return platform::decodeConfiguration(SOUND);
}

bool hasFinding(const std::vector<ConfigurationFinding> &findings, const std::string &place, const std::string &part)
{
    return std::ranges::any_of(findings, [&](const ConfigurationFinding &finding) {
        return finding.place == place && finding.message.find(part) != std::string::npos;
    });
}
} // namespace

TEST_CASE("A sound serving configuration has no findings", "[configurationcheck]")
{
    CHECK(checkServingConfiguration(sound()).empty());
    CHECK(platform::readConfiguration(SOUND).unreadable.empty());
}

TEST_CASE("Entries that can never match and limits that contradict each other are all reported", "[configurationcheck]")
{
    ServingConfiguration configuration = sound();
    configuration.routes.push_back(configuration.routes[0]);
    configuration.routes[0].id = RouteId("shadowed");
    configuration.routes[1].services[1] = {ServiceId("missing"), 0};
    configuration.routes[1].latencyTarget = Duration(1500);
    configuration.routes[1].maxAttempts = 9;
    (*configuration.organisations)[1].keys = (*configuration.organisations)[0].keys;
    configuration.organisations->push_back({OrganisationId("z"), std::nullopt, {}});
    const std::vector<ConfigurationFinding> findings = checkServingConfiguration(configuration);
    CHECK(hasFinding(findings, "/routes/0", "can never match"));
    CHECK(hasFinding(findings, "/routes/1", "does not exist"));
    CHECK(hasFinding(findings, "/routes/1", "its weight is 0"));
    CHECK(hasFinding(findings, "/routes/1", "beyond its timeout"));
    CHECK(hasFinding(findings, "/routes/1", "uses at most"));
    CHECK(hasFinding(findings, "/routes/1", "must not run twice"));
    CHECK(hasFinding(findings, "/services/t", "gets no calls"));
    CHECK(hasFinding(findings, "/tenants/1", "has a key of /tenants/0"));
    CHECK(hasFinding(findings, "/tenants/2", "has no keys"));
}

TEST_CASE("Every entry that cannot be read is reported with its place, and the others are read", "[configurationcheck]")
{
    const auto result = platform::readConfiguration(R"({"version":"x","routes":[{"name":1},{"name":"a","host":"h","pathPrefix":"/a/","kind":"safe",
        "service":"s"},[]],"services":{},"tenants":[{"name":1},{"name":"y","apiKeys":["k"]}],"limits":{"maxBodyBytes":"much"}})");
    CHECK(hasFinding(result.unreadable, "/version", "whole number"));
    CHECK(hasFinding(result.unreadable, "/routes/0", "cannot be read"));
    CHECK(hasFinding(result.unreadable, "/routes/2", "cannot be read"));
    CHECK(hasFinding(result.unreadable, "/services", "not a list"));
    CHECK(hasFinding(result.unreadable, "/tenants/0", "cannot be read"));
    CHECK(hasFinding(result.unreadable, "/limits", "cannot be read"));
    CHECK(result.configuration.routes.size() == 1);
    CHECK(result.configuration.organisations->size() == 1);
    CHECK(hasFinding(platform::readConfiguration("{\n\"version\":1,\n]").unreadable, "", "line 3"));
    for (const char *text : {"", "[]", "null", "{", "\xff", R"({"routes":1,"tenants":null})"}) {
        CHECK_FALSE(platform::readConfiguration(text).unreadable.empty());
    }
}

TEST_CASE("Differences say what they mean for callers and name no key", "[configurationcheck]")
{
    ServingConfiguration next = sound();
    next.routes.erase(next.routes.begin());
    next.routes[0].timeout = Duration(500);
    (*next.organisations)[0].keys.pop_back();
    next.organisations->erase(next.organisations->begin() + 1);
    std::string text;
    for (const ConfigurationChange &change : difference(sound(), next)) {
        text += describe(change) + '\n';
    }
    CHECK(text.find("route a (h/a/) is removed: its callers get 404") != std::string::npos);
    CHECK(text.find("timeout 1000 ms -> 500 ms") != std::string::npos);
    CHECK(text.find("organisation x changes: 1 keys are removed") != std::string::npos);
    CHECK(text.find("organisation y is removed: calls with its 1 keys get 401") != std::string::npos);
    CHECK(text.find("k1") == std::string::npos);
    CHECK(difference(sound(), sound()).empty());
}
