#include <catch2/catch.hpp>

#include <mimosatally/Authority>
#include <mimosatally/Claims>
#include <mimosatally/Config>

#include <fstream>
#include <nlohmann/json.hpp>
#include <regex>
#include <set>
#include <sstream>

using namespace mimosatally;

namespace
{
using Names = std::set<std::string>;

std::string fileText(const std::string &path)
{
    std::ifstream file(SOURCE_DIRECTORY "/" + path);
    REQUIRE(file);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Names wordsIn(const std::string &text)
{
    Names names;
    const std::regex word("[A-Za-z]+");
    for (auto match = std::sregex_iterator(text.begin(), text.end(), word); match != std::sregex_iterator(); ++match) {
        names.insert(match->str());
    }
    return names;
}

std::string captureGroup(const std::string &text, const std::string &pattern)
{
    std::smatch match;
    INFO(pattern);
    REQUIRE(std::regex_search(text, match, std::regex(pattern)));
    return match[1];
}

/// \brief Names of one mtype in a Promela model.
Names modelNames(const std::string &model, const std::string &type)
{
    return wordsIn(captureGroup(fileText("model/" + model + ".pml"), "mtype:" + type + " = \\{([^}]*)\\}"));
}

/// \brief Enumerators of one enum in a header, without its comments.
Names enumerators(const std::string &header, const std::string &name)
{
    const std::string body = captureGroup(fileText("include/mimosatally/" + header), "enum class " + name + " \\{([^}]*)\\}");
    return wordsIn(std::regex_replace(body, std::regex("///[^\n]*"), ""));
}

std::string kindOf(const std::string &payload)
{
    return nlohmann::json::parse(payload).at("kind").get<std::string>();
}
} // namespace

// Guards against a model that verifies another protocol than the one the code implements.
TEST_CASE("The models and the code use the same names", "[model]")
{
    CHECK(modelNames("claims", "record") == Names {kindOf(toJson(ClaimRecord())), kindOf(toJson(OutcomeRecord())), kindOf(toJson(VoidRecord()))});
    Names verdicts = modelNames("claims", "verdict");
    // All requests of the model have the same body, so this verdict does not occur in it.
    verdicts.insert("LostToOtherBody");
    CHECK(verdicts == enumerators("claims/claimtable.h", "ClaimVerdict"));
    CHECK(modelNames("claims", "admission") == enumerators("claims/claimgate.h", "ClaimAdmission"));
    CHECK(modelNames("claims", "word") == enumerators("queueing/scheduler.h", "CancelWord"));

    CHECK(modelNames("authority", "record") == Names {kindOf(toJson(AcquireRecord())), kindOf(toJson(RenewRecord()))});
    CHECK(modelNames("authority", "state") == enumerators("authority/ordergate.h", "OrderGateState"));

    const Names records = modelNames("configuration", "record");
    CHECK(records.contains(std::string(toString(DocumentKind::Full))));
    CHECK(records.contains(std::string(toString(InstanceAction::Drain))));
    CHECK(records.contains(std::string(toString(InstanceAction::Replace))));
    CHECK(records.contains(kindOf(ConfigurationLog({}).snapshot(RecordId("id")))));
    const auto list = ConfigurationReplica({}).recordsFor(ConfigurationVersion(-1), Time());
    CHECK((list.empty() || records.contains(kindOf(list.front().payload))));
}
