#include <mimosatally/Claims>

#include <benchmark/benchmark.h>
#include <map>

// Counts the appends, read-backs and bytes that the one-phase claim and the two-phase alternative (docs/design.md, section 5.3)
// cause at the log. The counts are deterministic: fake log, simulated time, every call wins its claim. The times that the benchmark
// library prints have no meaning here.

using namespace mimosatally;

namespace
{
constexpr int CALLS = 2000;
/// \brief Time between two calls over all nodes; the nodes take the calls in turn.
constexpr std::int64_t ARRIVAL_INTERVAL_MS = 2;
/// \brief Records of one kind that a node writes within the same window go into one append.
constexpr std::int64_t GROUP_WINDOW_MS = 5;
/// \brief Delay of the answer to an append, and of the answer to a read.
constexpr std::int64_t LOG_DELAY_MS = 10;
constexpr std::int64_t SERVICE_MS = 50;

enum class RecordKind {
    Claim,
    Start,
    Outcome,
};

struct Costs {
    std::int64_t appends = 0;
    std::int64_t readBacks = 0;
    std::int64_t bytesWritten = 0;
    std::int64_t bytesRead = 0;
    /// \brief Sum over all calls of the time from arrival to the start of the service, in milliseconds.
    std::int64_t startDelay = 0;
};

std::string uniqueText(const std::string &kind, int call, std::size_t length)
{
    return sha256Hex(kind + std::to_string(call)).substr(0, length);
}

std::string payload(RecordKind kind, int call)
{
    const ClaimKey key {CustomerId("parkland-grain-growers"), uniqueText("key", call, 36)};
    if (kind == RecordKind::Outcome) {
        return toJson(OutcomeRecord {
            RecordId(uniqueText("o", call, 32)), key, Offset(call), 200, "application/json", R"({"posted":true})", uniqueText("answer", call, 64)});
    }
    if (kind == RecordKind::Start) {
        // A start record names its claim, as a void does.
        return toJson(VoidRecord {RecordId(uniqueText("s", call, 32)), key, Offset(call)});
    }
    return toJson(ClaimRecord {RecordId(uniqueText("c", call, 32)),
                               key,
                               uniqueText("body", call, 64),
                               EndpointId("settlement-1"),
                               IncarnationId(uniqueText("agent", 0, 32)),
                               ProcessId("entry-sask-a-1"),
                               1800000000000});
}

/// \brief Entries, agents and one partition of the log.
class Simulation
{
public:
    Simulation(int nodes, int phases)
        : phases_(phases)
        , recordsRead_(static_cast<std::size_t>(nodes), 0)
    {
        for (int call = 0; call < CALLS; ++call) {
            const std::int64_t arrival = call * ARRIVAL_INTERVAL_MS;
            schedule(arrival, static_cast<std::size_t>(call % nodes), RecordKind::Claim, call);
        }
    }

    Costs run()
    {
        while (!groups_.empty()) {
            const auto [key, calls] = *groups_.begin();
            groups_.erase(groups_.begin());
            append(key, calls);
        }
        return costs_;
    }

private:
    /// \brief End of the window in milliseconds, node, and kind of the records.
    using GroupKey = std::tuple<std::int64_t, std::size_t, RecordKind>;

    void schedule(std::int64_t time, std::size_t node, RecordKind kind, int call)
    {
        const std::int64_t windowEnd = (time / GROUP_WINDOW_MS + 1) * GROUP_WINDOW_MS;
        groups_[{windowEnd, node, kind}].push_back(call);
    }

    void append(const GroupKey &key, const std::vector<int> &calls)
    {
        const auto &[time, node, kind] = key;
        ++costs_.appends;
        for (const int call : calls) {
            recordBytes_.push_back(static_cast<std::int64_t>(payload(kind, call).size()));
            costs_.bytesWritten += recordBytes_.back();
        }
        if (kind == RecordKind::Outcome) {
            return;
        }
        readBack(node);
        const std::int64_t confirmedAt = time + 2 * LOG_DELAY_MS;
        for (const int call : calls) {
            if (kind == RecordKind::Claim && phases_ == 2) {
                schedule(confirmedAt, node, RecordKind::Start, call);
            } else {
                costs_.startDelay += confirmedAt - call * ARRIVAL_INTERVAL_MS;
                schedule(confirmedAt + SERVICE_MS, node, RecordKind::Outcome, call);
            }
        }
    }

    void readBack(std::size_t node)
    {
        ++costs_.readBacks;
        for (; recordsRead_[node] < recordBytes_.size(); ++recordsRead_[node]) {
            costs_.bytesRead += recordBytes_[recordsRead_[node]];
        }
    }

    int phases_;
    std::map<GroupKey, std::vector<int>> groups_;
    std::vector<std::int64_t> recordBytes_;
    /// \brief Number of log records that each node has read.
    std::vector<std::size_t> recordsRead_;
    Costs costs_;
};

void countPhases(benchmark::State &state)
{
    Costs costs;
    for (auto unused : state) {
        costs = Simulation(static_cast<int>(state.range(1)), static_cast<int>(state.range(0))).run();
    }
    const auto perCall = [](std::int64_t count) {
        return static_cast<double>(count) / CALLS;
    };
    state.counters["appends_per_call"] = perCall(costs.appends);
    state.counters["readbacks_per_call"] = perCall(costs.readBacks);
    state.counters["written_per_call"] = perCall(costs.bytesWritten);
    state.counters["read_per_call"] = perCall(costs.bytesRead);
    state.counters["start_delay_ms"] = perCall(costs.startDelay);
}
} // namespace

BENCHMARK(countPhases)->ArgNames({"phases", "nodes"})->ArgsProduct({{1, 2}, {1, 4, 16}})->Iterations(1);
