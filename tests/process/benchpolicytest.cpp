#include <catch2/catch.hpp>

#include <cstdio>
#include <nlohmann/json.hpp>

namespace
{
std::string runBench(const std::string &seed)
{
    const std::string trace = SOURCE_DIRECTORY "/bench/policy/traces/short.trace";
    const std::string command = BINARY_DIRECTORY "/bench_policy --profile parkland --trace " + trace + " --seed " + seed + " --json";
    std::FILE *pipe = popen(command.c_str(), "r");
    REQUIRE(pipe != nullptr);
    std::string output;
    for (int c = std::fgetc(pipe); c != EOF; c = std::fgetc(pipe)) {
        output.push_back(static_cast<char>(c));
    }
    CHECK(pclose(pipe) == 0);
    return output;
}
} // namespace

// Guards against results that differ between runs with one seed, against requests that start after their deadline, and
// against an upper bound of the goodput that a strategy exceeds.
TEST_CASE("bench_policy gives the same figures for the same seed", "[benchpolicy]")
{
    const std::string first = runBench("5");
    CHECK(first == runBench("5"));
    const auto report = nlohmann::json::parse(first);
    const auto &policy = report.at("strategies").at("policy");
    CHECK(policy.at("answered_within_contract").get<int>() > 300);
    CHECK(policy.at("started_late") == 0);
    for (const auto &strategy : report.at("strategies")) {
        CHECK(strategy.at("goodput").get<double>() <= report.at("foresight_bound_goodput").get<double>());
    }
}
