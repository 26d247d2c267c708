#include <mimosatally/Audit>

#include <benchmark/benchmark.h>

using namespace mimosatally;

namespace
{
constexpr Bytes BATCH_BYTES(64 * 1024);
constexpr Bytes BUFFER_BYTES(1 << 30);
constexpr ConfigurationVersion VERSION(5);

Time at(std::int64_t milliseconds)
{
    return Time(Duration(milliseconds));
}

std::string requestId(int number)
{
    return sha256Hex(std::to_string(number)).substr(0, 32);
}

std::vector<Contract> makeContracts(int count)
{
    std::vector<Contract> result;
    for (int number = 0; number < count; ++number) {
        result.push_back({CustomerId("customer-" + std::to_string(number)), 1000000 / count, number % 3, Duration(10000), {}});
    }
    return result;
}

/// \brief Decision chain of an agent that serves requests with a real Scheduler; about ten requests wait in its queue.
class AgentChain
{
public:
    explicit AgentChain(int customers)
        : chain(ProcessId("agent-sask-a-1"), IncarnationId(requestId(-1)), BUFFER_BYTES)
        , customers_(customers)
    {
        ConfigurationInputs inputs {makeContracts(customers), {}, EndpointCapacity {4, 8000, 600}, EndpointId("engine-1")};
        scheduler_.emplace(Scheduler::Builder().capacity(*inputs.capacity).contracts(inputs.contracts).tokenCosts(inputs.costs).build());
        chain.start("agent", VERSION, at(0));
        add(DecisionKind::ConfigurationApplied, {}, {}, toJson(inputs));
    }

    void serve(int number)
    {
        now_ += 10;
        const RequestId id(requestId(number));
        const CustomerId customer("customer-" + std::to_string(number % customers_));
        const QueuedInputs inputs {{Tokens(900), Tokens(100)}, at(now_ + 10000)};
        if (const auto refusal = scheduler_->enqueue({id, customer, inputs.expected, inputs.startDeadline}, at(now_))) {
            const RefusedInputs refused {
                RefusalStage::Enqueue, std::string(toString(refusal->reason)), "not_run", refusal->retryAfter, inputs.expected, inputs.startDeadline};
            add(DecisionKind::Refused, id, customer, toJson(refused));
        } else {
            add(DecisionKind::Queued, id, customer, toJson(inputs));
        }
        if (running_.size() == 4) {
            complete();
        }
        while (const auto next = scheduler_->dispatchNext(at(now_))) {
            running_.push_back(*next);
            add(DecisionKind::Dispatched, *next, {}, toJson(DispatchedInputs {Duration(40)}));
        }
    }

    DecisionChain chain;

private:
    void complete()
    {
        const CompletedInputs inputs {200, {Tokens(900), Tokens(90)}, Bytes(400)};
        scheduler_->complete(running_.front(), inputs.actual, at(now_));
        add(DecisionKind::Completed, running_.front(), {}, toJson(inputs));
        running_.erase(running_.begin());
    }

    void add(DecisionKind kind, const RequestId &request, const CustomerId &customer, const std::string &inputs)
    {
        chain.append({kind, request, customer, VERSION, at(now_), inputs});
    }

    int customers_;
    std::int64_t now_ = 0;
    std::optional<Scheduler> scheduler_;
    std::vector<RequestId> running_;
};

/// \brief Appends the three records that an entry writes for an answered request.
void appendEntryRecords(DecisionChain &chain, int number)
{
    const RequestId id(requestId(number));
    const CustomerId customer("parkland-grain-growers");
    const AdmittedInputs admitted {ModelId("flags-large"), {}, {Tokens(900), Tokens(100)}, true, at(number + 10000)};
    const RoutedInputs routed {EndpointId("engine-1"), IncarnationId(requestId(-1)), "least-predicted-wait", Duration(40), Tokens(0), false, 1};
    const AnsweredInputs answered {EndpointId("engine-1"), 200, {Tokens(900), Tokens(90)}, Bytes(400), sha256Hex("answer")};
    chain.append({DecisionKind::Admitted, id, customer, VERSION, at(number), toJson(admitted)});
    chain.append({DecisionKind::Routed, id, customer, VERSION, at(number), toJson(routed)});
    chain.append({DecisionKind::Answered, id, customer, VERSION, at(number), toJson(answered)});
}

std::vector<std::string> exportBatches(DecisionChain &chain)
{
    std::vector<std::string> batches;
    while (const auto batch = chain.nextBatch(BATCH_BYTES)) {
        batches.push_back(*batch);
        chain.confirmBatch();
    }
    return batches;
}

std::size_t totalBytes(const std::vector<std::string> &texts)
{
    std::size_t bytes = 0;
    for (const std::string &text : texts) {
        bytes += text.size();
    }
    return bytes;
}

void chainEntryRecords(benchmark::State &state)
{
    std::size_t bytes = 0;
    for (auto unused : state) {
        DecisionChain chain(ProcessId("entry-sask-a-1"), IncarnationId(requestId(-2)), BUFFER_BYTES);
        for (int number = 0; number < state.range(0); ++number) {
            appendEntryRecords(chain, number);
        }
        bytes = totalBytes(exportBatches(chain));
    }
    state.SetItemsProcessed(state.iterations() * state.range(0) * 3);
    state.counters["bytes_per_request"] = static_cast<double>(bytes) / static_cast<double>(state.range(0));
}

void chainAgentRecords(benchmark::State &state)
{
    std::size_t bytes = 0;
    for (auto unused : state) {
        AgentChain agent(10);
        for (int number = 0; number < state.range(0); ++number) {
            agent.serve(number);
        }
        bytes = totalBytes(exportBatches(agent.chain));
    }
    state.SetItemsProcessed(state.iterations() * state.range(0) * 3);
    state.counters["bytes_per_request"] = static_cast<double>(bytes) / static_cast<double>(state.range(0));
}

void verifyAgentChain(benchmark::State &state)
{
    AgentChain agent(static_cast<int>(state.range(1)));
    for (int number = 0; number < state.range(0); ++number) {
        agent.serve(number);
    }
    const auto batches = exportBatches(agent.chain);
    AuditReport report;
    for (auto unused : state) {
        AuditVerifier verifier;
        for (std::size_t index = 0; index < batches.size(); ++index) {
            verifier.add(Offset(static_cast<std::int64_t>(index)), batches[index]);
        }
        report = verifier.verify();
    }
    state.SetItemsProcessed(state.iterations() * static_cast<std::int64_t>(report.records));
    state.counters["dispatches"] = static_cast<double>(report.dispatchesReplayed);
    state.counters["findings"] = static_cast<double>(report.findings.size());
}
} // namespace

BENCHMARK(chainEntryRecords)->Arg(10000)->Unit(benchmark::kMillisecond);
BENCHMARK(chainAgentRecords)->Arg(10000)->Unit(benchmark::kMillisecond);
BENCHMARK(verifyAgentChain)->ArgNames({"requests", "customers"})->Args({10000, 10})->Args({10000, 1200})->Unit(benchmark::kMillisecond);
