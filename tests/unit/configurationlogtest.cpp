#include "configuration/sampleconfiguration.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using samples::SampleOperator;

namespace
{
std::string document(const SampleOperator &signer, int priority = 1)
{
    Configuration configuration = samples::sampleConfiguration(signer.description(), 2, 3);
    configuration.contracts.front().priority = priority;
    return formatConfiguration(configuration);
}

/// \brief Returns a log with an accepted publish record at offset 0.
ConfigurationLog logWithDocument(const SampleOperator &signer)
{
    ConfigurationLog log({signer.description()});
    REQUIRE(log.apply(Offset(0), signer.publishRecord("first", -1, document(signer))).isAccepted());
    return log;
}
} // namespace

// Guards against a lost update when two operators publish on the same base.
TEST_CASE("Of two publish records on one base the lower offset is accepted", "[config]")
{
    const SampleOperator signer;
    ConfigurationLog log = logWithDocument(signer);
    CHECK(log.apply(Offset(3), signer.publishRecord("a", 0, document(signer, 2))).isAccepted());
    const ApplyResult second = log.apply(Offset(4), signer.publishRecord("b", 0, document(signer, 3)));
    CHECK(second.verdict == ApplyResult::Verdict::Void);
    CHECK(second.reason.starts_with("base is not current"));
    CHECK(log.state().version == ConfigurationVersion(3));
    CHECK(log.apply(Offset(3), signer.publishRecord("c", 3, document(signer, 4))).verdict == ApplyResult::Verdict::Ignored);
    CHECK(log.state().configuration.contracts.front().priority == 2);
}

// Guards against a call that runs twice because its idempotency key moved to a stream without its earlier claim.
TEST_CASE("A record that changes the number of claim partitions is void", "[config]")
{
    const SampleOperator signer;
    ConfigurationLog log = logWithDocument(signer);
    Configuration configuration = samples::sampleConfiguration(signer.description(), 2, 3);
    configuration.claimPartitions += 1;
    const ApplyResult result = log.apply(Offset(1), signer.publishRecord("a", 0, formatConfiguration(configuration)));
    CHECK(result.verdict == ApplyResult::Verdict::Void);
    CHECK(result.reason.starts_with("claims.partitions cannot change"));
    CHECK(log.state().configuration.claimPartitions == configuration.claimPartitions - 1);
}

// Guards against accepting records that are signed with another key, altered records and invalid documents.
TEST_CASE("Records without a valid signature or document are void", "[config]")
{
    const SampleOperator signer;
    const SampleOperator signerWithOtherKey;
    ConfigurationLog log = logWithDocument(signer);
    std::string altered = signer.publishRecord("b", 0, document(signer));
    altered.replace(altered.find("c0"), 2, "cx");
    std::int64_t offset = 1;
    for (const std::string &payload : {signerWithOtherKey.publishRecord("a", 0, document(signer)),
                                       signerWithOtherKey.instanceRecord("c", InstanceAction::Drain, "i0"),
                                       altered,
                                       signer.publishRecord("d", 0, "share = 1"),
                                       signer.instanceRecord("e", InstanceAction::Drain, "nobody"),
                                       signer.instanceRecord("f", InstanceAction::Replace, "i0"),
                                       std::string("{\"kind\":\"publish\"}"),
                                       std::string("[1")}) {
        CHECK(log.apply(Offset(offset++), payload).verdict == ApplyResult::Verdict::Void);
    }
    CHECK(log.state().version == ConfigurationVersion(0));
}

// Guards against a record about an instance that blocks a publish or takes effect twice.
TEST_CASE("Records about instances commute with publish records and take effect once", "[config]")
{
    const SampleOperator signer;
    ConfigurationLog log = logWithDocument(signer);
    const std::string drain = signer.instanceRecord("drain", InstanceAction::Drain, "i0");
    CHECK(log.apply(Offset(1), drain).isAccepted());
    CHECK(log.apply(Offset(2), signer.publishRecord("next", 0, document(signer, 5))).isAccepted());
    CHECK(log.state().stateOf(InstanceId("i0")) == InstanceState::Draining);
    CHECK(log.apply(Offset(3), signer.instanceRecord("replace", InstanceAction::Replace, "i0")).isAccepted());
    CHECK(log.apply(Offset(4), drain).verdict == ApplyResult::Verdict::Void);
    CHECK(log.state().stateOf(InstanceId("i0")) == InstanceState::Active);
    CHECK(log.apply(Offset(5), signer.instanceRecord("withdraw", InstanceAction::Withdraw, "i0")).isAccepted());
    CHECK_FALSE(log.apply(Offset(6), signer.instanceRecord("again", InstanceAction::Replace, "i0")).isAccepted());
}

// Guards against a peer that never catches up once its records are no longer kept.
TEST_CASE("A peer that is far behind gets a snapshot, and the snapshot keeps the ids of accepted records", "[config]")
{
    const SampleOperator signer;
    ConfigurationLog log = logWithDocument(signer);
    Configuration large = samples::sampleConfiguration(signer.description(), 2, 2500);
    REQUIRE(log.apply(Offset(1), signer.publishRecord("large", 0, formatConfiguration(large))).isAccepted());
    const std::string drain = signer.instanceRecord("drain", InstanceAction::Drain, "i7");
    REQUIRE(log.apply(Offset(2), drain).isAccepted());
    const std::vector<ConfigurationRecord> records = log.acceptedAfter(ConfigurationVersion(-1));
    REQUIRE(records.size() == 1);
    ConfigurationLog peer({signer.description()});
    CHECK(peer.restore(records.front().payload).isAccepted());
    CHECK(peer.state().configuration == log.state().configuration);
    CHECK(peer.state().instanceStates == log.state().instanceStates);
    CHECK(peer.nextOffset() == Offset(3));
    CHECK(peer.apply(Offset(3), drain).verdict == ApplyResult::Verdict::Void);
    CHECK(log.acceptedAfter(ConfigurationVersion(1)).size() == 1);
    CHECK(log.acceptedAfter(ConfigurationVersion(2)).empty());
}
