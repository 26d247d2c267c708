// Parses and applies configurations of increasing size; the cost per contract or endpoint follows from the differences.

#include "../../tests/configuration/sampleconfiguration.h"

#include <benchmark/benchmark.h>

using namespace mimosatally;
using namespace mimosatally::samples;

namespace
{
const SampleOperator SIGNER;

Configuration configurationFor(const benchmark::State &state)
{
    return sampleConfiguration(SIGNER.description(), static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1)));
}

void parseDocument(benchmark::State &state)
{
    const std::string document = formatConfiguration(configurationFor(state));
    for (auto _ : state) {
        benchmark::DoNotOptimize(parseConfiguration(document, "document"));
    }
    state.counters["bytes"] = static_cast<double>(document.size());
}

void applyWholeDocument(benchmark::State &state)
{
    const std::string record = SIGNER.publishRecord("r", -1, formatConfiguration(configurationFor(state)));
    for (auto _ : state) {
        ConfigurationLog log({SIGNER.description()});
        const ApplyResult result = log.apply(Offset(0), record);
        invariant(result.isAccepted(), "the record is accepted");
    }
    state.counters["bytes"] = static_cast<double>(record.size());
}

void applyOneChange(benchmark::State &state)
{
    const Configuration before = configurationFor(state);
    Configuration after = before;
    after.contracts.front().priority = 7;
    ConfigurationLog log({SIGNER.description()});
    log.apply(Offset(0), SIGNER.publishRecord("r", -1, formatConfiguration(before)));
    const std::string record = SIGNER.publishRecord("s", 0, formatChange(before, after), DocumentKind::Change);
    for (auto _ : state) {
        state.PauseTiming();
        ConfigurationLog copy = log;
        state.ResumeTiming();
        const ApplyResult result = copy.apply(Offset(1), record);
        invariant(result.isAccepted(), "the record is accepted");
    }
    state.counters["bytes"] = static_cast<double>(record.size());
}

void applyDrain(benchmark::State &state)
{
    ConfigurationLog log({SIGNER.description()});
    log.apply(Offset(0), SIGNER.publishRecord("r", -1, formatConfiguration(configurationFor(state))));
    const std::string record = SIGNER.instanceRecord("s", InstanceAction::Drain, "i0");
    for (auto _ : state) {
        state.PauseTiming();
        ConfigurationLog copy = log;
        state.ResumeTiming();
        const ApplyResult result = copy.apply(Offset(1), record);
        invariant(result.isAccepted(), "the record is accepted");
    }
    state.counters["bytes"] = static_cast<double>(record.size());
}

/// \brief Arguments of a benchmark: number of contracts, number of endpoints.
void sizes(benchmark::internal::Benchmark *benchmark)
{
    benchmark->Args({1, 11})->Args({120, 11})->Args({1200, 11})->Args({1200, 380})->Args({1200, 3800})->Unit(benchmark::kMillisecond);
}

BENCHMARK(parseDocument)->Apply(sizes);
BENCHMARK(applyWholeDocument)->Apply(sizes);
BENCHMARK(applyOneChange)->Apply(sizes);
BENCHMARK(applyDrain)->Apply(sizes);
} // namespace

BENCHMARK_MAIN();
