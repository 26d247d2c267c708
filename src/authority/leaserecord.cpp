#include <mimosatally/Authority>

#include <nlohmann/json.hpp>

namespace mimosatally
{

namespace
{
using Json = nlohmann::json;

Json write(const AcquireRecord &record)
{
    return {{"kind", "acquire"},
            {"id", record.id.value()},
            {"scope", record.scope.value()},
            {"holder", record.holder.value()},
            {"incarnation", record.incarnation.value()},
            {"ttl_ms", record.ttl.count()}};
}

Json write(const RenewRecord &record)
{
    return {{"kind", "renew"}, {"id", record.id.value()}, {"scope", record.scope.value()}, {"epoch", record.epoch.count()}};
}

std::string nonEmptyText(const Json &json, const char *name)
{
    auto text = json.at(name).get<std::string>();
    if (text.empty()) {
        throw MalformedInputError(std::string("field \"") + name + "\" is empty");
    }
    return text;
}

LeaseRecord read(const Json &json)
{
    const RecordId id(nonEmptyText(json, "id"));
    const LeaseScope scope(nonEmptyText(json, "scope"));
    const auto kind = json.at("kind").get<std::string>();
    if (kind == "acquire") {
        const Duration ttl(json.at("ttl_ms").get<std::int64_t>());
        if (ttl <= Duration(0)) {
            throw MalformedInputError("field \"ttl_ms\" is not positive");
        }
        return AcquireRecord {id, scope, ProcessId(nonEmptyText(json, "holder")), IncarnationId(nonEmptyText(json, "incarnation")), ttl};
    }
    if (kind == "renew") {
        return RenewRecord {id, scope, Epoch(json.at("epoch").get<std::int64_t>())};
    }
    throw MalformedInputError("unknown kind of authority record \"" + kind + '"');
}
} // namespace

std::string toJson(const LeaseRecord &record)
{
    return std::visit(
        [](const auto &value) {
            return write(value).dump();
        },
        record);
}

LeaseRecord parseLeaseRecord(const std::string &payload)
{
    try {
        return read(Json::parse(payload));
    } catch (const Json::exception &error) {
        throw MalformedInputError(std::string("malformed authority record: ") + error.what());
    }
}

} // namespace mimosatally
