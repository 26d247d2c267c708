#include <mimosatally/Claims>

#include <benchmark/benchmark.h>
#include <malloc.h>

using namespace mimosatally;

namespace
{
/// \brief Serialised claim record; its key, ids and hashes are as long as those that callers and processes use.
std::string claimPayload(int number)
{
    const std::string suffix = std::to_string(number);
    ClaimRecord record;
    record.id = RecordId(sha256Hex("id" + suffix).substr(0, 32));
    record.key = {CustomerId("parkland-grain-growers"), sha256Hex("key" + suffix).substr(0, 36)};
    record.bodyHash = sha256Hex("body" + suffix);
    record.endpoint = EndpointId("settlement-1");
    record.agentIncarnation = IncarnationId(sha256Hex("agent").substr(0, 32));
    record.entry = ProcessId("entry-sask-a-1");
    record.timeMs = 1800000000000 + number;
    return toJson(record);
}

std::vector<std::string> claimPayloads(int count)
{
    std::vector<std::string> payloads;
    for (int number = 0; number < count; ++number) {
        payloads.push_back(claimPayload(number));
    }
    return payloads;
}

ClaimTable tableOf(const std::vector<std::string> &payloads)
{
    ClaimTable table;
    for (std::size_t offset = 0; offset < payloads.size(); ++offset) {
        table.apply(Offset(static_cast<std::int64_t>(offset)), payloads[offset]);
    }
    return table;
}

std::size_t allocatedBytes()
{
    return mallinfo2().uordblks;
}

void applyClaims(benchmark::State &state)
{
    const auto payloads = claimPayloads(static_cast<int>(state.range(0)));
    for (auto unused : state) {
        benchmark::DoNotOptimize(tableOf(payloads).size());
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
    state.counters["bytes_per_record"] = static_cast<double>(payloads.front().size());
}

void claimMemory(benchmark::State &state)
{
    const auto payloads = claimPayloads(static_cast<int>(state.range(0)));
    double bytes = 0;
    for (auto unused : state) {
        const std::size_t before = allocatedBytes();
        const ClaimTable table = tableOf(payloads);
        bytes = static_cast<double>(allocatedBytes() - before);
        benchmark::DoNotOptimize(table.size());
    }
    state.counters["bytes_per_key"] = bytes / static_cast<double>(state.range(0));
}

void admitClaims(benchmark::State &state)
{
    const IncarnationId incarnation("agent");
    for (auto unused : state) {
        ClaimGate gate(incarnation);
        for (std::int64_t offset = 0; offset < state.range(0); ++offset) {
            benchmark::DoNotOptimize(gate.admit(0, Offset(offset), incarnation));
        }
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
} // namespace

BENCHMARK(applyClaims)->Arg(1000)->Arg(100000)->Unit(benchmark::kMillisecond);
BENCHMARK(claimMemory)->Arg(100000)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(admitClaims)->Arg(100000)->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
