#include <catch2/catch.hpp>

#include "process/testfleet.h"
#include "standins/enginetext.h"

#include <mimosatally/Audit>

using namespace mimosatally;
using namespace mimosatally::test;
using nlohmann::json;

namespace
{
constexpr int MAX_TOKENS = 60;

HttpRequest completionRequest(const std::string &prompt, bool stream)
{
    const json body = {{"model", "model-a"}, {"prompt", prompt}, {"max_tokens", MAX_TOKENS}, {"stream", stream}};
    return authorized(jsonPost("/v1/completions", body), "key-parkland");
}

HttpRequest settlementPost(const std::string &key, const std::string &text)
{
    HttpRequest request = authorized(jsonPost("/services/tickets/settle", {{"post", text}}), "key-parkland");
    request.set("Idempotency-Key", key);
    return request;
}

/// \brief Text of all events of a streamed completion.
std::string streamedText(const std::string &body)
{
    std::string text;
    std::size_t start = 0;
    while ((start = body.find("data: {", start)) != std::string::npos) {
        start += 6;
        const std::size_t end = body.find("\n\n", start);
        const json event = json::parse(body.substr(start, end - start));
        if (event.contains("choices")) {
            text += event.at("choices").at(0).at("text").get<std::string>();
        }
    }
    return text;
}

/// \brief Sum of one field of the engine's ledger over all requests.
long ledgerSum(const json &ledger, const char *field)
{
    long sum = 0;
    for (const auto &run : ledger.at("requests")) {
        sum += run.at(field).get<long>();
    }
    return sum;
}

/// \brief Two slow engines and one customer; the agents and the entry are started.
struct EngineFleet : TestFleet {
    explicit EngineFleet(std::vector<std::string> firstOptions = {"--decode", "300"})
    {
        addEngine("engine-1", std::move(firstOptions));
        addEngine("engine-2", {"--decode", "300"});
        addCustomer("parkland", "100%", "30s");
        publish();
        startAgent("engine-1");
        startAgent("engine-2");
        startEntry("entry-1");
    }

    json ledger(const std::string &endpoint)
    {
        return jsonOf(get(standinAddress(endpoint), "/ledger"));
    }

    [[nodiscard]] const std::string &address() const
    {
        return entryAddress("entry-1");
    }

    /// \brief Starts \a count streams and waits for the first event of each, so that both engines run some.
    std::vector<std::unique_ptr<TestCall>> startStreams(int count)
    {
        std::vector<std::unique_ptr<TestCall>> calls;
        for (int i = 0; i < count; ++i) {
            calls.push_back(std::make_unique<TestCall>(address(), completionRequest(prompt(i), true)));
        }
        for (const auto &call : calls) {
            call->readUntil("data: ");
        }
        return calls;
    }

    static std::string prompt(int number)
    {
        return "Load " + std::to_string(number) + " is";
    }

    static void checkComplete(std::vector<std::unique_ptr<TestCall>> &calls)
    {
        for (std::size_t i = 0; i < calls.size(); ++i) {
            const std::string answer = calls[i]->readToEnd();
            INFO(answer.substr(answer.size() > 300 ? answer.size() - 300 : 0));
            CHECK(answer.find("data: [DONE]") != std::string::npos);
            CHECK(streamedText(answer) == standin::engineAnswer(prompt(static_cast<int>(i)), MAX_TOKENS));
        }
    }

    /// \brief Checks that each stream is complete, or ends with an unknown outcome after a correct prefix of its answer.
    /// \return the number of complete streams.
    static int checkCompleteOrUnknown(std::vector<std::unique_ptr<TestCall>> &calls)
    {
        int completeCount = 0;
        for (std::size_t i = 0; i < calls.size(); ++i) {
            const std::string answer = calls[i]->readToEnd();
            const std::string expected = standin::engineAnswer(prompt(static_cast<int>(i)), MAX_TOKENS);
            const std::string text = streamedText(answer);
            INFO(answer.substr(answer.size() > 300 ? answer.size() - 300 : 0));
            if (answer.find("data: [DONE]") != std::string::npos) {
                ++completeCount;
                CHECK(text == expected);
            } else {
                CHECK(answer.find(R"("outcome":"outcome_unknown")") != std::string::npos);
                CHECK_FALSE(text.empty());
                CHECK(expected.starts_with(text));
            }
        }
        return completeCount;
    }
};
} // namespace

// Guards against a planned stop that cuts off streams, and against new requests that are sent to a leaving agent.
TEST_CASE("An agent that gets SIGTERM finishes its streams, ships its records and exits 0", "[agent]")
{
    EngineFleet fleet;
    auto calls = fleet.startStreams(6);
    const long before = ledgerSum(fleet.ledger("engine-1"), "started");
    fleet.agent("engine-1").send(SIGTERM);
    fleet.agent("engine-1").waitForOutput("ProcessStopping");
    for (int i = 0; i < 4; ++i) {
        CHECK(call(fleet.address(), completionRequest("later", false)).result_int() == 200);
    }
    EngineFleet::checkComplete(calls);
    CHECK(fleet.agent("engine-1").wait() == 0);
    const json ledger = fleet.ledger("engine-1");
    CHECK(ledgerSum(ledger, "started") == before);
    CHECK(ledgerSum(ledger, "completed") == before);
    AuditVerifier verifier;
    std::int64_t offset = 0;
    for (const json &batch : fleet.records("audit")) {
        verifier.add(Offset(offset++), batch.dump());
    }
    const AuditReport report = verifier.verify();
    for (const Finding &finding : report.findings) {
        UNSCOPED_INFO(toString(finding));
    }
    CHECK(report.findings.empty());
    CHECK(report.dispatchesReplayed > 0);
    for (const Finding &openEnd : report.openEnds) {
        CHECK_FALSE(openEnd.location.file.starts_with("agent-engine-1/"));
    }
}

// Guards against a drain by an operator that cuts off running requests or leaves the agent in service.
TEST_CASE("An agent whose instance is drained while requests run finishes them and exits 0", "[agent]")
{
    EngineFleet fleet;
    auto calls = fleet.startStreams(6);
    fleet.appendInstanceRecord(InstanceAction::Drain, "engine-1");
    fleet.agent("engine-1").waitForOutput("ProcessStopping");
    const long before = ledgerSum(fleet.ledger("engine-1"), "started");
    CHECK(call(fleet.address(), completionRequest("later", false)).result_int() == 200);
    EngineFleet::checkComplete(calls);
    CHECK(fleet.agent("engine-1").wait() == 0);
    CHECK(ledgerSum(fleet.ledger("engine-1"), "started") == before);
    CHECK(ledgerSum(fleet.ledger("engine-1"), "completed") == before);
    CHECK(ledgerSum(fleet.ledger("engine-2"), "completed") >= 1);
}

// Guards against streams that never end after the engine crashes, and against answers that mix the text of two runs.
TEST_CASE("Streams of an engine that crashes are complete or report an unknown outcome", "[agent]")
{
    EngineFleet fleet({"--decode", "300", "--crash-after-tokens", "40"});
    auto calls = fleet.startStreams(4);
    const int completeCount = EngineFleet::checkCompleteOrUnknown(calls);
    CHECK(completeCount == ledgerSum(fleet.ledger("engine-2"), "completed"));
    CHECK(call(fleet.address(), completionRequest("later", false)).result_int() == 200);
}

// Guards against lost requests when an agent is killed, and against a restarted agent that is not used again.
TEST_CASE("Requests of a killed agent are answered or end as unknown, and the restarted agent is used again", "[agent]")
{
    EngineFleet fleet;
    auto calls = fleet.startStreams(6);
    fleet.agent("engine-1").send(SIGKILL);
    const int completeCount = EngineFleet::checkCompleteOrUnknown(calls);
    CHECK(completeCount == ledgerSum(fleet.ledger("engine-2"), "completed"));
    fleet.agent("engine-1").wait();
    const long before = ledgerSum(fleet.ledger("engine-1"), "completed");
    fleet.startAgent("engine-1");
    waitUntil("engine-1 serves again", [&] {
        CHECK(call(fleet.address(), completionRequest("again", false)).result_int() == 200);
        return ledgerSum(fleet.ledger("engine-1"), "completed") > before;
    });
}

// Guards against a settlement post that runs twice, and so pays twice, when its agent is paused or killed while it runs.
TEST_CASE("A claimed call runs at most once when its agent is paused and when it is killed", "[agent]")
{
    TestFleet fleet;
    fleet.addService("tickets-1", {"--delay-ms", "500"});
    fleet.addCustomer("parkland", "100%", "30s");
    fleet.publish();
    fleet.startAgent("tickets-1");
    fleet.startEntry("entry-1");
    const std::string &entry = fleet.entryAddress("entry-1");
    const auto runCount = [&](const std::string &text) {
        const json ledger = jsonOf(get(fleet.standinAddress("tickets-1"), "/ledger"));
        return ledger.at("bodies").value(sha256Hex(json {{"post", text}}.dump()), 0);
    };
    TestCall paused(entry, settlementPost("key-1", "paid once"));
    waitUntil("the post runs", [&] {
        return runCount("paid once") == 1;
    });
    fleet.agent("tickets-1").send(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    fleet.agent("tickets-1").send(SIGCONT);
    const unsigned status = paused.response().result_int();
    CHECK((status == 200 || status == 502 || status == 504));
    const unsigned repeated = call(entry, settlementPost("key-1", "paid once")).result_int();
    CHECK((repeated == 200 || repeated == 502 || repeated == 504));
    CHECK(runCount("paid once") == 1);

    TestCall killed(entry, settlementPost("key-2", "killed"));
    waitUntil("the second post runs", [&] {
        return runCount("killed") == 1;
    });
    fleet.agent("tickets-1").send(SIGKILL);
    const HttpResponse unknown = killed.response();
    CHECK((unknown.result_int() == 502 || unknown.result_int() == 504));
    CHECK(jsonOf(unknown).at("mimosatally").at("outcome") == "outcome_unknown");
    fleet.agent("tickets-1").wait();
    fleet.startAgent("tickets-1");
    fleet.waitForState("entry-1", "tickets-1", "usable");
    CHECK(call(entry, settlementPost("key-2", "killed")).result_int() >= 500);
    CHECK(runCount("killed") == 1);
}
