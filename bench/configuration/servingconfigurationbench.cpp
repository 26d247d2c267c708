// Time and memory of each step that puts a serving configuration in force; the cost per route or organisation follows from the differences.

#include "../../tests/configuration/servingconfigurationsample.h"

#include "gateway/contentioncontrol.h"

#include <mimosatally/Serving>

#include <platform/configurationreader.h>
#include <platform/recordcodec.h>

#include <benchmark/benchmark.h>

#include <malloc.h>

using namespace mimosatally;
using namespace mimosatally::samples;

namespace
{
std::string textFor(const benchmark::State &state)
{
    return servingConfigurationText({static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1))}, 7);
}

/// \brief Returns the text of the next version, with another timeout of the route in the middle.
std::string changedTextFor(const benchmark::State &state)
{
    const ServingConfigurationSize size = {static_cast<std::size_t>(state.range(0)), static_cast<std::size_t>(state.range(1))};
    std::string text = servingConfigurationText(size, 8);
    const std::string route = routeText(size.routes / 2);
    constexpr int changedTimeoutMs = 2500;
    return text.replace(text.find(route), route.size(), routeText(size.routes / 2, changedTimeoutMs));
}

std::shared_ptr<const ServingConfiguration> configurationFor(const benchmark::State &state)
{
    return std::make_shared<const ServingConfiguration>(platform::decodeConfiguration(textFor(state)));
}

/// \brief Bytes that the allocator has handed out.
double allocatedBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

void decodeText(benchmark::State &state)
{
    const std::string text = textFor(state);
    const double before = allocatedBytes();
    const ServingConfiguration kept = platform::decodeConfiguration(text);
    state.counters["kept_bytes"] = allocatedBytes() - before;
    state.counters["text_bytes"] = static_cast<double>(text.size());
    for (auto _ : state) {
        benchmark::DoNotOptimize(platform::decodeConfiguration(text));
    }
}

/// \brief Reading of a configuration as a gateway does at its start. The counter `kept_bytes` includes the text that other gateways may get.
void readFirst(benchmark::State &state)
{
    const std::string text = textFor(state);
    const double before = allocatedBytes();
    const platform::ConfigurationReading kept = platform::readConfigurationText(text, platform::EarlierReading(), noCheckpoint);
    state.counters["kept_bytes"] = allocatedBytes() - before;
    state.counters["text_bytes"] = static_cast<double>(text.size());
    for (auto _ : state) {
        benchmark::DoNotOptimize(platform::readConfigurationText(text, platform::EarlierReading(), noCheckpoint));
    }
}

/// \brief Reading of the next version, in which one route has changed; its `kept_bytes` come on top of those of the version in force.
void readChange(benchmark::State &state)
{
    const platform::ConfigurationReading inForce = platform::readConfigurationText(textFor(state), platform::EarlierReading(), noCheckpoint);
    const platform::EarlierReading earlier = {inForce.configuration.get(), inForce.text, inForce.routes};
    const std::string text = changedTextFor(state);
    const double before = allocatedBytes();
    const platform::ConfigurationReading kept = platform::readConfigurationText(text, earlier, noCheckpoint);
    state.counters["kept_bytes"] = allocatedBytes() - before;
    state.counters["decoded_routes"] = static_cast<double>(kept.decodedRoutes);
    for (auto _ : state) {
        benchmark::DoNotOptimize(platform::readConfigurationText(text, earlier, noCheckpoint));
    }
}

void buildRoutes(benchmark::State &state)
{
    const auto configuration = configurationFor(state);
    const double before = allocatedBytes();
    const RouteTable kept(configuration);
    state.counters["kept_bytes"] = allocatedBytes() - before;
    for (auto _ : state) {
        benchmark::DoNotOptimize(RouteTable(configuration));
    }
}

void buildKeys(benchmark::State &state)
{
    const auto configuration = configurationFor(state);
    const double before = allocatedBytes();
    const KeyTable kept(configuration);
    state.counters["kept_bytes"] = allocatedBytes() - before;
    for (auto _ : state) {
        benchmark::DoNotOptimize(KeyTable(configuration));
    }
}

void buildUrgencies(benchmark::State &state)
{
    const auto configuration = configurationFor(state);
    for (auto _ : state) {
        benchmark::DoNotOptimize(internal::UrgencyTable(*configuration));
    }
}

void freeConfiguration(benchmark::State &state)
{
    const auto configuration = configurationFor(state);
    for (auto _ : state) {
        state.PauseTiming();
        auto copy = std::make_unique<ServingConfiguration>(*configuration);
        state.ResumeTiming();
        copy.reset();
    }
}

/// \brief Arguments of a benchmark: number of routes, number of organisations.
void sizes(benchmark::internal::Benchmark *benchmark)
{
    benchmark->Args({50, 72})->Args({1'400, 72})->Args({8'400, 72})->Args({8'400, 1'200})->Unit(benchmark::kMillisecond);
}

BENCHMARK(decodeText)->Apply(sizes);
BENCHMARK(readFirst)->Apply(sizes);
BENCHMARK(readChange)->Apply(sizes);
BENCHMARK(buildRoutes)->Apply(sizes);
BENCHMARK(buildKeys)->Apply(sizes);
BENCHMARK(buildUrgencies)->Apply(sizes);
BENCHMARK(freeConfiguration)->Apply(sizes);
} // namespace
