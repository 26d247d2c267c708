#include "foresight.h"
#include "measures.h"

#include <docopt.h>

#include <fstream>
#include <iostream>

namespace
{
using namespace mimosatally;
using namespace mimosatally::bench;
using Json = nlohmann::ordered_json;

constexpr const char *USAGE = R"(Measures Scheduler, Router and RolePlanner on a small model of eight engines in virtual time.

Usage:
  bench_policy --profile NAME --trace FILE --seed N [--strategy NAME] [--json]
  bench_policy --generate KIND --seed N
  bench_policy --help

Options:
  --profile NAME   parkland or mrema.
  --trace FILE     Trace to run; docs/policy.md describes the format.
  --seed N         Seed of the random choices.
  --strategy NAME  Runs one strategy alone: policy, static-round-robin, least-loaded or greedy-role-change.
  --json           Prints JSON instead of a table.
  --generate KIND  Writes a trace: steady, swing, shift, surge, withdrawal or stale.
)";

constexpr int SLOTS = 8;

Trace loadTrace(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw MalformedInputError("cannot open " + path);
    }
    return readTrace(file, path);
}

bool hasSurge(const Trace &trace)
{
    return std::any_of(trace.requests.begin(), trace.requests.end(), [](const TraceRequest &request) {
        return request.surge;
    });
}

Json runStrategies(const Trace &trace, const Profile &profile, std::uint64_t seed, const std::string &strategyName)
{
    Json report;
    report["profile"] = profile.name;
    report["change_price"] = profile.changePrice;
    report["seed"] = seed;
    report["requests"] = trace.requests.size();
    double bestBaseline = 0;
    for (const Strategy strategy : {Strategy::Policy, Strategy::StaticRoundRobin, Strategy::LeastLoaded, Strategy::Greedy}) {
        const std::string name = mimosatally::bench::toString(strategy);
        if (!strategyName.empty() && strategyName != name) {
            continue;
        }
        const RunResult result = Simulation(trace, profile, strategy, seed).run();
        report["strategies"][name] = measure(trace, result);
        if (strategy != Strategy::Policy) {
            bestBaseline = std::max(bestBaseline, report["strategies"][name]["goodput"].get<double>());
        } else if (hasSurge(trace)) {
            const Trace traceWithoutSurge = trace.withoutSurge();
            report["isolation"] = measureIsolation(trace, result, Simulation(traceWithoutSurge, profile, strategy, seed).run());
        }
    }
    if (strategyName.empty()) {
        const double seconds = static_cast<double>(trace.end().time_since_epoch().count()) / 1000;
        const double bound = foresightBound(trace, EngineSettings(), SLOTS) / seconds;
        const double policy = report["strategies"]["policy"]["goodput"].get<double>();
        report["foresight_bound_goodput"] = std::round(bound * 1000) / 1000;
        EngineSettings mixed;
        mixed.speeds.favoured = mixed.speeds.mixed;
        report["mixed_bound_goodput"] = std::round(foresightBound(trace, mixed, SLOTS) / seconds * 1000) / 1000;
        report["policy_to_best_baseline"] = std::round(policy / bestBaseline * 1000) / 1000;
        report["policy_to_bound"] = std::round(policy / bound * 1000) / 1000;
    }
    return report;
}

void printTable(const Json &report)
{
    for (const auto &[name, figures] : report["strategies"].items()) {
        std::cout << name << ": goodput " << figures["goodput"] << "/s, role changes " << figures["role_changes"] << ", refused " << figures["refused"]
                  << " (late " << figures["refused_late"] << ", avoidable " << figures["avoidable_refusals"] << "), share error "
                  << figures["share_error_points"] << " in " << figures["share_windows"] << " windows, cross-region bytes " << figures["cross_region_bytes"]
                  << '\n';
        for (const auto &[customer, waits] : figures["customers"].items()) {
            std::cout << "  " << customer << ": started " << waits["started"] << " of " << waits["requests"] << ", wait p50 " << waits["wait_p50_ms"] << " p95 "
                      << waits["wait_p95_ms"] << " p99 " << waits["wait_p99_ms"] << " ms\n";
        }
    }
    for (const char *key : {"foresight_bound_goodput", "mixed_bound_goodput", "policy_to_best_baseline", "policy_to_bound", "isolation"}) {
        if (report.contains(key)) {
            std::cout << key << ": " << report[key] << '\n';
        }
    }
}
} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(USAGE, {argv + 1, argv + argc});
    try {
        const std::uint64_t seed = std::stoull(arguments.at("--seed").asString());
        if (arguments.at("--generate")) {
            generateTrace(std::cout, arguments.at("--generate").asString(), seed);
            return 0;
        }
        const Trace trace = loadTrace(arguments.at("--trace").asString());
        const Profile profile = profileByName(arguments.at("--profile").asString());
        const std::string strategyName = arguments.at("--strategy") ? arguments.at("--strategy").asString() : std::string();
        const Json report = runStrategies(trace, profile, seed, strategyName);
        if (arguments.at("--json").asBool()) {
            std::cout << report.dump(2) << '\n';
        } else {
            printTable(report);
        }
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "bench_policy: " << error.what() << '\n';
        return 1;
    }
}
