#include "audit/auditchain.h"

#include "audit/chainformat.h"

#include <nlohmann/json.hpp>

namespace mimosatally::internal
{

namespace
{
using Json = nlohmann::json;

Decision readDecision(const Json &json)
{
    Decision decision;
    decision.kind = parseDecisionKind(json.at("kind").get<std::string>());
    decision.request = RequestId(json.value("request", std::string()));
    decision.customer = CustomerId(json.value("customer", std::string()));
    decision.version = ConfigurationVersion(json.at("version").get<std::int64_t>());
    decision.at = Time(Duration(json.at("at_ms").get<std::int64_t>()));
    decision.inputs = json.at("inputs").dump();
    decision.unconfirmed = json.value("unconfirmed", false);
    return decision;
}

bool hasRole(const Decision &start, const std::string &role)
{
    try {
        return parseInputs<ProcessStartedInputs>(start.inputs).role == role;
    } catch (const MalformedInputError &) {
        return false;
    }
}
} // namespace

AuditChain::AuditChain(ProcessId process, IncarnationId incarnation)
    : process_(std::move(process))
    , incarnation_(std::move(incarnation))
{
}

void AuditChain::add(const Json &json)
{
    try {
        if (json.at("kind") == "gap") {
            lastSequence_ = json.at("from").get<std::int64_t>() + json.at("count").get<std::int64_t>() - 1;
            gaps_[json.at("from").get<std::int64_t>()] = {json.at("count").get<std::int64_t>(), json.at("hash").get<std::string>()};
        } else {
            addRecord(json);
        }
    } catch (const Json::exception &error) {
        throw MalformedInputError(std::string("malformed record: ") + error.what());
    }
}

void AuditChain::addRecord(const Json &json)
{
    const auto sequence = json.at("sequence").get<std::int64_t>();
    AuditRecord record {json.at("previous").get<std::string>(), sha256Hex(json.dump()), readDecision(json)};
    lastSequence_ = sequence;
    const auto [existing, isNew] = records_.try_emplace(sequence, record);
    if (!isNew && existing->second.hash != record.hash) {
        forkedSequences_.push_back(sequence);
    }
}

void AuditChain::recordLastHash(const std::string &hash)
{
    statedHashes_[lastSequence_] = hash;
}

void AuditChain::check(AuditReport &report) const
{
    for (const std::int64_t sequence : forkedSequences_) {
        report.findings.push_back(finding(sequence, "two different records have this sequence number"));
    }
    for (const auto &[from, gap] : gaps_) {
        report.findings.push_back(finding(from, "the process dropped " + std::to_string(gap.count) + " records because its buffer was full"));
    }
    checkStart(report);
    checkLinks(report);
    checkOrder(report);
    checkEnd(report);
}

void AuditChain::checkStart(AuditReport &report) const
{
    const auto first = records_.find(0);
    if (first == records_.end()) {
        return;
    }
    try {
        const auto inputs = parseInputs<ProcessStartedInputs>(first->second.decision.inputs);
        if (first->second.decision.kind != DecisionKind::ProcessStarted || inputs.process != process_ || inputs.incarnation != incarnation_) {
            report.findings.push_back(finding(0, "the first record does not state the process and incarnation of its chain"));
        }
    } catch (const MalformedInputError &error) {
        report.findings.push_back(finding(0, error.what()));
    }
}

std::optional<std::string> AuditChain::hashBefore(std::int64_t sequence) const
{
    if (sequence == 0) {
        return initialChainHash(process_, incarnation_);
    }
    if (const auto record = records_.find(sequence - 1); record != records_.end()) {
        return record->second.hash;
    }
    const auto after = gaps_.upper_bound(sequence - 1);
    if (after != gaps_.begin()) {
        const auto &[from, gap] = *std::prev(after);
        if (from + gap.count == sequence) {
            return gap.hash;
        }
    }
    return std::nullopt;
}

void AuditChain::checkLinks(AuditReport &report) const
{
    std::int64_t expected = 0;
    for (const auto &[sequence, record] : records_) {
        const auto previousHash = hashBefore(sequence);
        if (!previousHash) {
            report.findings.push_back(finding(sequence, describeMissing(expected, sequence - 1)));
        } else if (*previousHash != record.previous) {
            report.findings.push_back(finding(sequence, "the previous hash does not match the predecessor: one of the two records was altered"));
        }
        expected = sequence + 1;
    }
    for (const auto &[sequence, hash] : statedHashes_) {
        const auto record = records_.find(sequence);
        if (record != records_.end() && record->second.hash != hash) {
            report.findings.push_back(finding(sequence, "the record does not have the hash that its batch states: the record was altered"));
        }
    }
}

std::string AuditChain::describeMissing(std::int64_t from, std::int64_t to) const
{
    return "records " + std::to_string(from) + " to " + std::to_string(to) + " are missing before this one";
}

void AuditChain::checkOrder(AuditReport &report) const
{
    const AuditRecord *previous = nullptr;
    for (const auto &[sequence, record] : records_) {
        if (previous && record.decision.version < previous->decision.version) {
            report.findings.push_back(finding(sequence, "the configuration version is lower than in the previous record"));
        }
        if (previous && record.decision.at < previous->decision.at) {
            report.findings.push_back(finding(sequence, "the time is lower than in the previous record"));
        }
        if (previous && previous->decision.kind == DecisionKind::ProcessStopped) {
            report.findings.push_back(finding(sequence, "the record follows the closing record"));
        }
        previous = &record;
    }
}

void AuditChain::checkEnd(AuditReport &report) const
{
    if (records_.empty() || records_.rbegin()->second.decision.kind != DecisionKind::ProcessStopped) {
        const std::int64_t last = records_.empty() ? 0 : records_.rbegin()->first;
        report.openEnds.push_back(finding(last, "the chain has no closing record: decisions after this record are unknown"));
    }
}

std::optional<std::int64_t> AuditChain::firstBreak() const
{
    std::int64_t expected = 0;
    for (const auto &[sequence, record] : records_) {
        if (sequence != expected || hashBefore(sequence) != record.previous) {
            return sequence;
        }
        ++expected;
    }
    return std::nullopt;
}

const std::map<std::int64_t, AuditRecord> &AuditChain::records() const
{
    return records_;
}

bool AuditChain::isAgent() const
{
    for (const auto &[sequence, record] : records_) {
        if (record.decision.kind == DecisionKind::ProcessStarted) {
            return hasRole(record.decision, "agent");
        }
    }
    return false;
}

Finding AuditChain::finding(std::int64_t sequence, const std::string &message) const
{
    return {{process_.value() + '/' + incarnation_.value(), static_cast<int>(sequence)}, "record " + std::to_string(sequence) + ": " + message};
}

} // namespace mimosatally::internal
