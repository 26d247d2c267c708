#include "gateway/callauthentication.h"
#include "gateway/organisationlabels.h"

#include <catch2/catch.hpp>

#include <malloc.h>
#include <platform/callcodec.h>
#include <platform/configurationreader.h>
#include <platform/recordcodec.h>

using namespace mimosatally;
using internal::CallAuthentication;
namespace http = boost::beast::http;

namespace
{
/// \brief Configuration without routes and with \a tenants, the JSON text of their list.
ServingConfiguration configuration(const std::string &tenants)
{
    return platform::decodeConfiguration(R"({"version":3,"routes":[],"services":[],"tenants":)" + tenants + "}");
}

KeyTable tableOf(const std::string &tenants)
{
    return KeyTable(std::make_shared<const ServingConfiguration>(configuration(tenants)));
}

std::string nameOf(const KeyTable &table, const std::string &key)
{
    const Organisation *organisation = table.find(KeyDigester().digest(key));
    return organisation == nullptr ? "-" : organisation->id.value();
}

HttpRequest requestWith(const std::vector<std::string> &authorizations)
{
    HttpRequest request = makeHttpRequest(http::verb::get, "/a", "", "");
    for (const std::string &value : authorizations) {
        request.insert(http::field::authorization, value);
    }
    return request;
}

std::string manyOrganisations(std::size_t count)
{
    std::string list = "[";
    for (std::size_t i = 0; i < count; ++i) {
        list += (i == 0 ? "" : ",") + (R"({"name":"o)" + std::to_string(i) + R"("})");
    }
    return list + "]";
}

std::size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

constexpr const char *TWO = R"([{"name":"a","apiKeys":["k1","shared"],"priority":1},{"name":"b","apiKeys":["shared","k2","k2"]}])";
} // namespace

// Guards against a table that grows with the configuration beyond what the smallest gateway has.
TEST_CASE("A table of 100,000 keys takes 40 bytes a key and finds each key", "[organisation]")
{
    constexpr int keys = 100'000;
    ServingConfiguration next;
    next.organisations.emplace(100);
    const KeyDigester digester;
    for (int i = 0; i < keys; ++i) {
        next.organisations->at(static_cast<std::size_t>(i) % 100).keys.push_back(digester.digest("key-" + std::to_string(i)));
    }
    for (std::size_t i = 0; i < 100; ++i) {
        next.organisations->at(i).id = OrganisationId(std::to_string(i));
    }
    const auto shared = std::make_shared<const ServingConfiguration>(std::move(next));
    const std::size_t before = allocatedBytes();
    const KeyTable table(shared);
    const std::size_t bytes = allocatedBytes() - before;
    CHECK(bytes <= std::size_t(40) * keys + 8192);
    REQUIRE(table.size() == keys);
    int wrong = 0;
    for (int i = 0; i < keys; ++i) {
        wrong += nameOf(table, "key-" + std::to_string(i)) == std::to_string(i % 100) ? 0 : 1;
    }
    CHECK(wrong == 0);
    CHECK(nameOf(table, "key-100000") == "-");
    WARN(bytes << " bytes for " << keys << " keys");
}

// Guards against a key whose organisation depends on the order of the digests, and against a key of one organisation that is reported because it is repeated.
TEST_CASE("A key of two organisations belongs to the first of them and is reported once", "[organisation]")
{
    const KeyTable table = tableOf(TWO);
    CHECK(nameOf(table, "shared") == "a");
    CHECK(nameOf(table, "k2") == "b");
    CHECK(table.size() == 3);
    CHECK(table.duplicates() == std::vector<KeyDigest> {KeyDigester().digest("shared")});
    CHECK(digestPrefix(KeyDigester().digest("abc")) == "ba7816bf");
    CHECK(tableOf("[]").isActive());
    CHECK_FALSE(KeyTable().isActive());
}

// Guards against a caller that is let in, or kept out, because of how it writes the field.
TEST_CASE("The key of a caller is read from one well-formed field only", "[organisation]")
{
    for (const char *value : {"Bearer k1", "bearer k1", "BEARER   k1", "Bearer k1  ", "bEaReR k1"}) {
        CAPTURE(value);
        CHECK(platform::callerKey(requestWith({value})) == "k1");
    }
    for (const char *value :
         {"", "Bearer", "Bearer ", "Bearer    ", "k1", "Basic k1", "Bearerk1", "Bearer\tk1", "Bearer k1 k2", "Bearer k1\tk2", "Bearer: k1", " "}) {
        CAPTURE(value);
        CHECK_FALSE(platform::callerKey(requestWith({value})));
    }
    CHECK_FALSE(platform::callerKey(requestWith({})));
    CHECK_FALSE(platform::callerKey(requestWith({"Bearer k1", "Bearer k1"})));
    CHECK_FALSE(platform::callerKey(requestWith({"Bearer k1", ""})));
}

// Guards against a text that is taken for a list with one key, a configuration that ends the process, and a name that adds a field to requests.
TEST_CASE("Organisations of a wrong form make a configuration unreadable", "[organisation]")
{
    for (const char *tenants : {"{}",
                                "7",
                                R"("a")",
                                "[7]",
                                "[[]]",
                                "[null]",
                                R"([{"apiKeys":[]}])",
                                R"([{"name":7}])",
                                R"([{"name":""}])",
                                R"([{"name":"a\r\nX: y"}])",
                                R"([{"name":"a","apiKeys":"k1"}])",
                                R"([{"name":"a","apiKeys":null}])",
                                R"([{"name":"a","apiKeys":{"x":"k1"}}])",
                                R"([{"name":"a","apiKeys":[7]}])",
                                R"([{"name":"a","apiKeys":[["k1"]]}])",
                                R"([{"name":"a","priority":"1"}])",
                                R"([{"name":"a","priority":1.5}])",
                                R"([{"name":"a","priority":-1}])",
                                R"([{"name":"a","priority":true}])",
                                R"([{"name":"a","priority":99999999999}])",
                                R"([{"name":"a","keyDigests":["00"],"maxKeyBytes":1}])",
                                R"([{"name":"a","keyDigests":[],"maxKeyBytes":"x"}])"}) {
        CAPTURE(tenants);
        CHECK_THROWS_AS(configuration(tenants), MalformedInputError);
    }
    const ServingConfiguration decoded = configuration(R"([{"name":"a"},{"name":"b","apiKeys":[],"priority":0}])");
    REQUIRE(decoded.organisations->size() == 2);
    CHECK_FALSE(decoded.organisations->at(0).priority);
    CHECK(decoded.organisations->at(1).priority == 0);
    CHECK_FALSE(platform::decodeConfiguration(R"({"version":3,"routes":[],"services":[]})").organisations);
}

// Guards against a configuration that exhausts the memory of a gateway.
TEST_CASE("A configuration with too many organisations is rejected as a whole", "[organisation]")
{
    CHECK(configuration(manyOrganisations(100'000)).organisations->size() == 100'000);
    CHECK_THROWS_AS(configuration(manyOrganisations(1'000'000)), MalformedInputError);
    std::string keys = R"([{"name":"a","apiKeys":["k")";
    for (int i = 0; i < 200'000; ++i) {
        keys += R"(,"k")";
    }
    CHECK_THROWS_AS(configuration(keys + "]}]"), MalformedInputError);
}

// Guards against keys that leave the process, and against a gateway that learns a configuration from a peer and authenticates differently.
TEST_CASE("The form of a configuration for peers has digests in place of keys and is read alike", "[organisation]")
{
    const std::string text = R"({"version":3,"routes":[],"services":[],"tenants":[{"name":"a","apiKeys":["secret-one"],"priority":1},{"name":"b"}]})";
    const std::string hidden = platform::readConfigurationText(text, platform::EarlierReading(), noCheckpoint).text;
    CHECK(hidden.find("secret-one") == std::string::npos);
    CHECK(platform::readConfigurationText(hidden, platform::EarlierReading(), noCheckpoint).text == hidden);
    const ServingConfiguration own = platform::decodeConfiguration(text);
    const ServingConfiguration learnt = platform::decodeConfiguration(hidden);
    REQUIRE(learnt.organisations->size() == 2);
    CHECK(learnt.maxKeyBytes == own.maxKeyBytes);
    CHECK(learnt.organisations->at(0).keys == own.organisations->at(0).keys);
    CHECK(learnt.organisations->at(0).priority == 1);
}

// Guards against calls that are served without a key, and against public routes that need one.
TEST_CASE("Only public routes serve calls without a valid key", "[organisation]")
{
    const KeyTable table = tableOf(TWO);
    const CallAuthentication authentication;
    Route closed;
    Route open;
    open.isPublic = true;
    for (const char *wrong : {"k", "k11", "unknown-and-longer-than-every-key"}) {
        CAPTURE(wrong);
        CHECK_FALSE(authentication.authenticate(table, &closed, wrong).caller);
        CHECK_FALSE(authentication.authenticate(table, nullptr, wrong).caller);
        CHECK(authentication.authenticate(table, &open, wrong).caller->organisation.id.empty());
    }
    CHECK_FALSE(authentication.authenticate(table, &closed, std::nullopt).caller);
    CHECK(authentication.authenticate(table, &open, std::nullopt).caller->organisation.id.empty());
    CHECK(authentication.authenticate(KeyTable(), nullptr, std::nullopt).caller);
    CHECK_FALSE(authentication.authenticate(tableOf("[]"), &closed, "k1").caller);
    // A longer key than any known one is not hashed.
    CHECK_FALSE(authentication.authenticate(table, &closed, std::string(65'536, 'k')).key);
    for (const Route *route : {&closed, &open, static_cast<Route *>(nullptr)}) {
        const auto caller = authentication.authenticate(table, route, "k1").caller;
        REQUIRE(caller);
        CHECK(caller->organisation.id == OrganisationId("a"));
        CHECK(caller->organisation.priority == 1);
        CHECK(CallAuthentication::isValid(table, *caller));
        CHECK_FALSE(CallAuthentication::isValid(tableOf("[]"), *caller));
        CHECK_FALSE(CallAuthentication::isValid(tableOf(R"([{"name":"b","apiKeys":["k1"]}])"), *caller));
        CHECK(CallAuthentication::isValid(KeyTable(), *caller));
    }
}

// Guards against keys and forged names that reach endpoints.
TEST_CASE("An attempt carries the organisation's name and not the key", "[organisation]")
{
    HttpRequest request = requestWith({"Bearer k1", "Bearer k2"});
    request.insert("x-MIMOSATALLY-tenant-id", "forged");
    request.insert("X-Mimosatally-Tenant-Id", "forged");
    EndpointAttempt attempt;
    attempt.target = EndpointId("i-1");
    const auto values = [&](const char *name) {
        return platform::encodeAttempt(request, attempt).count(name);
    };
    CHECK(values("Authorization") == 2);
    CHECK(values("X-Mimosatally-Tenant-Id") == 2);
    attempt.organisation = OrganisationId();
    CHECK(values("Authorization") == 0);
    CHECK(values("X-Mimosatally-Tenant-Id") == 0);
    attempt.organisation = OrganisationId("a");
    CHECK(values("Authorization") == 0);
    CHECK(values("X-Mimosatally-Tenant-Id") == 1);
    CHECK(platform::encodeAttempt(request, attempt)["X-Mimosatally-Tenant-Id"] == "a");
}

// Guards against metrics that grow with the number of organisations, and a name that ends its label's value.
TEST_CASE("Metrics name at most 32 organisations", "[organisation]")
{
    internal::OrganisationLabels labels;
    CHECK(labels.labelOf(OrganisationId("a\"b\\c\n")) == "abc");
    std::set<std::string> values;
    for (int i = 0; i < 1000; ++i) {
        values.insert(labels.labelOf(OrganisationId(std::to_string(i))));
    }
    CHECK(values.size() == 32);
    CHECK(values.contains("other"));
    CHECK(labels.labelOf(OrganisationId("0")) == "0");
}
