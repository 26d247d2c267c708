#include "testfleet.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
/// \brief Log stand-in, key file and configuration file of an operator, and the commands that the operator runs with them.
class OperatorFixture
{
public:
    OperatorFixture()
        : log_(BINARY_DIRECTORY "/standin_log", {}, path("log"))
        , logAddress_(log_.waitForAddress())
    {
        CHECK(run({"key", "new", "--out=" + path("key.json")}) == 0);
        std::ifstream file(path("key.json"));
        publicKey_ = nlohmann::json::parse(file).at("public_key");
    }

    ~OperatorFixture()
    {
        std::filesystem::remove_all(directory_);
    }

    OperatorFixture(const OperatorFixture &) = delete;
    OperatorFixture &operator=(const OperatorFixture &) = delete;

    int run(std::vector<std::string> arguments)
    {
        TestProgram program(BINARY_DIRECTORY "/mimosatally", std::move(arguments), path("output"));
        const int code = program.wait();
        output = program.output();
        return code;
    }

    int publish(const std::string &longestWait, std::vector<std::string> options = {})
    {
        std::ofstream(path("c.toml")) << "models = [\"m\"]\n[[data_centres]]\nid = \"d\"\nregion = \"r\"\n[[operators]]\nid = \"op\"\npublic_key = \""
                                      << publicKey_ << "\"\n[[contracts]]\ncustomer = \"c\"\nshare = \"50%\"\nlongest_wait = \"" << longestWait
                                      << "\"\n[[endpoints]]\nid = \"e\"\ninstance = \"i\"\ndata_centre = \"d\"\nagent_address = \"127.0.0.1:1\"\n"
                                      << "models = [\"m\"]\n";
        std::vector<std::string> arguments = {"publish", path("c.toml")};
        arguments.insert(arguments.end(), options.begin(), options.end());
        return run(withOperatorOptions(std::move(arguments)));
    }

    std::vector<std::string> withOperatorOptions(std::vector<std::string> arguments) const
    {
        for (const std::string &option : {"--log=" + logAddress_, std::string("--operator=op"), "--key=" + path("key.json")}) {
            arguments.push_back(option);
        }
        return arguments;
    }

    void controlLog(const nlohmann::json &faults)
    {
        call(logAddress_, jsonPost("/control", faults));
    }

    [[nodiscard]] std::string path(const std::string &name) const
    {
        return directory_ + '/' + name;
    }

    std::string output;

private:
    static std::string makeDirectory()
    {
        std::string name = (std::filesystem::temp_directory_path() / "mimosatally-operator-XXXXXX").string();
        if (mkdtemp(name.data()) == nullptr) {
            throw Error("cannot create a directory for the test");
        }
        return name;
    }

    std::string directory_ = makeDirectory();
    TestProgram log_;
    std::string logAddress_;
    std::string publicKey_;
};
} // namespace

// Guards against a wrong verdict when operators publish concurrently or the answer to an append is lost.
TEST_CASE("Operator commands report the verdict on their record", "[cli]")
{
    OperatorFixture fixture;
    CHECK(fixture.publish("1s") == 0);
    CHECK(fixture.publish("1s") == 0);
    CHECK(fixture.output.find("unchanged") != std::string::npos);
    fixture.controlLog({{"drop_answers", 1}});
    CHECK(fixture.publish("2s") == 0);
    CHECK(fixture.output.find("accepted: configuration version 1") != std::string::npos);
    CHECK(fixture.publish("3s", {"--base=0"}) == 1);
    CHECK(fixture.output.find("void: base is not current") != std::string::npos);
    CHECK(fixture.run(fixture.withOperatorOptions({"drain", "i"})) == 0);
    CHECK(fixture.run(fixture.withOperatorOptions({"drain", "nobody"})) == 1);
    CHECK(fixture.run(fixture.withOperatorOptions({"replace", "i"})) == 0);
    CHECK(fixture.run(fixture.withOperatorOptions({"withdraw", "i"})) == 0);
    CHECK(fixture.publish("0s") == 1);
    fixture.controlLog({{"down", true}});
    CHECK(fixture.publish("4s") == 3);
}

// Guards against exit codes and help texts that differ from docs/OPERATIONS.md.
TEST_CASE("Every command has a help text, and wrong usage ends with code 2", "[cli]")
{
    OperatorFixture fixture;
    for (const std::string command : {"entry", "agent", "gateway", "check", "publish", "drain", "replace", "withdraw", "status", "audit", "key"}) {
        CHECK(fixture.run({command, "--help"}) == 0);
        CHECK(fixture.output.find("Usage: mimosatally " + command) != std::string::npos);
        CHECK(fixture.run({command, "--no-such-option"}) == 2);
    }
    CHECK(fixture.run({"--help"}) == 0);
    CHECK(fixture.run({"--version"}) == 0);
    CHECK(fixture.run({"dance"}) == 2);
    CHECK(fixture.run({"check",
                       SOURCE_DIRECTORY "/examples/parkland/configuration.toml",
                       SOURCE_DIRECTORY "/examples/mrema/agent.toml",
                       SOURCE_DIRECTORY "/examples/mrema/gateway.toml"})
          == 0);
    CHECK(fixture.run({"check", fixture.path("missing")}) == 2);
    CHECK(fixture.run({"status", "--entry=127.0.0.1:1", "--key=k"}) == 3);
    CHECK(fixture.run({"audit", "verify", fixture.path("missing")}) == 2);
}
