#include <catch2/catch.hpp>

#include <mimosatally/Claims>

using namespace mimosatally;

namespace
{
const ClaimKey KEY {CustomerId("customer"), "key"};
const IncarnationId AGENT("agent-1");

std::string claim(const std::string &id, const std::string &bodyHash = "hash")
{
    return toJson(ClaimRecord {RecordId(id), KEY, bodyHash, EndpointId("endpoint"), AGENT, ProcessId("entry"), 7});
}

std::string outcome(const std::string &id, Offset claimOffset)
{
    return toJson(OutcomeRecord {RecordId(id), KEY, claimOffset, 200, "text/plain", "done", "hash"});
}

std::string voidOf(const std::string &id, Offset claimOffset)
{
    return toJson(VoidRecord {RecordId(id), KEY, claimOffset});
}

ClaimTable tableOf(const std::vector<std::string> &payloads)
{
    ClaimTable table;
    for (std::size_t offset = 0; offset < payloads.size(); ++offset) {
        table.apply(Offset(static_cast<std::int64_t>(offset)), payloads[offset]);
    }
    return table;
}
} // namespace

// Guards against two winning claims for one key.
TEST_CASE("The claim at the lowest offset wins", "[claims]")
{
    const ClaimTable table = tableOf({claim("a"), claim("b"), claim("c", "other"), outcome("o", Offset(0)), outcome("p", Offset(0))});
    CHECK(table.verdict(RecordId("a")) == ClaimVerdict::Won);
    CHECK(table.verdict(RecordId("b")) == ClaimVerdict::Lost);
    CHECK(table.verdict(RecordId("c")) == ClaimVerdict::LostToOtherBody);
    CHECK(table.verdict(RecordId("unknown")) == ClaimVerdict::Pending);
    CHECK(table.verdict(RecordId("o")) == ClaimVerdict::Pending);
    CHECK(table.offsetOf(RecordId("b")) == Offset(1));
    REQUIRE(table.find(KEY));
    CHECK(table.find(KEY)->outcome->id == RecordId("o"));
    CHECK(table.contradictions() == 0);
    CHECK(table.nextOffset() == Offset(5));
}

// Guards against a claim that runs after it was reported to its caller as lost.
TEST_CASE("A void frees the key for later claims only", "[claims]")
{
    const ClaimTable table = tableOf({claim("a"), claim("b"), voidOf("v", Offset(1)), voidOf("w", Offset(0)), claim("c")});
    CHECK(table.verdict(RecordId("a")) == ClaimVerdict::Voided);
    CHECK(table.verdict(RecordId("b")) == ClaimVerdict::Lost);
    CHECK(table.verdict(RecordId("c")) == ClaimVerdict::Won);
}

// Guards against a void that hides a call that ran.
TEST_CASE("Contradicting records have no effect and are counted", "[claims]")
{
    const ClaimTable ran = tableOf({claim("a"), outcome("o", Offset(0)), voidOf("v", Offset(0))});
    CHECK(ran.find(KEY)->outcome);
    CHECK(ran.contradictions() == 1);
    const ClaimTable voided = tableOf({claim("a"), voidOf("v", Offset(0)), outcome("o", Offset(0))});
    CHECK_FALSE(voided.find(KEY));
    CHECK(voided.contradictions() == 1);
}

// Guards against readers that disagree after a repeated append, a repeated read or a malformed record.
TEST_CASE("Repeated ids, repeated offsets and malformed records have no effect", "[claims]")
{
    ClaimTable table = tableOf({"{}", claim("a"), "no json", voidOf("v", Offset(1)), claim("a"), claim("b")});
    CHECK(table.verdict(RecordId("a")) == ClaimVerdict::Voided);
    CHECK(table.verdict(RecordId("b")) == ClaimVerdict::Won);
    table.apply(Offset(3), claim("c"));
    CHECK(table.verdict(RecordId("c")) == ClaimVerdict::Pending);
    CHECK_THROWS_AS(parseClaimStreamRecord(R"({"kind":"claim"})"), MalformedInputError);
}

// Guards against memory that grows without bound while the log drops old records.
TEST_CASE("Keys and claims below the first kept record are pruned", "[claims]")
{
    ClaimTable table = tableOf({claim("a"), claim("b")});
    table.pruneBefore(Offset(1));
    CHECK(table.size() == 0);
    CHECK(table.verdict(RecordId("a")) == ClaimVerdict::Pending);
    ClaimGate gate(AGENT);
    CHECK(gate.admit(0, Offset(1), AGENT) == ClaimAdmission::Run);
    gate.pruneBefore(0, Offset(2));
    CHECK(gate.admit(0, Offset(1), AGENT) == ClaimAdmission::AlreadyRun);
    CHECK_FALSE(gate.renounce(0, Offset(1)));
}

// Guards against a second run of a claim, and against a run after the agent confirmed that it never starts.
TEST_CASE("The gate admits a claim once, and only for its own incarnation", "[claims]")
{
    ClaimGate gate(AGENT);
    CHECK(gate.admit(0, Offset(1), IncarnationId("agent-0")) == ClaimAdmission::OtherIncarnation);
    CHECK(gate.admit(0, Offset(1), AGENT) == ClaimAdmission::Run);
    CHECK(gate.admit(0, Offset(1), AGENT) == ClaimAdmission::AlreadyRun);
    CHECK_FALSE(gate.renounce(0, Offset(1)));
    CHECK(gate.renounce(0, Offset(2)));
    CHECK(gate.admit(0, Offset(2), AGENT) == ClaimAdmission::Renounced);
    CHECK(gate.admit(1, Offset(2), AGENT) == ClaimAdmission::Run);
}

// Guards against a partition that changes between releases, which would hide earlier claims.
TEST_CASE("The partition of a key is stable", "[claims]")
{
    CHECK(claimPartition({CustomerId("parkland"), "settlement-1"}, 4) == claimPartition({CustomerId("parkland"), "settlement-1"}, 4));
    CHECK(claimPartition({CustomerId("a"), "bc"}, 1000000) != claimPartition({CustomerId("ab"), "c"}, 1000000));
}
