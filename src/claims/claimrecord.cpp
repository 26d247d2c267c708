#include <mimosatally/Claims>

#include <nlohmann/json.hpp>

namespace mimosatally
{

namespace
{
using Json = nlohmann::json;

/// \brief Number of hexadecimal digits of the key's hash that select its partition (32 bits).
constexpr int HASH_DIGITS = 8;

Json writeKey(const char *kind, const RecordId &id, const ClaimKey &key)
{
    return {{"kind", kind}, {"id", id.value()}, {"customer", key.customer.value()}, {"key", key.key}};
}

Json write(const ClaimRecord &record)
{
    Json json = writeKey("claim", record.id, record.key);
    json["body_hash"] = record.bodyHash;
    json["endpoint"] = record.endpoint.value();
    json["agent_incarnation"] = record.agentIncarnation.value();
    json["entry"] = record.entry.value();
    json["time_ms"] = record.timeMs;
    return json;
}

Json write(const OutcomeRecord &record)
{
    Json json = writeKey("outcome", record.id, record.key);
    json["claim"] = record.claim.count();
    json["status"] = record.status;
    json["content_type"] = record.contentType;
    json["body"] = record.body;
    json["answer_hash"] = record.answerHash;
    return json;
}

Json write(const VoidRecord &record)
{
    Json json = writeKey("void", record.id, record.key);
    json["claim"] = record.claim.count();
    return json;
}

std::string text(const Json &json, const char *name)
{
    return json.at(name).get<std::string>();
}

RecordId readId(const Json &json)
{
    RecordId id(text(json, "id"));
    if (id.empty()) {
        throw MalformedInputError("the record has an empty id");
    }
    return id;
}

ClaimKey readKey(const Json &json)
{
    return {CustomerId(text(json, "customer")), text(json, "key")};
}

Offset readClaim(const Json &json)
{
    return Offset(json.at("claim").get<std::int64_t>());
}

ClaimStreamRecord read(const Json &json)
{
    const std::string kind = text(json, "kind");
    if (kind == "claim") {
        return ClaimRecord {readId(json),
                            readKey(json),
                            text(json, "body_hash"),
                            EndpointId(text(json, "endpoint")),
                            IncarnationId(text(json, "agent_incarnation")),
                            ProcessId(text(json, "entry")),
                            json.at("time_ms").get<std::int64_t>()};
    }
    if (kind == "outcome") {
        return OutcomeRecord {readId(json),
                              readKey(json),
                              readClaim(json),
                              json.at("status").get<int>(),
                              text(json, "content_type"),
                              text(json, "body"),
                              text(json, "answer_hash")};
    }
    if (kind == "void") {
        return VoidRecord {readId(json), readKey(json), readClaim(json)};
    }
    throw MalformedInputError("unknown kind of claims record \"" + kind + '"');
}
} // namespace

std::string toJson(const ClaimStreamRecord &record)
{
    // Bodies that are not UTF-8 are stored with replacement characters; the answer's hash covers the original bytes.
    return std::visit(
        [](const auto &value) {
            return write(value).dump(-1, ' ', false, Json::error_handler_t::replace);
        },
        record);
}

ClaimStreamRecord parseClaimStreamRecord(const std::string &payload)
{
    try {
        return read(Json::parse(payload));
    } catch (const Json::exception &error) {
        throw MalformedInputError(std::string("malformed claims record: ") + error.what());
    }
}

int claimPartition(const ClaimKey &key, int partitions)
{
    invariant(partitions > 0, "there is at least one claims partition");
    // The length separates customer and key, so that two pairs with the same concatenation differ.
    const std::string hash = sha256Hex(std::to_string(key.customer.value().size()) + ':' + key.customer.value() + key.key);
    return static_cast<int>(std::stoul(hash.substr(0, HASH_DIGITS), nullptr, 16) % static_cast<unsigned long>(partitions));
}

} // namespace mimosatally
