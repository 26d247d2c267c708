#include <catch2/catch.hpp>

#include <mimosatally/Audit>

#include <nlohmann/json.hpp>

using namespace mimosatally;
using Json = nlohmann::json;

namespace
{
const ProcessId AGENT("agent-1");
const IncarnationId INCARNATION("i1");
constexpr ConfigurationVersion VERSION(5);
constexpr Bytes LARGE_BUFFER(1 << 20);

Time at(int milliseconds)
{
    return Time(Duration(milliseconds));
}

ConfigurationInputs configuration()
{
    ConfigurationInputs inputs;
    inputs.contracts = {{CustomerId("large"), 700000, 0, Duration(10000), {}}, {CustomerId("small"), 300000, 0, Duration(10000), {}}};
    inputs.capacity = EndpointCapacity {1, 8000, 600};
    inputs.endpoint = EndpointId("engine-1");
    return inputs;
}

/// \brief Writes the chain of an agent that queues and dispatches requests on a real Scheduler.
class AgentChainWriter
{
public:
    explicit AgentChainWriter(Bytes maxBuffered = LARGE_BUFFER, ProcessId process = AGENT)
        : chain(std::move(process), INCARNATION, maxBuffered)
    {
        chain.start("agent", VERSION, at(0));
        const ConfigurationInputs inputs = configuration();
        scheduler_.emplace(Scheduler::Builder().capacity(*inputs.capacity).contracts(inputs.contracts).tokenCosts(inputs.costs).build());
        add(DecisionKind::ConfigurationApplied, "", "", 0, inputs);
    }

    template<class Inputs>
    Receipt add(DecisionKind kind, const std::string &request, const std::string &customer, int now, const Inputs &inputs)
    {
        return chain.append({kind, RequestId(request), CustomerId(customer), VERSION, at(now), toJson(inputs)});
    }

    void queue(const std::string &request, const std::string &customer, int now, Offset claim = Offset(-1))
    {
        const QueuedInputs inputs {{Tokens(100), Tokens(10)}, at(now + 10000), claim < Offset(0), claim < Offset(0) ? -1 : 0, claim};
        REQUIRE_FALSE(scheduler_->enqueue({RequestId(request), CustomerId(customer), inputs.expected, inputs.startDeadline}, at(now)));
        add(DecisionKind::Queued, request, customer, now, inputs);
    }

    std::string dispatch(int now)
    {
        const auto request = scheduler_->dispatchNext(at(now));
        REQUIRE(request);
        add(DecisionKind::Dispatched, request->value(), "", now, DispatchedInputs {});
        return request->value();
    }

    void complete(const std::string &request, int now)
    {
        const CompletedInputs inputs {200, {Tokens(100), Tokens(20)}, Bytes(80)};
        scheduler_->complete(RequestId(request), inputs.actual, at(now));
        add(DecisionKind::Completed, request, "", now, inputs);
    }

    /// \brief Queues six requests of two customers, then dispatches and completes them one at a time.
    void serveSixRequests()
    {
        for (int number = 0; number < 6; ++number) {
            queue("r" + std::to_string(number), number % 2 == 0 ? "large" : "small", 10 + number);
        }
        for (int number = 0; number < 6; ++number) {
            complete(dispatch(100 + 10 * number), 105 + 10 * number);
        }
    }

    DecisionChain chain;

private:
    std::optional<Scheduler> scheduler_;
};

std::vector<std::string> exportBatches(DecisionChain &chain, Bytes batchSize = Bytes(900))
{
    std::vector<std::string> batches;
    while (const auto batch = chain.nextBatch(batchSize)) {
        batches.push_back(*batch);
        chain.confirmBatch();
    }
    return batches;
}

AuditReport verify(const std::vector<std::string> &batches)
{
    AuditVerifier verifier;
    for (std::size_t index = 0; index < batches.size(); ++index) {
        verifier.add(Offset(static_cast<std::int64_t>(index)), batches[index]);
    }
    return verifier.verify();
}

std::vector<std::string> servedBatches()
{
    AgentChainWriter agent;
    agent.serveSixRequests();
    agent.chain.close(VERSION, at(1000));
    return exportBatches(agent.chain);
}

/// \brief Applies \a change and rebuilds the chain with correct hashes, as a process that writes false records would.
std::vector<std::string> rechain(const std::vector<std::string> &batches, const std::function<void(std::vector<Json> &)> &change)
{
    std::vector<Json> records;
    for (const std::string &batch : batches) {
        const Json parsed = Json::parse(batch);
        records.insert(records.end(), parsed.at("records").begin(), parsed.at("records").end());
    }
    change(records);
    DecisionChain chain(AGENT, INCARNATION, LARGE_BUFFER);
    for (const Json &record : records) {
        chain.append({parseDecisionKind(record.at("kind").get<std::string>()),
                      RequestId(record.value("request", "")),
                      CustomerId(record.value("customer", "")),
                      ConfigurationVersion(record.at("version").get<std::int64_t>()),
                      at(record.at("at_ms").get<int>()),
                      record.at("inputs").dump()});
    }
    return exportBatches(chain);
}

void checkFinding(const AuditReport &report, int sequence, const std::string &text)
{
    INFO(text);
    REQUIRE_FALSE(report.findings.empty());
    const Finding &finding = report.findings.front();
    CHECK(finding.location.file == "agent-1/i1");
    CHECK(finding.location.line == sequence);
    CHECK_THAT(finding.message, Catch::Contains(text));
}
} // namespace

// Guards against false findings on an unaltered chain, and against a replay that is skipped.
TEST_CASE("An unaltered chain has no findings", "[audit]")
{
    auto batches = servedBatches();
    REQUIRE(batches.size() > 3);
    SECTION("a repeated batch is ignored")
    {
        batches.push_back(batches[1]);
    }
    SECTION("batches may arrive in any order")
    {
        std::swap(batches[0], batches[2]);
    }
    const AuditReport report = verify(batches);
    CHECK(report.findings.empty());
    CHECK(report.openEnds.empty());
    CHECK(report.chains == 1);
    CHECK(report.records == 21);
    CHECK(report.dispatchesReplayed == 6);
    CHECK(report.dispatchesNotReplayed == 0);
}

// Guards against records that were removed from an export.
TEST_CASE("Missing records are found", "[audit]")
{
    auto batches = servedBatches();
    const int removed = Json::parse(batches[1]).at("records").front().at("sequence").get<int>();
    const int next = Json::parse(batches[2]).at("records").front().at("sequence").get<int>();
    batches.erase(batches.begin() + 1);
    const AuditReport report = verify(batches);
    checkFinding(report, next, "records " + std::to_string(removed) + " to " + std::to_string(next - 1) + " are missing");
    CHECK(report.dispatchesReplayed + report.dispatchesNotReplayed >= 5);
    CHECK(report.dispatchesNotReplayed > 0);
}

// Guards against records that were altered after they were written, including the last one, which no later record names.
TEST_CASE("Altered records are found", "[audit]")
{
    auto batches = servedBatches();
    Json batch = Json::parse(batches[2]);
    const int sequence = batch.at("records").front().at("sequence").get<int>();
    batch.at("records").front()["at_ms"] = batch.at("records").front().at("at_ms").get<int>() + 1;
    batches[2] = batch.dump();
    checkFinding(verify(batches), sequence + 1, "altered");

    batches = servedBatches();
    batch = Json::parse(batches.back());
    batch.at("records").back()["version"] = 6;
    batches.back() = batch.dump();
    checkFinding(verify(batches), 20, "does not have the hash that its batch states");
}

// Guards against a process that writes two different records with the same sequence number.
TEST_CASE("A forked chain is found", "[audit]")
{
    auto batches = servedBatches();
    Json batch = Json::parse(batches.back());
    batch["id"] = "another";
    batch.at("records").back()["at_ms"] = 2000;
    batches.push_back(batch.dump());
    checkFinding(verify(batches), 20, "two different records");
}

// Guards against a process that serves customers in an order that violates the contracts; the hashes are correct.
TEST_CASE("A dispatch that the contracts do not choose is found", "[audit]")
{
    const auto batches = rechain(servedBatches(), [](std::vector<Json> &records) {
        const std::string first = records[8].at("request");
        REQUIRE(records[8].at("kind") == "Dispatched");
        records[8]["request"] = records[10].at("request");
        records[10]["request"] = first;
    });
    checkFinding(verify(batches), 8, "but the contracts choose");
}

// Guards against queueing beyond the contract's longest wait and against a decreasing configuration version; the hashes are correct.
TEST_CASE("Records that violate the contract are found", "[audit]")
{
    auto batches = rechain(servedBatches(), [](std::vector<Json> &records) {
        records[2]["inputs"]["start_deadline_ms"] = 50000;
    });
    checkFinding(verify(batches), 2, "beyond the contract's longest wait");

    batches = rechain(servedBatches(), [](std::vector<Json> &records) {
        for (std::size_t index = 8; index < records.size(); ++index) {
            records[index]["at_ms"] = records[index].at("at_ms").get<int>() + 20000;
        }
    });
    checkFinding(verify(batches), 8, "started after its start deadline");

    batches = rechain(servedBatches(), [](std::vector<Json> &records) {
        records[12]["version"] = 4;
    });
    checkFinding(verify(batches), 12, "version is lower");
}

// Guards against taking the last record of a killed process for its last decision.
TEST_CASE("A chain without a closing record is an open end", "[audit]")
{
    AgentChainWriter agent;
    agent.serveSixRequests();
    const AuditReport report = verify(exportBatches(agent.chain));
    CHECK(report.findings.empty());
    REQUIRE(report.openEnds.size() == 1);
    CHECK(report.openEnds.front().location.line == 19);
}

// Guards against a buffer that loses records silently during an outage of the log.
TEST_CASE("Records dropped by a full buffer are reported with their count", "[audit]")
{
    AgentChainWriter agent(Bytes(1500));
    agent.serveSixRequests();
    CHECK(agent.chain.bufferedBytes() <= Bytes(1500));
    agent.chain.close(VERSION, at(1000));
    const AuditReport report = verify(exportBatches(agent.chain));
    REQUIRE(report.findings.size() == 1);
    CHECK(report.findings.front().location.line == 0);
    CHECK_THAT(report.findings.front().message, Catch::Contains("dropped " + std::to_string(21 - report.records) + " records"));
    CHECK(report.dispatchesReplayed == 0);
}

// Guards against a batch that is sent again with different content after a lost answer.
TEST_CASE("A batch is repeated unchanged until it is confirmed", "[audit]")
{
    AgentChainWriter agent;
    const auto batch = agent.chain.nextBatch(LARGE_BUFFER);
    agent.chain.retryBatch();
    agent.queue("r", "large", 10);
    CHECK(agent.chain.nextBatch(LARGE_BUFFER) == batch);
    agent.chain.confirmBatch();
    CHECK(agent.chain.nextBatch(LARGE_BUFFER) != batch);
}

// Guards against an entry that refuses a request as not run although an agent dispatched it.
TEST_CASE("A request that was refused as not run and dispatched is found", "[audit]")
{
    AgentChainWriter agent;
    agent.serveSixRequests();
    agent.chain.close(VERSION, at(1000));
    DecisionChain entry(ProcessId("entry-1"), IncarnationId("e1"), LARGE_BUFFER);
    entry.start("entry", VERSION, at(0));
    RefusedInputs refusal;
    refusal.reason = "endpoint-failed";
    entry.append({DecisionKind::Refused, RequestId("r3"), CustomerId("small"), VERSION, at(200), toJson(refusal)});
    entry.close(VERSION, at(1000));
    auto batches = exportBatches(agent.chain);
    const auto entryBatches = exportBatches(entry);
    batches.insert(batches.end(), entryBatches.begin(), entryBatches.end());
    const AuditReport report = verify(batches);
    REQUIRE(report.findings.size() == 1);
    CHECK(report.findings.front().location.file == "entry-1/e1");
    CHECK(report.findings.front().location.line == 1);
    CHECK_THAT(report.findings.front().message, Catch::Contains("was refused as not run, but it was dispatched"));
}

// Guards against a non-repeatable call that runs at two endpoints.
TEST_CASE("A claim that was dispatched twice is found", "[audit]")
{
    std::vector<std::string> batches;
    for (const char *process : {"agent-1", "agent-2"}) {
        AgentChainWriter agent(LARGE_BUFFER, ProcessId(process));
        agent.queue("post", "large", 10, Offset(77));
        agent.complete(agent.dispatch(20), 30);
        agent.chain.close(VERSION, at(1000));
        const auto agentBatches = exportBatches(agent.chain);
        batches.insert(batches.end(), agentBatches.begin(), agentBatches.end());
    }
    const AuditReport report = verify(batches);
    REQUIRE(report.findings.size() == 1);
    CHECK_THAT(report.findings.front().message, Catch::Contains("claim of request post was dispatched before"));
}

// Guards against a receipt that a rewritten chain also satisfies.
TEST_CASE("A receipt matches only the chain that issued it", "[audit]")
{
    AgentChainWriter agent;
    const Receipt receipt = agent.add(DecisionKind::CallerRejected, "r", "", 10, CallerRejectedInputs {"unknown key"});
    const auto batches = exportBatches(agent.chain, LARGE_BUFFER);
    AuditVerifier original;
    original.add(Offset(0), batches.front());
    CHECK(original.hasRecord(receipt));
    AuditVerifier rewritten;
    rewritten.add(Offset(0), rechain(batches, [](std::vector<Json> &records) {
                                 records[0]["at_ms"] = 1;
                             }).front());
    CHECK_FALSE(rewritten.hasRecord(receipt));
}
