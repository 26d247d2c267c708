#include "configuration/sampleconfiguration.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace mimosatally;

namespace
{
constexpr const char *INVALID_DOCUMENT = R"(models = ["m", "m"]
unknown = 1
[[data_centres]]
id = "dc"
region = "r"
[[operators]]
id = "op"
public_key = "00"
[[contracts]]
customer = "a"
share = "60%"
longest_wait = 3
api_key_hashes = ["key"]
[[contracts]]
customer = "a"
share = "50.5%"
longest_wait = "3 s"
[[endpoints]]
id = "e"
instance = "i"
data_centre = "elsewhere"
agent_address = "host:80"
models = ["n"]
role = "both"
[[endpoints]]
id = "f"
instance = "j"
kind = "service"
service = "s"
data_centre = "dc"
region = "q"
agent_address = "127.0.0.1:80"
)";

std::set<std::string> findingsOf(const std::string &document)
{
    std::set<std::string> lines;
    try {
        parseConfiguration(document, "f");
    } catch (const FindingsError &error) {
        for (const Finding &finding : error.findings()) {
            lines.insert(std::to_string(finding.location.line) + ' ' + finding.message.substr(0, finding.message.find(' ', 0)));
        }
    }
    return lines;
}

std::string readExample(const std::string &name)
{
    const std::ifstream file(SOURCE_DIRECTORY "/examples/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}
} // namespace

// Guards against a file that needs one correction per run, and against findings that point to the wrong line.
TEST_CASE("A document with many errors gives all findings with their lines", "[config]")
{
    const std::set<std::string> expected = {"1 `models`",
                                            "2 `unknown`",
                                            "8 `operators.public_key`",
                                            "12 `contracts.longest_wait`",
                                            "13 `contracts.api_key_hashes`",
                                            "15 `contracts.customer`",
                                            "16 `contracts.share`",
                                            "17 `contracts.longest_wait`",
                                            "21 `endpoints.data_centre`",
                                            "22 `endpoints.agent_address`",
                                            "23 `endpoints.models`",
                                            "24 `endpoints.role`",
                                            "29 `endpoints.service`",
                                            "31 `endpoints.region`"};
    CHECK(findingsOf(INVALID_DOCUMENT) == expected);
    CHECK(findingsOf("a = 1\nb = = 2\n") == std::set<std::string> {"2 is"});
}

// Guards against limits that are off by a rounding error or by a unit.
TEST_CASE("Shares and durations are read exactly", "[config]")
{
    const auto contractWith = [](const std::string &share, const std::string &wait) {
        return parseConfiguration("[[operators]]\nid = \"o\"\npublic_key = \"" + sha256Hex("k") + "\"\n[[contracts]]\ncustomer = \"c\"\nshare = \"" + share
                                      + "\"\nlongest_wait = \"" + wait + "\"\n",
                                  "f")
            .contracts.front();
    };
    CHECK(contractWith("12.5%", "250ms").shareMillionths == 125'000);
    CHECK(contractWith("0.0001%", "250ms").shareMillionths == 1);
    CHECK(contractWith("100%", "250ms").longestWait == Duration(250));
    CHECK(contractWith("7%", "30min").longestWait == Duration(1'800'000));
    CHECK_THROWS_AS(contractWith("100.0001%", "1s"), FindingsError);
    CHECK_THROWS_AS(contractWith("-1%", "1s"), FindingsError);
    CHECK_THROWS_AS(contractWith("1%", "0s"), FindingsError);
    CHECK_THROWS_AS(contractWith("1%", "9999999999999999999s"), FindingsError);
    CHECK_THROWS_AS(contractWith("1%", "1.5s"), FindingsError);
}

// Guards against snapshots and differences that lose a field.
TEST_CASE("Formatting and parsing give the same configuration, as a whole and as a difference", "[config]")
{
    const std::string file = "parkland/configuration.toml";
    const Configuration parkland = parseConfiguration(readExample(file), file);
    const Configuration mrema = parseConfiguration(readExample("mrema/configuration.toml"), "mrema");
    CHECK(parseConfiguration(formatConfiguration(parkland), "f") == parkland);
    CHECK(applyChange(parkland, formatChange(parkland, mrema), "f") == mrema);
    CHECK(formatChange(mrema, mrema).empty());
    Configuration next = parkland;
    next.contracts.front().longestWait += Duration(1);
    next.endpoints.pop_back();
    next.rolePolicy.changePrice = 0.1;
    const std::string change = formatChange(parkland, next);
    CHECK(applyChange(parkland, change, "f") == next);
    CHECK(change.size() < 700);
    CHECK_THROWS_AS(applyChange(parkland, "[remove]\ndata_centres = [\"sask-a-dc1\"]\n", "f"), FindingsError);
}

// Guards against examples and defaults that no longer match the program.
TEST_CASE("The examples have no findings", "[config]")
{
    const std::string directory = GENERATE("parkland/", "mrema/");
    CHECK(checkFile(readExample(directory + "configuration.toml"), "c") == FileKind::Configuration);
    CHECK(checkFile(readExample(directory + "entry.toml"), "e") == FileKind::EntrySettings);
    CHECK(checkFile(readExample(directory + "agent.toml"), "a") == FileKind::AgentSettings);
    CHECK(parseConfiguration(readExample(directory + "configuration.toml"), "c").endpoints.size() == 11);
    CHECK_THROWS_AS(parseEntrySettings(readExample(directory + "agent.toml"), "a"), FindingsError);
}
