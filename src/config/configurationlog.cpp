#include "recordtext.h"

#include <mimosatally/Config>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace mimosatally
{

namespace
{
/// \brief Number of recently accepted ids that are kept to detect a repeated append, which comes within seconds.
constexpr std::size_t MAX_ACCEPTED_IDS = 1024;
/// \brief Limit on the accepted records kept for peers. A peer that is further behind gets a snapshot.
constexpr std::size_t MAX_ACCEPTED_BYTES = std::size_t(512) * 1024;
constexpr const char *SNAPSHOT_KIND = "snapshot";

ApplyResult voidResult(std::string reason)
{
    return {ApplyResult::Verdict::Void, std::move(reason)};
}

ApplyResult acceptedResult()
{
    return {ApplyResult::Verdict::Accepted, {}};
}

std::string stringField(const nlohmann::json &json, const char *name)
{
    const auto found = json.find(name);
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}
} // namespace

struct ConfigurationLog::ParsedRecord {
    std::string kind;
    RecordId id;
    Offset base;
    OperatorId operatorId;
    InstanceId instance;
    std::string document;
    std::string signature;

    [[nodiscard]] std::string signedText() const
    {
        return hasDocument() ? internal::signedDocumentText(kind, id, base, operatorId, document)
                             : internal::signedInstanceText(id, kind, instance, operatorId);
    }

    [[nodiscard]] bool hasDocument() const
    {
        return kind == toString(DocumentKind::Full) || kind == toString(DocumentKind::Change);
    }

    [[nodiscard]] bool isWellFormed() const
    {
        const auto isSingleLine = [](const std::string &text) {
            return !text.empty() && text.find('\n') == std::string::npos;
        };
        return isSingleLine(id.value()) && isSingleLine(operatorId.value()) && (hasDocument() || isSingleLine(instance.value()));
    }

    static ParsedRecord parse(const nlohmann::json &json)
    {
        ParsedRecord record;
        record.kind = stringField(json, "kind");
        record.id = RecordId(stringField(json, "id"));
        record.base = Offset(json.contains("base") && json["base"].is_number_integer() ? json["base"].get<std::int64_t>() : -2);
        record.operatorId = OperatorId(stringField(json, "operator"));
        record.instance = InstanceId(stringField(json, "instance"));
        record.document = stringField(json, "document");
        record.signature = stringField(json, "signature");
        return record;
    }
};

ConfigurationLog::ConfigurationLog(std::vector<Operator> bootstrapOperators)
    : bootstrapOperators_(std::move(bootstrapOperators))
{
}

ApplyResult ConfigurationLog::apply(Offset offset, const std::string &payload)
{
    if (offset < nextOffset_) {
        return {ApplyResult::Verdict::Ignored, "already applied"};
    }
    ApplyResult result = applyPayload(offset, payload);
    nextOffset_ = offset + Offset(1);
    if (result.isAccepted()) {
        const ConfigurationVersion version(offset.count());
        invariant(state_.version < version, "a configuration version never reverts");
        state_.version = version;
    }
    return result;
}

ApplyResult ConfigurationLog::applyPayload(Offset offset, const std::string &payload)
{
    const nlohmann::json json = nlohmann::json::parse(payload, nullptr, false);
    if (!json.is_object()) {
        return voidResult("record is not a JSON object");
    }
    const ParsedRecord record = ParsedRecord::parse(json);
    if (record.kind == SNAPSHOT_KIND) {
        return {ApplyResult::Verdict::Ignored, "snapshot of records that are already applied"};
    }
    const ApplyResult result = applyRecord(offset, record);
    if (result.isAccepted()) {
        recordAccepted(offset, payload, record.id);
    }
    return result;
}

ApplyResult ConfigurationLog::applyRecord(Offset offset, const ParsedRecord &record)
{
    if (!record.isWellFormed()) {
        return voidResult("record has a missing field or a line break in a field");
    }
    if (wasAccepted(record.id)) {
        return voidResult("a record with this id is already accepted");
    }
    return record.hasDocument() ? applyDocument(offset, record) : applyInstanceAction(record);
}

ApplyResult ConfigurationLog::applyDocument(Offset offset, const ParsedRecord &record)
{
    if (record.base != state_.documentOffset) {
        return voidResult("base is not current: it is " + std::to_string(record.base.count()) + ", the last accepted publish record is "
                          + std::to_string(state_.documentOffset.count()));
    }
    if (!isSignedByOperator(record)) {
        return voidResult("signature does not match an operator of the current configuration");
    }
    Configuration next;
    try {
        const bool isFull = record.kind == toString(DocumentKind::Full);
        next = isFull ? parseConfiguration(record.document, "document") : applyChange(state_.configuration, record.document, "document");
    } catch (const FindingsError &error) {
        return voidResult(std::string("document has findings: ") + error.what());
    }
    // With another number of partitions a key would map to another stream, where its earlier claim is not found, and a call
    // could run twice.
    if (state_.documentOffset >= Offset(0) && next.claimPartitions != state_.configuration.claimPartitions) {
        return voidResult("claims.partitions cannot change: it is " + std::to_string(state_.configuration.claimPartitions));
    }
    state_.configuration = std::move(next);
    state_.documentOffset = offset;
    pruneRemovedInstances();
    return acceptedResult();
}

void ConfigurationLog::pruneRemovedInstances()
{
    std::set<InstanceId> instances;
    for (const Endpoint &endpoint : state_.configuration.endpoints) {
        instances.insert(endpoint.instance);
    }
    std::erase_if(state_.instanceStates, [&instances](const auto &entry) {
        return !instances.contains(entry.first);
    });
}

ApplyResult ConfigurationLog::applyInstanceAction(const ParsedRecord &record)
{
    if (record.kind != "drain" && record.kind != "replace" && record.kind != "withdraw") {
        return voidResult("kind \"" + record.kind + "\" is not known");
    }
    if (!isSignedByOperator(record)) {
        return voidResult("signature does not match an operator of the current configuration");
    }
    const auto &endpoints = state_.configuration.endpoints;
    if (std::ranges::find(endpoints, record.instance, &Endpoint::instance) == endpoints.end()) {
        return voidResult("no endpoint of the current configuration has instance \"" + record.instance.value() + '"');
    }
    const InstanceState before = state_.stateOf(record.instance);
    if (before == InstanceState::Withdrawn) {
        return voidResult("instance is withdrawn");
    }
    if (record.kind == "replace") {
        if (before != InstanceState::Draining) {
            return voidResult("instance is not draining; drain it before it is replaced");
        }
        state_.instanceStates.erase(record.instance);
    } else {
        state_.instanceStates[record.instance] = record.kind == "drain" ? InstanceState::Draining : InstanceState::Withdrawn;
    }
    return acceptedResult();
}

bool ConfigurationLog::isSignedByOperator(const ParsedRecord &record) const
{
    const bool isFirst = state_.documentOffset < Offset(0);
    const std::vector<Operator> &operators = isFirst ? bootstrapOperators_ : state_.configuration.operators;
    const auto found = std::ranges::find(operators, record.operatorId, &Operator::id);
    return found != operators.end() && verifySignature(found->publicKey, record.signedText(), record.signature);
}

bool ConfigurationLog::wasAccepted(const RecordId &id) const
{
    return std::ranges::find(acceptedIds_, id) != acceptedIds_.end();
}

void ConfigurationLog::recordAccepted(Offset offset, const std::string &payload, const RecordId &id)
{
    acceptedIds_.push_back(id);
    if (acceptedIds_.size() > MAX_ACCEPTED_IDS) {
        acceptedIds_.pop_front();
    }
    accepted_.push_back({offset, payload});
    acceptedBytes_ += payload.size();
    while (acceptedBytes_ > MAX_ACCEPTED_BYTES && accepted_.size() > 1) {
        acceptedSince_ = ConfigurationVersion(accepted_.front().offset.count());
        acceptedBytes_ -= accepted_.front().payload.size();
        accepted_.pop_front();
    }
}

const ConfigurationState &ConfigurationLog::state() const
{
    return state_;
}

std::vector<ConfigurationRecord> ConfigurationLog::acceptedAfter(ConfigurationVersion version) const
{
    if (version >= state_.version) {
        return {};
    }
    if (version < acceptedSince_) {
        return {{nextOffset_ - Offset(1), snapshot(RecordId("for-peer"))}};
    }
    const auto first = std::ranges::find_if(accepted_, [version](const ConfigurationRecord &record) {
        return record.offset.count() > version.count();
    });
    return {first, accepted_.end()};
}

Offset ConfigurationLog::nextOffset() const
{
    return nextOffset_;
}

} // namespace mimosatally
